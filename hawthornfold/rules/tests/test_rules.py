import itertools
import json
import unittest

from hypothesis import given
from hypothesis import strategies

from hawthornfold.codes import ResultCode
from hawthornfold.documents.tests import strategies as document_strategies
from hawthornfold.rules import RequestFacts
from hawthornfold.rules import compile_rules
from hawthornfold.rules import describe_rules
from hawthornfold.rules import parse_rules
from hawthornfold.rules.compiling import compile_condition
from hawthornfold.rules.index import RuleIndex
from hawthornfold.rules.index import iterate_bits
from hawthornfold.rules.measure import create_document
from hawthornfold.rules.schema import When

FIELDS = ('service', 'kind', 'caller_class', 'method', 'path', 'data_centre')
TEXTS = strategies.text('ab', max_size=3)
PATTERNS = strategies.one_of(TEXTS, TEXTS.map(lambda text: text + '*'))
VALUES = strategies.one_of(
    PATTERNS, strategies.lists(PATTERNS, min_size=1, max_size=3)
)
WHENS = strategies.fixed_dictionaries(
    {},
    optional={
        **dict.fromkeys(FIELDS, VALUES),
        'headers': strategies.dictionaries(
            strategies.sampled_from(['x-a', 'x-b']), VALUES, max_size=2
        ),
    },
)
FACTS = strategies.builds(
    RequestFacts,
    **dict.fromkeys(FIELDS, TEXTS),
    headers=strategies.dictionaries(
        strategies.sampled_from(['x-a', 'x-b']), TEXTS
    ),
)
VALID = {
    'rules': [
        {
            'name': 'first',
            'when': {'service': 'a', 'headers': {'x': ['b*', 'c']}},
            'then': {'deadline_ms': 80, 'urgency': 'urgent'},
        },
        {'name': 'second', 'when': {}, 'then': {'idempotent': True}},
    ],
    'default': None,
}

# The last fields of a decision whose rule does not set them: objective_ms,
# max_servers, forward, gather and allowed_regions.
DEFAULT_FORWARDING = (None, 2, (), None, ())


def matches_naively(when, facts):
    """Match as docs/rules.md describes, without the code under test."""

    def matches(pattern, value):
        patterns = [pattern] if isinstance(pattern, str) else pattern
        return value is not None and any(
            value == text
            or (text.endswith('*') and value.startswith(text[:-1]))
            for text in patterns
        )

    return all(
        matches(when[name], getattr(facts, name))
        for name in FIELDS
        if name in when
    ) and all(
        matches(pattern, facts.headers.get(name))
        for name, pattern in when.get('headers', {}).items()
    )


def compile_content(content):
    return compile_rules(json.dumps(content).encode())


def create_rule(name, when=None, **then):
    return {'name': name, 'when': when or {}, 'then': then}


class MatchingTest(unittest.TestCase):
    @given(strategies.lists(WHENS, max_size=6), FACTS)
    def test_index_explanation_and_naive_match_agree(self, whens, facts):
        # Guards against an index that misses the first matching rule.
        conditions = [compile_condition(When(**when)) for when in whens]
        candidates = RuleIndex(conditions).find_candidates(facts)
        indexed = [
            number
            for number in iterate_bits(candidates)
            if conditions[number].matches_headers(facts.headers)
        ]
        expected = [
            number
            for number, when in enumerate(whens)
            if matches_naively(when, facts)
        ]
        self.assertEqual(indexed, expected)
        for number, condition in enumerate(conditions):
            difference = condition.find_difference(facts)
            self.assertEqual(difference is None, number in expected)

    @given(strategies.integers(0, 400), strategies.sampled_from('ab'))
    def test_match_agrees_with_linear_match_and_explain(self, number, header):
        # Guards against `match` and `explain` giving different decisions.
        rule_set = compile_rules(create_document(300), revision=7).ok()
        self.assertEqual(rule_set.revision, 7)
        kind = ('search', 'status', 'record')[number % 3]
        for headers in ({}, {'x-app': 'web'}, {'x-app': header}):
            facts = RequestFacts(
                f'service-{number // 3:04}', kind, headers=headers
            )
            decision = rule_set.match(facts)
            self.assertEqual(decision, rule_set.match_linear(facts))
            self.assertEqual(decision, rule_set.explain(facts).decision)

    def test_allowed_regions_are_compiled_and_described(self):
        # Guards against a limit that is lost between operators and nodes.
        rule = create_rule('r', {'kind': 'a'}, allowed_regions=['n', 'e'])
        content = {'rules': [rule], 'default': {}}
        rule_set = compile_content(content).ok()
        decision = rule_set.match(RequestFacts('s', 'a'))
        self.assertEqual(decision.allowed_regions, ('n', 'e'))
        document = parse_rules(json.dumps(content).encode()).ok()
        described = describe_rules(document)
        self.assertEqual(
            described['rules'][0]['then']['allowed_regions'], ['n', 'e']
        )
        self.assertNotIn('allowed_regions', described['default'])
        self.assertEqual(
            parse_rules(json.dumps(described).encode()).ok(), document
        )
        for regions in ('n', [''], [1], ['n'] * 65):
            rule['then']['allowed_regions'] = regions
            self.assertTrue(compile_content(content).is_err())

    def test_decision_has_fields_of_then_and_defaults(self):
        # Guards against two fields of `then` that are swapped.
        rules = [
            create_rule('r', {'kind': 'a'}, snapshot='pin', max_retries=2)
        ]
        rules[0]['then'].update(
            urgency='background',
            deadline_ms=5,
            idempotent=True,
            coverage_percent=98,
            below_coverage='refuse',
            hedge=True,
            extra_load_percent=2.5,
        )
        content = {'rules': rules, 'default': {}}
        rule_set = compile_content(content).ok()
        self.assertEqual(
            rule_set.match(RequestFacts('s', 'a')),
            (
                'r',
                2,
                5,
                True,
                98,
                'refuse',
                True,
                2,
                2.5,
                'pin',
                *DEFAULT_FORWARDING,
            ),
        )
        self.assertEqual(
            rule_set.match(RequestFacts('s', 'b')),
            (
                'default',
                1,
                1000,
                False,
                100,
                'partial',
                False,
                0,
                5,
                'restart',
                *DEFAULT_FORWARDING,
            ),
        )
        del content['default']
        rule_set = compile_content(content).ok()
        self.assertIsNone(rule_set.match(RequestFacts('s', 'b')))

    def test_an_explanation_names_the_first_difference(self):
        # Guards against an explanation that blames a field that matches.
        when = {'service': 's', 'headers': {'x-a': 'b'}, 'data_centre': 'd'}
        rule_set = compile_content({'rules': [create_rule('r', when)]}).ok()
        for facts, difference in [
            (RequestFacts('t', 'k'), 'service'),
            (RequestFacts('s', 'k', headers={'x-a': 'b'}), 'data_centre'),
            (RequestFacts('s', 'k', data_centre='d'), 'headers.x-a'),
            (RequestFacts('s', 'k', '', '', '', {'x-a': 'b'}, 'd'), None),
        ]:
            trace = rule_set.explain(facts).traces[0]
            self.assertEqual(trace, ('r', difference is None, difference))


class CheckingTest(unittest.TestCase):
    def assert_failures(self, content, *expected):
        failures = compile_content(content).err() or []
        self.assertEqual(
            [(failure.code, failure.path) for failure in failures],
            list(expected),
        )

    @given(WHENS, WHENS, strategies.lists(FACTS, min_size=8, max_size=8))
    def test_a_covered_rule_is_never_reached(self, first, second, samples):
        # Guards against refusing a rule that is the first match of some
        # request.
        index = RuleIndex([compile_condition(When(**first))])
        condition = compile_condition(When(**second))
        if index.find_covering(condition):
            for facts in samples:
                self.assertLessEqual(
                    matches_naively(second, facts),
                    matches_naively(first, facts),
                )

    @given(VALUES, VALUES)
    def test_coverage_of_one_field_is_exact(self, first, second):
        # Guards against accepting a rule that is never the first match.
        # Patterns have at most three letters, all a or b, so strings of up to
        # four letters a, b and c decide whether one prefix covers another.
        index = RuleIndex([compile_condition(When(service=first))])
        covered = index.find_covering(compile_condition(When(service=second)))
        subset = all(
            matches_naively({'service': first}, facts)
            for length in range(5)
            for letters in itertools.product('abc', repeat=length)
            for facts in [RequestFacts(''.join(letters), '')]
            if matches_naively({'service': second}, facts)
        )
        self.assertEqual(bool(covered), subset)

    @given(
        strategies.one_of(
            strategies.binary(),
            document_strategies.damaged_documents(
                strategies.just(json.dumps(VALID).encode())
            ),
            strategies.lists(document_strategies.VALUES, max_size=3).map(
                lambda rules: json.dumps({'rules': rules}).encode()
            ),
        )
    )
    def test_any_bytes_give_rules_or_located_failures(self, data):
        # Guards against an exception while a configuration is applied.
        compiled = compile_rules(data)
        for failure in compiled.err() or []:
            self.assertIn(int(failure.code) // 100, (1, 2))
            self.assertGreater(failure.line, 0)
            self.assertTrue(failure.detail.isprintable())
        if compiled.is_err():
            self.assertTrue(compiled.err_value)

    def test_failures_have_positions_and_suggestions(self):
        # Guards against failures that give the wrong line of a long file.
        data = b"""{"rules": [
  {"name": "a", "when": {"sevice": "x"}, "then": {"deadline_ms": "80ms"}},
  {"name": "b", "then": {"urgency": "urgnt", "hedge": true},
   "when": {"kind": ["x", 7]}},
  {"name": "b", "when": {"headers": {"X-A": "b"}}, "then": {"hedge": true}}
]}"""
        failures = compile_rules(data).err()
        self.assertEqual(
            [(int(f.code), f.path, f.line, f.column) for f in failures],
            [
                (201, 'rules[0].when.sevice', 2, 26),
                (202, 'rules[0].then.deadline_ms', 2, 51),
                (203, 'rules[1].then.urgency', 3, 26),
                (202, 'rules[1].when.kind[1]', 4, 27),
                (203, 'rules[2].when.headers.X-A', 5, 38),
                (206, 'rules[2].then.hedge', 5, 61),
            ],
        )
        self.assertIn('did you mean "service"?', failures[0].detail)
        self.assertIn('(milliseconds)', failures[1].detail)

    def test_contradictions_and_out_of_range_values_are_refused(self):
        # Guards against rules that cannot be followed, above all hedges or
        # retries of a request that must run at most once.
        contradiction = ResultCode.RULE_CONTRADICTION
        out_of_range = ResultCode.FIELD_RANGE
        retried = {'idempotent': True, 'max_retries': 1}
        for then, code, field in [
            ({'hedge': True}, contradiction, 'hedge'),
            ({'max_retries': 1}, contradiction, 'max_retries'),
            (
                {**retried, 'extra_load_percent': 0},
                contradiction,
                'extra_load_percent',
            ),
            (
                {'coverage_percent': 0, 'below_coverage': 'refuse'},
                contradiction,
                'below_coverage',
            ),
            ({'deadline_ms': 4}, out_of_range, 'deadline_ms'),
            ({'deadline_ms': 10**400}, out_of_range, 'deadline_ms'),
            ({'coverage_percent': 101}, out_of_range, 'coverage_percent'),
            ({'coverage_percent': 9.5}, ResultCode.FIELD_TYPE, None),
            ({'deadline_ms': True}, ResultCode.FIELD_TYPE, 'deadline_ms'),
            ({'urgency': None}, ResultCode.FIELD_TYPE, 'urgency'),
        ]:
            with self.subTest(then):
                path = f'rules[0].then.{field or "coverage_percent"}'
                rules = [create_rule('r', **then)]
                self.assert_failures({'rules': rules}, (code, path))

    def test_patterns_that_cannot_match_are_refused(self):
        # Guards against rules that have no effect without a warning.
        for when, path in [
            ({'service': 'a*b'}, 'service'),
            ({'kind': ['a', '**']}, 'kind[1]'),
            ({'method': 'post'}, 'method'),
            ({'path': 'v1/query'}, 'path'),
            ({'headers': {'X-App': 'a'}}, 'headers.X-App'),
            ({'kind': []}, 'kind'),
        ]:
            with self.subTest(when):
                self.assert_failures(
                    {'rules': [create_rule('r', when)]},
                    (ResultCode.FIELD_RANGE, f'rules[0].when.{path}'),
                )

    def test_duplicate_names_and_unreachable_rules_are_refused(self):
        # Guards against audit entries that fit two rules of the same name,
        # and against rules that never apply although they were accepted.
        twice = (ResultCode.RULE_DUPLICATE_NAME, 'rules[1].name')
        hidden = (ResultCode.RULE_UNREACHABLE, 'rules[1]')
        first = create_rule('a', {'service': 'x'})
        same_name = create_rule('a', {'service': 'y'})
        self.assert_failures({'rules': [first, same_name]}, twice)
        reserved = create_rule('default', {'service': 'y'})
        self.assert_failures({'rules': [first, reserved]}, twice)
        narrow = create_rule('b', {'service': ['x'], 'kind': 'k'})
        self.assert_failures({'rules': [first, narrow]}, hidden)
        self.assert_failures({'rules': [narrow, first]})

    def test_oversized_documents_are_refused(self):
        # Guards against documents whose checks block the event loop.
        out_of_range = ResultCode.FIELD_RANGE
        rules = [
            create_rule(str(n), {'service': [f'{n}-{m}' for m in range(100)]})
            for n in range(201)
        ]
        self.assert_failures({'rules': rules[1:]})
        self.assert_failures({'rules': rules}, (out_of_range, 'rules'))
        rules = [
            create_rule(str(n), {'headers': {f'x{n}': 'a'}}) for n in range(65)
        ]
        self.assert_failures({'rules': rules[1:]})
        self.assert_failures({'rules': rules}, (out_of_range, 'rules'))
        rules = [create_rule(str(n), {'kind': str(n)}) for n in range(2_001)]
        self.assert_failures({'rules': rules[1:]})
        self.assert_failures({'rules': rules}, (out_of_range, 'rules'))
