"""Measure matching and compiling: ``python -m hawthornfold.rules.measure``.

docs/rules.md lists the results. The rules resemble those of a deployment
with many services: most have conditions on a service and a kind, some on a
prefix or a header.
"""

import random

import msgspec

from hawthornfold.clock import create_system_clock
from hawthornfold.rules import schema
from hawthornfold.rules.compiling import compile_rules
from hawthornfold.rules.decisions import RequestFacts

RULE_COUNTS = (10, 100, 1_000)
KINDS = ('search', 'status', 'record')
_SEED = 20_260
_REQUEST_COUNT = 2_000
_MIN_RUN_MS = 300.0


def create_document(count):
    """Return the bytes of a document of `count` reachable rules."""
    rules = []
    for number in range(count):
        when = {
            'service': f'service-{number // 3:04}',
            'kind': [KINDS[number % 3]],
        }
        if number % 10 == 8:
            when['service'] = f'service-{number // 3:04}*'
        if number % 10 == 9:
            when['headers'] = {'x-app': 'web'}
        then = {'deadline_ms': 80, 'idempotent': True, 'hedge': True}
        rules.append({'name': f'rule-{number}', 'when': when, 'then': then})
    return msgspec.json.encode({'default': {}, 'rules': rules})


def create_largest_document():
    """Return the bytes of a document at the limits of the schema.

    Every pattern is a prefix, and the prefixes have many different lengths:
    this is the slowest case for the index.
    """
    rules = []
    per_rule = schema.MAX_PATTERNS // schema.MAX_RULES
    for number in range(schema.MAX_RULES):
        fill = 'x' * (number % 32)
        paths = [f'/{number}-{index}-{fill}*' for index in range(per_rule)]
        then = {
            'urgency': 'urgent',
            'deadline_ms': 80,
            'idempotent': True,
            'coverage_percent': 90,
            'below_coverage': 'refuse',
            'hedge': True,
            'max_retries': 1,
            'extra_load_percent': 5,
            'snapshot': 'pin',
        }
        when = {'path': paths}
        rules.append({'name': f'rule-{number}', 'when': when, 'then': then})
    return msgspec.json.encode({'rules': rules})


def create_facts(count, generator):
    """Create the facts of requests; no rule matches about one in ten.

    Parameters
    ----------
    count : int
        Number of rules in the document.
    generator : random.Random
        Generator that chooses services and kinds.
    """
    services = max(1, count // 3 * 10 // 9)
    return [
        RequestFacts(
            f'service-{generator.randrange(services):04}',
            generator.choice(KINDS),
            headers={'host': '10.0.0.1', 'x-app': 'web'},
        )
        for _ in range(_REQUEST_COUNT)
    ]


def measure_match(match, facts, clock):
    """Return the mean time of a call of `match` in microseconds.

    The calls are repeated for at least 300 ms.
    """
    calls = 0
    started_ms = clock.now_ms()
    elapsed_ms = 0.0
    while elapsed_ms < _MIN_RUN_MS:
        for request in facts:
            match(request)
        calls += len(facts)
        elapsed_ms = clock.now_ms() - started_ms
    return elapsed_ms * 1000.0 / calls


def measure_compile(data, clock):
    """Compile a document; return the rule set and the time in ms."""
    started_ms = clock.now_ms()
    rule_set = compile_rules(data).unwrap()
    return rule_set, clock.now_ms() - started_ms


def main():
    """Print a table of the measured times."""
    clock = create_system_clock()
    print('rules  indexed, us  linear, us  compile, ms')
    for count in RULE_COUNTS:
        rule_set, compile_ms = measure_compile(create_document(count), clock)
        facts = create_facts(count, random.Random(_SEED))
        indexed = measure_match(rule_set.match, facts, clock)
        linear = measure_match(rule_set.match_linear, facts, clock)
        print(
            f'{count:5}  {indexed:11.2f}  {linear:10.2f}  {compile_ms:11.1f}'
        )
    data = create_largest_document()
    _, compile_ms = measure_compile(data, clock)
    print(f'largest document, {len(data)} bytes: {compile_ms:.1f} ms')


if __name__ == '__main__':
    main()
