"""Properties and faults of an emulated backend server."""

import typing

import msgspec

DEFAULT_QUEUE_LENGTH = 20
DEFAULT_SIGMA = 0.25


class ShardSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A shard of a server; the fields are those of `corpus.load_shard`."""

    name: str
    weight: int
    part: tuple[int, int] | None = None
    documents: int = 0


class ServerSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Properties of one emulated server, an entry of the spec file.

    `seed` determines the service times and which requests a fault hits.
    `corpus_seed` determines the documents and must be equal for all servers of
    a group.
    """

    name: str
    group: str
    port: int
    shards: dict[str, list[ShardSpec]]
    held: list[str]
    data_centre: str = ''
    slots: int = 2
    connections: int = 25
    connect_ms: float = 0.0
    service_ms: float = 10.0
    sigma: float = DEFAULT_SIGMA
    queue: int = DEFAULT_QUEUE_LENGTH
    seed: int = 1
    corpus_seed: int = 1


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults in force on one server; the defaults mean a healthy server.

    Parameters
    ----------
    slow_factor : float
        Factor on the service time of a share of requests.
    slow_share : float
        Share of requests, 0 to 1, that `slow_factor` applies to.
    silent : bool or str
        If True, the server reads requests but neither runs nor answers them;
        if ``after_run``, it runs them and does not answer.
    health_silent : bool
        The server never answers health requests.
    stall_connections : bool
        Connections that are open when the fault is set are silent from then
        on, also after it has been cleared. New connections work.
    refuse_connections : bool
        New connections are closed as soon as they are accepted.
    draining : bool
        New work is refused; replies and health reports state the draining.
    drain_flag_hidden : bool
        New work is refused as draining, but neither replies nor health reports
        state the draining.
    load_report : float or None
        Load that health reports state instead of the true load.
    health_lag_ms : float
        Age of the state that health reports describe.
    wrong_snapshot : bool
        Answers name another snapshot than the requested one and contain its
        data.
    crossed : bool
        Answers carry the request id and attempt of the previous request.
    duplicate : bool
        Each answer is sent a second time, in front of the next answer on the
        same connection.
    truncate : bool
        The Content-Length exceeds the length of the body; the connection
        closes after the body.
    late_ms : float
        Delay between the end of the work and its answer.
    shed_share : float
        Share of requests, 0 to 1, refused as overloaded.
    """

    slow_factor: float = 1.0
    slow_share: float = 1.0
    silent: bool | typing.Literal['after_run'] = False
    health_silent: bool = False
    stall_connections: bool = False
    refuse_connections: bool = False
    draining: bool = False
    drain_flag_hidden: bool = False
    load_report: float | None = None
    health_lag_ms: float = 0.0
    wrong_snapshot: bool = False
    crossed: bool = False
    duplicate: bool = False
    truncate: bool = False
    late_ms: float = 0.0
    shed_share: float = 0.0
