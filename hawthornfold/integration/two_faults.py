"""Injects two faults at once under load, chosen by a seeded generator."""

import contextlib
import random
import typing

FAULTS = (
    'kill node',
    'pause node',
    'restart node',
    'kill backends',
    'stop server',
    'slow server',
    'silent server',
    'stalled connections',
    'wrong snapshot',
    'draining server',
    'platform down',
    'platform stale',
)
_SERVER_FAULTS = {
    'slow server': {'slow_factor': 30.0, 'slow_share': 0.7},
    'silent server': {'silent': True},
    'stalled connections': {'stall_connections': True},
    'wrong snapshot': {'wrong_snapshot': True},
    'draining server': {'draining': True},
}
_PLATFORM_FAULTS = {
    'platform down': {'down': True},
    'platform stale': {'stale_revision': 1},
}
_GROUPS = ('voter-portal', 'payout-ledger')
# One is below and one above the lease of the pause guard, so that the node
# treats its state as stale after about half of the pauses.
_PAUSE_LENGTHS_MS = (800.0, 2000.0)
# Maximum number of answers between two faults, and the number of answers
# that a trial waits for after both faults and again after their end.
_MAX_ANSWERS_BETWEEN_FAULTS = 12
_ANSWERS_AFTER_FAULTS = 40


class FaultChoice(typing.NamedTuple):
    """The kind of a fault and the process or server that has it."""

    kind: str
    place: str


class TrialReport(typing.NamedTuple):
    """The faults, number of claims and answers, and violations of a seed."""

    seed: int
    faults: tuple[FaultChoice, ...]
    claims: int
    answers: int
    violations: list[str]


def choose_faults(seed, nodes, servers, processes):
    """Choose two faults of different kinds for a seed.

    Examples
    --------
    >>> choose_faults(1, ['n1'], ['s1'], ['b1']) == choose_faults(
    ...     1, ['n1'], ['s1'], ['b1'])
    True
    """
    generator = random.Random(seed)
    choices = []
    for kind in generator.sample(FAULTS, 2):
        if kind.endswith('node'):
            place = generator.choice(nodes)
        elif kind == 'kill backends':
            place = generator.choice(processes)
        elif kind in _PLATFORM_FAULTS:
            place = 'platform'
        else:
            place = generator.choice(servers)
        choices.append(FaultChoice(kind, place))
    return tuple(choices)


def run_seed(trial, seed):
    """Inject the faults of a seed, end them, and check all claims.

    The fleet has no faults at the start and at the end.

    Returns
    -------
    TrialReport
        Covers the claims of this seed only.
    """
    trial.reset_claims()
    fleet = trial.fleet
    servers = [name for group in _GROUPS for name in trial.servers(group)]
    processes = sorted({p.process for p in fleet.plan.servers.values()})
    faults = choose_faults(seed, fleet.nodes, servers, processes)
    generator = random.Random(f'{seed}/moments')
    paused = [c.place for c in faults if c.kind == 'pause node']
    with contextlib.ExitStack() as stack:
        # Registered after the load, so that nodes resume before the load
        # waits for its callers, also after an error.
        stack.enter_context(trial.run_load(workers=4, payouts=4))
        for name in paused:
            stack.callback(fleet.resume, name)
        trial.wait_for_answers(generator.randint(5, 15))
        for choice in faults:
            _inject(trial, choice, generator)
            trial.wait_for_answers(
                generator.randint(0, _MAX_ANSWERS_BETWEEN_FAULTS)
            )
        for name in paused:
            trial.sleep_ms(generator.choice(_PAUSE_LENGTHS_MS))
            fleet.resume(name)
        trial.wait_for_answers(_ANSWERS_AFTER_FAULTS)
        trial.heal()
        trial.wait_for_answers(_ANSWERS_AFTER_FAULTS)
    claims = trial.claims
    return TrialReport(
        seed,
        faults,
        len(claims),
        sum(1 for claim in claims if claim.status == 200),
        trial.find_violations(),
    )


def _inject(trial, choice, generator):
    fleet = trial.fleet
    if choice.kind in _SERVER_FAULTS:
        trial.set_fault([choice.place], **_SERVER_FAULTS[choice.kind])
    elif choice.kind in _PLATFORM_FAULTS:
        fleet.control_platform(
            'PUT', '/control/fault', _PLATFORM_FAULTS[choice.kind]
        )
    elif choice.kind == 'kill node':
        trial.kill(choice.place)
    elif choice.kind == 'pause node':
        fleet.pause(choice.place)
    elif choice.kind == 'restart node':
        trial.kill(choice.place)
        trial.wait_for_answers(
            generator.randint(0, _MAX_ANSWERS_BETWEEN_FAULTS)
        )
        fleet.start_again(choice.place)
    elif choice.kind == 'kill backends':
        trial.kill_backends(choice.place)
    else:
        fleet.control_server(choice.place, 'POST', 'stop')
