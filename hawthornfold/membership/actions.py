"""Actions that the membership state machine returns, and its options."""

import typing


class Send(typing.NamedTuple):
    """Send `body` to the node `name` at `address` (``ip:port``)."""

    name: str
    address: str
    body: typing.NamedTuple


class Change(typing.NamedTuple):
    """A change of the member table, recorded in the audit trail."""

    kind: str
    subject: str
    before: str
    after: str
    cause: str


class Options(typing.NamedTuple):
    """Settings of the state machine; times in milliseconds.

    `is_authenticated` is true when the links accept only peers that hold a
    cluster key; otherwise only listed VMs can become members. `is_open`
    admits any node, for trusted networks where no VM list is published.
    `local_probe_share` is the share of routine probes, 0 to 1, that go to
    members of the own data centre where that has some: bytes between data
    centres are expensive, and nodes rely most on those near them.
    """

    probe_interval_ms: float = 1000
    probe_timeout_ms: float = 300
    suspect_timeout_ms: float = 2000
    sync_interval_ms: float = 30_000
    is_authenticated: bool = False
    is_open: bool = False
    local_probe_share: float = 0.0
