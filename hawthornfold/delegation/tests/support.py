"""Decisions for the tests of delegation."""

from hawthornfold.rules import Decision
from hawthornfold.rules import Gather


def create_decision(shards=90, objective_ms=120.0):
    """Return a decision that gathers answers from `shards` shards."""
    return Decision(
        'r',
        0,
        600,
        True,
        95,
        'refuse',
        True,
        1,
        20,
        'pin',
        objective_ms,
        gather=Gather(tuple(map(str, range(shards))), 20),
    )
