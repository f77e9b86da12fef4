"""Decodes items of the platform's store into the types of this project."""

import math
import typing

import msgspec

from hawthornfold.directory import CallerLimits
from hawthornfold.directory import ItemFailure
from hawthornfold.directory import RoutingConfiguration
from hawthornfold.directory import ServerChange
from hawthornfold.directory import ServerRecord
from hawthornfold.directory import ServiceRecord
from hawthornfold.directory import StoreChanges
from hawthornfold.directory.record_checks import MAX_NAME_LENGTH
from hawthornfold.directory.record_checks import check_record
from hawthornfold.platform.evacuations import decode_evacuation
from hawthornfold.platform.json_fields import check_unique_fields
from hawthornfold.platform.names import CONFIGURATION_KEY
from hawthornfold.platform.names import EVACUATIONS_PREFIX
from hawthornfold.platform.names import SERVERS_PREFIX
from hawthornfold.rules import URGENCIES
from hawthornfold.rules import ForwardTarget
from hawthornfold.rules import Gather
from hawthornfold.rules import Rule
from hawthornfold.rules import RulesDocument
from hawthornfold.rules import Then
from hawthornfold.rules import When
from hawthornfold.rules import compile_document

# Larger numbers would not fit into the messages between nodes, or become
# infinite in computations, so that one item would stop a node from reading the
# store or from passing it on.
Integer = typing.Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
_Count = typing.Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]
_Number = typing.Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)]


class Item(msgspec.Struct):
    """An item of the store in a reply, or an event that it was deleted."""

    Key: str
    Revision: Integer = 0
    # Base64 text in the reply; msgspec decodes it.
    Value: bytes = b''
    Deleted: bool = False


class _Entry(msgspec.Struct):
    """What a server writes about itself.

    Only `born` may be missing: the servers of some deployments do not write
    it. The other fields have no defaults, as an entry that lacks one is not
    that of a server.
    """

    # Name of the server's service.
    Backend: str
    Address: str
    # The data centre.
    Zone: str
    State: typing.Literal['ready', 'draining']
    # Number of requests that the server executes at the same time.
    MaxConcurrency: Integer
    WarmupLeftMs: _Number
    # Version of the server's software, and a number that each write raises.
    # Not used, but they show whether a server wrote the entry.
    Version: str
    Seq: Integer
    # Start of the server's process, in milliseconds since the Unix epoch.
    born: Integer = 0


class _Split(msgspec.Struct):
    # Name of a service.
    Backend: str
    Weight: _Number


class _Route(msgspec.Struct):
    Name: str
    Host: str
    Prefix: str
    RouteType: typing.Literal['idempotent', 'non_idempotent']
    TimeoutMs: _Number
    TargetLatencyMs: _Number | None = None
    # 0 is the most urgent.
    Priority: _Count = 0
    # Maximum number of servers that a request is sent to.
    MaxAttempts: _Count = 1
    # Name of the only service; see _create_rule for the order in which
    # FanoutServices, Split and Backend apply.
    Backend: str | None = None
    Split: list[_Split] | None = None
    FanoutServices: list[str] | None = None
    # Maximum number of records in a gathered answer.
    TopK: _Count = 1
    # Minimum share of the shards, from 0 to 1, that an answer must cover.
    MinSuccessShare: _Number = 1.0
    # Regions to whose servers requests may be sent; all if there are none.
    AllowedRegions: list[str] | None = None


class _Service(msgspec.Struct):
    Name: str
    HealthPath: str = '/health'
    MaxConns: _Count = 1
    # How long a server remains cold after its start, in seconds.
    WarmupS: _Number = 0.0
    # Requests a second that a cold server accepts; 0 if no limit is given.
    WarmupPerS: _Number = 0.0


class _Limits(msgspec.Struct):
    MaxHeaderBytes: _Count
    MaxBodyBytes: _Count
    HeaderTimeoutMs: _Number
    IdleTimeoutMs: _Number


class _Configuration(msgspec.Struct):
    Version: _Count
    # Each a `_Route`, which is decoded only if it has changed.
    Routes: list[msgspec.Raw]
    Services: list[_Service]
    Limits: _Limits


# Priorities have no fixed scale: only their order counts, and the lowest is
# the most urgent.
_URGENCY_NAMES = tuple(URGENCIES)
_ENTRY_DECODER = msgspec.json.Decoder(_Entry)
_ROUTE_DECODER = msgspec.json.Decoder(_Route)
_CONFIGURATION_DECODER = msgspec.json.Decoder(_Configuration)


def decode_items(items, revision, era=None, decoder=None):
    """Decode items, which are in the order of their revisions.

    Of several configurations only the newest is decoded.

    Parameters
    ----------
    items : list of Item
        Items with other keys than those of servers, evacuations and the
        configuration are ignored.
    revision : int
        The store's revision after these items.
    era : int or None
        The store's era; None if it reports none.
    decoder : ConfigurationDecoder, optional
        Decodes configurations.

    Returns
    -------
    StoreChanges
        Its failures list the items that cannot be decoded. For a server's
        entry that cannot be decoded it also holds a `ServerChange` without
        a record, so that the server is not used.
    """
    servers = []
    failures = []
    configurations = []
    evacuations = []
    for item in items:
        if item.Key.startswith(EVACUATIONS_PREFIX):
            try:
                evacuations.append(decode_evacuation(item))
            except ValueError as error:
                failures.append(create_failure(item, error))
        if item.Key == CONFIGURATION_KEY and not item.Deleted:
            configurations.append(item)
        if not item.Key.startswith(SERVERS_PREFIX):
            continue
        try:
            servers.append(_decode_server_change(item))
        except (ValueError, RecursionError) as error:
            failures.append(create_failure(item, error))
            servers.append(
                ServerChange(
                    item.Key[len(SERVERS_PREFIX) :], None, item.Revision
                )
            )
    configuration = _decode_newest(
        configurations, decoder or ConfigurationDecoder(), failures
    )
    return StoreChanges(
        revision,
        tuple(servers),
        configuration,
        tuple(failures),
        era,
        tuple(evacuations),
    )


def _decode_newest(items, decoder, failures):
    """Return the newest configuration that can be decoded, or None."""
    for item in reversed(items):
        try:
            return decoder.decode(item.Value)
        except (ValueError, RecursionError) as error:
            failures.append(create_failure(item, error))
    return None


def create_failure(item, error):
    """Return the `ItemFailure` of an item, with a key that fits a log line."""
    key = item.Key[:200]
    if not key.isprintable():
        key = ascii(key)[1:-1]
    return ItemFailure(key, str(error))


def _decode_server_change(item):
    server_id = item.Key[len(SERVERS_PREFIX) :]
    record = None
    if not item.Deleted:
        record = decode_server_entry(server_id, item.Value)
    return ServerChange(server_id, record, item.Revision)


def decode_server_entry(server_id, value):
    """Decode a server's entry to a `ServerRecord`.

    Raises
    ------
    ValueError
        If it cannot be decoded, or a field has a value that no server has.
    """
    entry = _ENTRY_DECODER.decode(value)
    check_unique_fields(value, _Entry.__struct_fields__)
    if len(entry.Version) > MAX_NAME_LENGTH or (
        not entry.Version.isprintable()
    ):
        raise ValueError(f'{entry.Version[:80]!r} is not a version')
    if entry.Seq < 0:
        raise ValueError(f'{entry.Seq} is not a sequence number')
    record = ServerRecord(
        server_id,
        entry.Backend,
        entry.Address,
        entry.Zone,
        entry.MaxConcurrency,
        entry.State == 'draining',
        entry.WarmupLeftMs,
        entry.born,
    )
    check_record(record)
    return record


class ConfigurationDecoder:
    """Decodes successive versions of the operator's configuration.

    Versions have most routes in common. A route that is unchanged, byte for
    byte, is neither decoded nor compiled again, and all versions share its
    rule.
    """

    def __init__(self):
        self._routes = {}
        self._rules = {}
        self._previous = None

    def decode(self, value):
        """Decode a configuration to a `RoutingConfiguration`.

        Each route becomes a rule. Among the routes of a host, the one with the
        longest matching prefix decides, so the rules are sorted by the length
        of their prefix, longest first.

        Raises
        ------
        ValueError
            If it cannot be decoded, or a route has no service.
        """
        wire = _CONFIGURATION_DECODER.decode(value)
        known = self._routes
        routes = {}
        for raw in map(bytes, wire.Routes):
            routes[raw] = known.get(raw) or _ROUTE_DECODER.decode(raw)
        known_rules = self._create_rules(routes)
        rules = RulesDocument(tuple(known_rules.values()))
        limits = wire.Limits
        configuration = RoutingConfiguration(
            wire.Version,
            compile_document(rules, wire.Version, self._previous),
            {
                service.Name: ServiceRecord(
                    service.Name,
                    service.HealthPath,
                    service.MaxConns,
                    1_000.0 * service.WarmupS,
                    service.WarmupPerS,
                )
                for service in wire.Services
            },
            CallerLimits(
                limits.MaxHeaderBytes,
                limits.MaxBodyBytes,
                limits.HeaderTimeoutMs,
                limits.IdleTimeoutMs,
            ),
            rules,
        )
        self._routes, self._rules = routes, known_rules
        self._previous = (rules, configuration.rules)
        return configuration

    def _create_rules(self, routes):
        """Return the rules of all routes, in the order in which they apply.

        Returns
        -------
        dict of (bytes, str) to Rule
            By route and urgency.
        """
        ranks = sorted({route.Priority for route in routes.values()})
        urgencies = {
            rank: _URGENCY_NAMES[min(position, len(_URGENCY_NAMES) - 1)]
            for position, rank in enumerate(ranks)
        }
        rules = {}
        for raw, route in sorted(
            routes.items(), key=lambda x: len(x[1].Prefix), reverse=True
        ):
            key = (raw, urgencies[route.Priority])
            rules[key] = self._rules.get(key) or _create_rule(route, key[1])
        return rules


def decode_configuration(value):
    """Decode a single configuration; see `ConfigurationDecoder`."""
    return ConfigurationDecoder().decode(value)


def _create_rule(route, urgency):
    is_idempotent = route.RouteType == 'idempotent'
    forward, gather = (), None
    if route.FanoutServices:
        gather = Gather(tuple(route.FanoutServices), route.TopK)
    elif route.Split:
        forward = tuple(
            ForwardTarget(part.Backend, part.Weight) for part in route.Split
        )
    elif route.Backend:
        forward = (ForwardTarget(route.Backend),)
    else:
        raise ValueError(f'route {route.Name} has no service')
    return Rule(
        route.Name,
        When(path=route.Prefix + '*', headers={'host': route.Host.lower()}),
        Then(
            urgency=urgency,
            deadline_ms=round(route.TimeoutMs),
            idempotent=is_idempotent,
            # Rounded up. Subtracting 1e-6 keeps the rounding error of a
            # binary fraction from adding a percent.
            coverage_percent=math.ceil(100.0 * route.MinSuccessShare - 1e-6),
            hedge=is_idempotent,
            objective_ms=route.TargetLatencyMs,
            max_servers=route.MaxAttempts,
            forward=forward,
            gather=gather,
            allowed_regions=tuple(route.AllowedRegions or ()),
        ),
    )
