"""The settings of a gateway node."""

import typing


class GatewaySettings(typing.NamedTuple):
    """What a gateway node needs to know of its surroundings.

    Parameters
    ----------
    node_name, data_centre : str
        Who and where the node is.
    caller_address : str
        ``ip:port`` on which callers are served.
    ready_address : str
        ``ip:port`` of the readiness check and of the metrics.
    peer_address : str
        ``ip:port`` on which other nodes find this one.
    seed_addresses : tuple of str
        Peer addresses of some nodes; they may be stale.
    metrics_port : int
        Port of the metrics page; 0 for none besides the ready address.
    store_address : str
        ``ip:port`` of the published store.
    repeat_ratio : float
        Repeated arrivals that servers bear for each request.
    repeat_slack : float
        Repeated arrivals that they bear besides, from all nodes together.
    repeat_window_ms : float
        The window in which both are counted.
    stop_grace_ms : float
        Time from the stop signal until the process is killed.
    link_mbps : float
        Speed of the VM's link, in megabits a second.
    cores : float
        Processor share of the VM, in cores.
    travel_ms : float
        How long a request and its answer travel, where the kernel does not
        tell the round-trip time.
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
    travel_ms: float = 12.0


def split_address(address):
    """Return host and port of ``host:port``.

    Examples
    --------
    >>> split_address('127.0.0.1:80')
    ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(':')
    return host, int(port)
