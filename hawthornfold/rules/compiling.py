"""Compiles rules documents and checks them for faults."""

from result import Err
from result import Ok

from hawthornfold.codes import ResultCode
from hawthornfold.documents import Fault
from hawthornfold.documents import convert_document
from hawthornfold.documents import locate_faults
from hawthornfold.documents import parse_document
from hawthornfold.rules import schema
from hawthornfold.rules.decisions import URGENCIES
from hawthornfold.rules.decisions import Decision
from hawthornfold.rules.index import RuleIndex
from hawthornfold.rules.index import iterate_bits
from hawthornfold.rules.patterns import PLAIN_FIELDS
from hawthornfold.rules.patterns import compile_condition
from hawthornfold.rules.ruleset import CompiledRule
from hawthornfold.rules.ruleset import create_rule_set

DEFAULT_NAME = 'default'


def _create_decision(name, then):
    return Decision(
        name,
        URGENCIES[then.urgency],
        then.deadline_ms,
        then.idempotent,
        then.coverage_percent,
        then.below_coverage,
        then.hedge,
        then.max_retries,
        then.extra_load_percent,
        then.snapshot,
        then.objective_ms,
        then.max_servers,
        then.forward,
        then.gather,
        then.allowed_regions,
    )


def _count_patterns(when):
    """Return the number of patterns in a `When`."""
    patterns = [getattr(when, name) for name in PLAIN_FIELDS]
    patterns += when.headers.values()
    return sum(
        1 if isinstance(pattern, str) else len(pattern or ())
        for pattern in patterns
    )


def _check_then(then, path):
    """Yield a fault for each contradiction between fields of a `Then`."""

    def create_fault(field, detail):
        return Fault(ResultCode.RULE_CONTRADICTION, detail, (*path, field))

    if not then.idempotent:
        remedy = 'which needs "idempotent": true'
        if then.hedge:
            yield create_fault(
                'hedge', f'a hedge runs a query twice, {remedy}'
            )
        if then.max_retries:
            yield create_fault(
                'max_retries', f'a retry may run a query twice, {remedy}'
            )
    elif (then.hedge or then.max_retries) and not then.extra_load_percent:
        yield create_fault(
            'extra_load_percent',
            'hedges and retries need an extra load above 0 percent',
        )
    if then.forward and then.gather is not None:
        yield create_fault(
            'gather', 'a request is either passed through or gathered'
        )
    if then.forward and not any(t.weight for t in then.forward):
        yield create_fault('forward', 'no target has a weight above 0')
    if then.gather is not None and not then.idempotent:
        yield create_fault(
            'gather',
            'gathering asks many servers, which needs "idempotent": true',
        )
    if not then.coverage_percent and then.below_coverage == 'refuse':
        yield create_fault(
            'below_coverage', 'no answer covers less than 0 percent'
        )


def _check_unique_names(rules):
    """Yield a fault for every rule whose name is already in use."""
    taken_names = {DEFAULT_NAME: 'reserved for the default'}
    for number, rule in rules.items():
        if rule.name in taken_names:
            yield Fault(
                ResultCode.RULE_DUPLICATE_NAME,
                f'the name "{rule.name}" is {taken_names[rule.name]}',
                ('rules', number, 'name'),
            )
        taken_names.setdefault(rule.name, f'that of rules[{number}]')


def _check_reachability(rules):
    """Yield a fault for every rule that can never be the first match.

    That is a rule whose condition an earlier rule's condition covers.
    """
    numbers = tuple(rules)
    conditions = [compile_condition(rule.when) for rule in rules.values()]
    index = RuleIndex(conditions)
    for position, condition in enumerate(conditions):
        covering = index.find_covering(condition) & ((1 << position) - 1)
        if not covering:
            continue
        number = numbers[position]
        first = numbers[next(iterate_bits(covering))]
        yield Fault(
            ResultCode.RULE_UNREACHABLE,
            f'"{rules[number].name}" never matches: "{rules[first].name}" '
            f'(rules[{first}]) matches everything it does',
            ('rules', number),
        )


def _check_size(rules):
    """Yield a fault for each total that exceeds its limit.

    The limits bound the time that `_check_reachability` takes.
    """
    pattern_count = 0
    header_names = set()
    for rule in rules.values():
        pattern_count += _count_patterns(rule.when)
        header_names.update(rule.when.headers)
    for subject, count, limit in (
        ('patterns', pattern_count, schema.MAX_PATTERNS),
        ('different header names', len(header_names), schema.MAX_HEADER_NAMES),
    ):
        if count > limit:
            yield Fault(
                ResultCode.FIELD_RANGE,
                f'the rules have {count} {subject}, more than {limit}',
                ('rules',),
            )


def _check_parts(parts):
    """Yield the faults between fields and between rules.

    Parameters
    ----------
    parts : dict of tuple to object
        The parts of the document that passed the checks of the schema, by
        path.
    """
    for path, part in parts.items():
        if isinstance(part, schema.Then):
            yield from _check_then(part, path)
    rules = {
        path[1]: part
        for path, part in parts.items()
        if isinstance(part, schema.Rule)
    }
    yield from _check_unique_names(rules)
    size_faults = list(_check_size(rules))
    yield from size_faults
    if not size_faults:
        yield from _check_reachability(rules)


def compile_rules(data, revision=None):
    """Parse, check and compile a rules document.

    Parameters
    ----------
    data : bytes
        JSON with comments, as in section 8.1 of docs/design.md.
    revision : int, optional
        The platform's revision of the document.

    Returns
    -------
    result.Result
        Ok with a `RuleSet`, or Err with a list of every `Failure` found (at
        most `MAX_FAILURES`), each with its position in the document.

    Examples
    --------
    >>> compiled = compile_rules(
    ...     b'{"rules": [{"name": "fast", "when": {"kind": "search"},'
    ...     b' "then": {"deadline_ms": 80}}]}'
    ... )
    >>> from hawthornfold.rules.decisions import RequestFacts
    >>> rule_set = compiled.ok_value
    >>> rule_set.match(RequestFacts('portal', 'search')).deadline_ms
    80
    >>> rule_set.explain(RequestFacts('portal', 'record')).traces
    (RuleTrace(rule='fast', matched=False, difference='kind'),)
    """
    return parse_rules(data).map(
        lambda rules: compile_document(rules, revision)
    )


def parse_rules(data):
    """Parse and check a rules document.

    Returns
    -------
    result.Result
        Ok with a `RulesDocument`, or Err with a list of `Failure` as from
        `compile_rules`.
    """
    parsed = parse_document(data)
    if parsed.is_err():
        return Err([parsed.err_value])
    document = parsed.ok_value
    conversion = convert_document(document, schema.RulesDocument)
    faults = conversion.faults + list(_check_parts(conversion.valid_objects))
    if faults:
        return Err(locate_faults(document, faults))
    return Ok(conversion.value)


def compile_document(document, revision=None, previous=None):
    """Compile a `RulesDocument` that was built in code.

    Parameters
    ----------
    document : schema.RulesDocument
        Rules whose fields are within the bounds of the schema; they are not
        checked again.
    revision : int, optional
        The revision of the document.
    previous : tuple of (RulesDocument, RuleSet), optional
        An earlier document and its result. Rules that both documents share as
        the same object are not compiled again.

    Returns
    -------
    RuleSet
    """
    compiled = {}
    if previous is not None:
        compiled = {
            id(rule): result
            for rule, result in zip(
                previous[0].rules, previous[1].rules, strict=True
            )
        }
    rules = tuple(
        compiled.get(id(rule)) or _compile_rule(rule)
        for rule in document.rules
    )
    default = None
    if document.default is not None:
        default = _create_decision(DEFAULT_NAME, document.default)
    return create_rule_set(rules, default, revision)


def _compile_rule(rule):
    return CompiledRule(
        rule.name,
        compile_condition(rule.when),
        _create_decision(rule.name, rule.then),
    )


def describe_rules(document):
    """Convert a `RulesDocument` to built-in values that JSON can encode.

    ``hawthornfold check`` accepts the encoded result, and `compile_rules`
    compiles it to the same rules.

    Examples
    --------
    >>> from hawthornfold.rules.schema import Rule, Then, When
    >>> rule = Rule('r', When(path='/a/*'), Then(objective_ms=80.0))
    >>> described = describe_rules(schema.RulesDocument((rule,)))
    >>> described['rules'][0]['when']
    {'path': '/a/*'}
    """
    return {
        'rules': [
            {
                'name': rule.name,
                'when': _describe_fields(rule.when),
                'then': _describe_fields(rule.then),
            }
            for rule in document.rules
        ],
        'default': document.default and _describe_fields(document.default),
    }


def _describe_fields(part):
    """Return the fields of a NamedTuple that differ from their defaults."""
    defaults = part._field_defaults
    return {
        name: _describe_value(value)
        for name, value in part._asdict().items()
        if name not in defaults or value != defaults[name]
    }


def _describe_value(value):
    if hasattr(value, '_asdict'):
        return {k: _describe_value(v) for k, v in value._asdict().items()}
    if isinstance(value, tuple):
        return [_describe_value(item) for item in value]
    return value
