"""Operators' rules: parsing, checking, matching and explaining."""

from hawthornfold.rules.compiling import compile_rules
from hawthornfold.rules.decisions import URGENCIES
from hawthornfold.rules.decisions import Decision
from hawthornfold.rules.decisions import RequestFacts
from hawthornfold.rules.ruleset import Explanation
from hawthornfold.rules.ruleset import RuleSet
from hawthornfold.rules.ruleset import RuleTrace

__all__ = [
    'URGENCIES',
    'Decision',
    'Explanation',
    'RequestFacts',
    'RuleSet',
    'RuleTrace',
    'compile_rules',
]
