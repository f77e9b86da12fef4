"""The schema of the rules document.

docs/rules.md lists the fields for operators.
"""

import typing

import msgspec

# Compiling runs on the event loop; these limits bound the time it takes.
MAX_RULES = 2_000
MAX_PATTERNS = 20_000
MAX_PATTERNS_PER_FIELD = 100
MAX_HEADERS = 16
MAX_HEADER_NAMES = 64


def _bounded_number(kind, lowest, highest):
    return typing.Annotated[kind, msgspec.Meta(ge=lowest, le=highest)]


RuleName = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r'^[A-Za-z0-9][\w.-]{0,62}\Z',
        extra={
            'expected': 'up to 63 letters, digits, dots, underscores and '
            'hyphens, starting with a letter or a digit'
        },
    ),
]


def _check_pattern(text):
    if '*' in text[:-1]:
        return '"*" is only allowed as the last character'
    return None


def _check_method(text):
    if text != text.upper():
        return 'methods are written in capitals'
    return _check_pattern(text)


def _check_path(text):
    if not text.startswith(('/', '*')):
        return 'a path starts with "/"'
    return _check_pattern(text)


def _check_header_name(text):
    if not text or text != text.lower():
        return 'header names are written in lowercase'
    return None


def _create_pattern_type(check):
    text = typing.Annotated[str, msgspec.Meta(max_length=256)]
    texts = typing.Annotated[
        list[text],
        msgspec.Meta(min_length=1, max_length=MAX_PATTERNS_PER_FIELD),
    ]
    return typing.Annotated[text | texts, msgspec.Meta(extra={'check': check})]


Pattern = _create_pattern_type(_check_pattern)
HeaderName = typing.Annotated[
    str, msgspec.Meta(extra={'check': _check_header_name})
]


class When(typing.NamedTuple):
    """The condition of a rule; a field that is None matches any value."""

    service: Pattern = None
    kind: Pattern = None
    caller_class: Pattern = None
    method: _create_pattern_type(_check_method) = None
    path: _create_pattern_type(_check_path) = None
    headers: typing.Annotated[
        dict[HeaderName, Pattern], msgspec.Meta(max_length=MAX_HEADERS)
    ] = {}
    data_centre: Pattern = None


ServiceName = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


RegionName = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class ForwardTarget(typing.NamedTuple):
    """A service that receives a share of the requests, and its weight."""

    service: ServiceName
    weight: _bounded_number(float, 0, 1_000_000) = 1.0


class Gather(typing.NamedTuple):
    """The services of a gathered query, one per shard.

    `limit` is the maximum number of records in the merged answer.
    """

    shards: typing.Annotated[
        tuple[ServiceName, ...], msgspec.Meta(min_length=1, max_length=4096)
    ]
    limit: _bounded_number(int, 1, 100_000) = 10


class Then(typing.NamedTuple):
    """The decision of a rule; see `Decision` for the fields."""

    urgency: typing.Literal['urgent', 'ordinary', 'background'] = 'ordinary'
    # At least 5 ms: an exchange with a backend in the same data centre takes
    # about 1 ms, and in less than 5 ms a fan-out cannot be merged.
    deadline_ms: _bounded_number(int, 5, 600_000) = 1_000
    idempotent: bool = False
    coverage_percent: _bounded_number(int, 0, 100) = 100
    below_coverage: typing.Literal['partial', 'refuse'] = 'partial'
    hedge: bool = False
    max_retries: _bounded_number(int, 0, 10) = 0
    extra_load_percent: _bounded_number(float, 0, 100) = 5.0
    snapshot: typing.Literal['restart', 'pin'] = 'restart'
    objective_ms: _bounded_number(float, 1, 600_000) | None = None
    max_servers: _bounded_number(int, 1, 16) = 2
    forward: typing.Annotated[
        tuple[ForwardTarget, ...], msgspec.Meta(max_length=64)
    ] = ()
    gather: Gather | None = None
    allowed_regions: typing.Annotated[
        tuple[RegionName, ...], msgspec.Meta(max_length=64)
    ] = ()


class Rule(typing.NamedTuple):
    """A named condition and the decision for requests that match it."""

    name: RuleName
    when: When
    then: Then


class RulesDocument(typing.NamedTuple):
    """An ordered list of rules, and the decision when none matches."""

    rules: typing.Annotated[
        tuple[Rule, ...], msgspec.Meta(max_length=MAX_RULES)
    ]
    default: Then | None = None
