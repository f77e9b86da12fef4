"""What the membership state machine asks its driver to do."""

import typing


class Send(typing.NamedTuple):
    """Send `body` to the node `name` at `address` (``ip:port``)."""

    name: str
    address: str
    body: typing.NamedTuple


class Change(typing.NamedTuple):
    """A change of the member table, as the audit trail records it."""

    kind: str
    subject: str
    before: str
    after: str
    cause: str


class Options(typing.NamedTuple):
    """Settings of the state machine; times in milliseconds.

    `is_authenticated` says that the links admit only holders of a cluster
    key; without it only listed VMs may be members. `is_open` admits any
    node, where no list of VMs is published and the network is trusted.
    """

    probe_interval_ms: float = 1000
    probe_timeout_ms: float = 300
    suspect_timeout_ms: float = 2000
    sync_interval_ms: float = 30_000
    is_authenticated: bool = False
    is_open: bool = False
