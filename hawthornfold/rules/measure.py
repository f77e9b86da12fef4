"""Measure matching and compiling: ``python -m hawthornfold.rules.measure``.

docs/rules.md keeps the figures. The rules are like those of a deployment
with many services: most name a service and a kind, some a prefix or header.
"""

import random

import msgspec

from hawthornfold.clock import create_system_clock
from hawthornfold.rules.compiling import compile_rules
from hawthornfold.rules.decisions import RequestFacts

RULE_COUNTS = (10, 100, 1_000)
KINDS = ('search', 'status', 'record')
_SEED = 20_260
_FACTS = 2_000
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


def create_facts(count, generator):
    """Return requests, about one in ten of which no rule matches.

    Parameters
    ----------
    count : int
        Number of rules the requests are for.
    generator : random.Random
        Source of the choices.
    """
    services = max(1, count // 3 * 10 // 9)
    return [
        RequestFacts(
            f'service-{generator.randrange(services):04}',
            generator.choice(KINDS),
            headers={'host': '10.0.0.1', 'x-app': 'web'},
        )
        for _ in range(_FACTS)
    ]


def measure_match(match, facts, clock):
    """Return microseconds a call of `match`, over at least 300 ms."""
    calls = 0
    started_ms = clock.now_ms()
    elapsed_ms = 0.0
    while elapsed_ms < _MIN_RUN_MS:
        for request in facts:
            match(request)
        calls += len(facts)
        elapsed_ms = clock.now_ms() - started_ms
    return elapsed_ms * 1000.0 / calls


def main():
    """Print a table of the measurements."""
    clock = create_system_clock()
    print('rules  indexed, us  linear, us  compile, ms')
    for count in RULE_COUNTS:
        data = create_document(count)
        started_ms = clock.now_ms()
        rule_set = compile_rules(data).unwrap()
        compile_ms = clock.now_ms() - started_ms
        facts = create_facts(count, random.Random(_SEED))
        indexed = measure_match(rule_set.match, facts, clock)
        linear = measure_match(rule_set.match_linear, facts, clock)
        print(
            f'{count:5}  {indexed:11.2f}  {linear:10.2f}  {compile_ms:11.1f}'
        )


if __name__ == '__main__':
    main()
