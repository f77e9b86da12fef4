"""The settings of a gateway node."""

import typing


class GatewaySettings(typing.NamedTuple):
    """The addresses and limits that a gateway node is started with.

    Parameters
    ----------
    node_name, data_centre : str
        The node's name and its data centre.
    caller_address : str
        ``ip:port`` on which callers are served.
    ready_address : str
        ``ip:port`` of the readiness check and of the metrics.
    peer_address : str
        ``ip:port`` on which other nodes reach this one.
    seed_addresses : tuple of str
        Peer addresses of some nodes; they may be out of date.
    metrics_port : int
        Additional port of the metrics page; 0 to serve it only at
        `ready_address`.
    store_address : str
        ``ip:port`` of the published store.
    repeat_ratio : float
        Repeat attempts (hedges and retries) that servers permit per request.
    repeat_slack : float
        Repeat attempts that they permit in addition, from all nodes
        together.
    repeat_window_ms : float
        Length of the window in which both are counted.
    stop_grace_ms : float
        Time from the stop signal until the process is killed.
    link_mbps : float
        Speed of the VM's link, in megabits per second.
    cores : float
        Processor share of the VM, in cores.
    memory_bytes : int
        Memory that the process may use before it is killed.
    region : str
        The region of the node's data centre.
    regions : dict of str to str
        The region of each data centre.
    drain_ms : float
        Time after which no request may reach a server that has announced that
        it leaves.
    warmup_overage, warmup_slack : float
        A cold server accepts this multiple of its rate, plus the slack, in
        one second from all nodes together.
    evacuate_ms : float
        Time after which no request may reach an evacuated data centre.
    travel_ms : float
        Network time of a request and its answer together, assumed where the
        kernel does not provide the round-trip time.
    """

    node_name: str
    data_centre: str
    caller_address: str
    ready_address: str
    peer_address: str
    seed_addresses: tuple[str, ...]
    metrics_port: int
    store_address: str
    repeat_ratio: float
    repeat_slack: float
    repeat_window_ms: float
    stop_grace_ms: float
    link_mbps: float = 1_000.0
    cores: float = 1.0
    memory_bytes: int = 300 << 20
    region: str = ''
    regions: dict[str, str] = {}
    drain_ms: float = 3_000.0
    warmup_overage: float = 1.0
    warmup_slack: float = 0.0
    evacuate_ms: float = 5_000.0
    travel_ms: float = 12.0


def split_address(address):
    """Split ``host:port`` into the host and the port number.

    Examples
    --------
    >>> split_address('127.0.0.1:80')
    ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(':')
    return host, int(port)
