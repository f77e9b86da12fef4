"""Parses, checks, matches and explains operators' rules."""

from hawthornfold.rules.compiling import compile_document
from hawthornfold.rules.compiling import compile_rules
from hawthornfold.rules.compiling import describe_rules
from hawthornfold.rules.compiling import parse_rules
from hawthornfold.rules.decisions import URGENCIES
from hawthornfold.rules.decisions import Decision
from hawthornfold.rules.decisions import RequestFacts
from hawthornfold.rules.ruleset import Explanation
from hawthornfold.rules.ruleset import RuleSet
from hawthornfold.rules.ruleset import RuleTrace
from hawthornfold.rules.schema import ForwardTarget
from hawthornfold.rules.schema import Gather
from hawthornfold.rules.schema import Rule
from hawthornfold.rules.schema import RulesDocument
from hawthornfold.rules.schema import Then
from hawthornfold.rules.schema import When

__all__ = [
    'URGENCIES',
    'Decision',
    'Explanation',
    'ForwardTarget',
    'Gather',
    'RequestFacts',
    'Rule',
    'RuleSet',
    'RuleTrace',
    'RulesDocument',
    'Then',
    'When',
    'compile_rules',
    'compile_document',
    'describe_rules',
    'parse_rules',
]
