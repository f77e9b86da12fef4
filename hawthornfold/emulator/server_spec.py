"""Properties and faults of an emulated backend server."""

import typing

import msgspec

DEFAULT_QUEUE_LENGTH = 20
DEFAULT_SIGMA = 0.25


class ShardSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A shard held by a server; `part` as in `corpus.load_shard`."""

    name: str
    weight: int
    part: tuple[int, int] | None = None
    documents: int = 0


class ServerSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Properties of one emulated server, as listed in the spec file.

    `seed` drives service times and shares of faults. `corpus_seed` must be
    equal for the replicas of a group, whose documents it determines.
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
    """Faults in force on one server; the defaults are a healthy server.

    Parameters
    ----------
    slow_factor : float
        Multiplies the service time of the share `slow_share` of requests.
    silent : bool or str
        True reads requests, never runs them and never answers;
        ``after_run`` runs them and does not answer.
    health_silent : bool
        Health requests are never answered.
    stall_connections : bool
        Connections that exist when the fault is set are silent for good; new
        ones work.
    refuse_connections : bool
        New connections are closed at once.
    draining : bool
        New work is refused; replies and health say draining.
    drain_flag_hidden : bool
        New work is refused as draining, but nothing else says draining.
    load_report : float or None
        Load reported instead of the true one.
    health_lag_ms : float
        Health reports are this old.
    wrong_snapshot : bool
        Answers name another snapshot than the requested one and hold its data.
    crossed : bool
        Answers carry the request id and attempt of another request.
    duplicate : bool
        Each answer is sent again in front of the next one of its connection.
    truncate : bool
        Content-Length exceeds the body, after which the connection closes.
    late_ms : float
        Finished answers are sent this much later.
    shed_share : float
        Share of requests refused as overloaded.
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
