"""The parts of one node that its services share."""

import typing


class NodeContext(typing.NamedTuple):
    """References handed to the services when they are created.

    Services that exist only later in the wiring are None until then; the
    wiring creates each service with a context that holds what it needs.
    """

    settings: typing.Any
    incarnation: int
    clock: typing.Any
    metrics: typing.Any
    audit: typing.Any
    journal: typing.Any
    links: typing.Any = None
    membership: typing.Any = None
    configuration: typing.Any = None
    policy: typing.Any = None
    groups: typing.Any = None
    drains: typing.Any = None
    pause_guard: typing.Any = None
    owner_service: typing.Any = None
    query_runner: typing.Any = None
    ticket_service: typing.Any = None
    lifecycle: typing.Any = None
    journal_lookup: typing.Any = None
    handover: typing.Any = None
