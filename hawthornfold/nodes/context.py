"""Defines the context that the services of one node share."""

import typing


class NodeContext(typing.NamedTuple):
    """References that each service receives when it is created.

    A service that has not been created yet is None. Services are created in
    an order in which each context already holds what the service needs.
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
