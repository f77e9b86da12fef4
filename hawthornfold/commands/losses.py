"""Attributes requests that were late, partial or failed to causes.

The input is the logs of gateway nodes. A request counts at the node that took
it from its caller; the lines of nodes that gathered parts for it are read only
for causes of their own.
"""

import collections
import enum
import re
import typing

from hawthornfold.codes import ResultCode
from hawthornfold.commands.log_timeline import parse_line

# A request is delivered late by its node if it ends this long after enough of
# its parts were answered and the answer was due.
_OWN_DELAY_MS = 10.0
# A part whose server has had it for less than this, when the answer was sent,
# could not have been hedged in time.
_SHORT_WAIT_MS = 25.0
_ENDED = re.compile(r'event=request_(?:ended|refused|delegated)\b')


class Outcome(enum.Enum):
    """What a caller got."""

    GOOD = 'in time and complete'
    PARTIAL = 'in time, without some parts'
    LATE = 'late'
    FAILED = 'failed'
    LEFT = 'caller left'


class Cause(enum.Enum):
    """Why a request was late, partial or failed."""

    NODE_STARTING = 'node starting'
    OWN_PROCESSOR = "node's own processor"
    NODE_SILENT = 'another node silent'
    SERVER_DEAD = 'server dead and not yet known'
    SERVER_SLOW = 'server slow or mute'
    SERVER_FAILED = 'server answered with a failure'
    HEDGE_NOT_DUE = 'hedge not due'
    HEDGE_DENIED = 'hedge denied by the budget'
    QUEUE = 'queue for a connection or at the server'
    REFUSED = 'refused: nothing can serve it'
    CALLER_LEFT = 'caller left'
    UNEXPLAINED = 'unexplained'


class Request(typing.NamedTuple):
    """A caller's request as the logs describe it.

    Parameters
    ----------
    time : str
        When it ended.
    node, rule : str
        The node that took it, and its rule; '-' if none matched.
    outcome : Outcome
        What the caller got.
    cause : Cause or None
        Why it was not good.
    ms : float
        Time in the node, in milliseconds.
    objective_ms : float or None
        The objective of the rule.
    """

    time: str
    node: str
    rule: str
    outcome: Outcome
    cause: Cause | None
    ms: float
    objective_ms: float | None


def read_requests(lines):
    """Return the requests of callers that log lines describe.

    Parameters
    ----------
    lines : iterable of str
        Lines of any nodes, in any order.

    Returns
    -------
    list of Request

    Examples
    --------
    >>> (found,) = read_requests(
    ...     [
    ...         'time=1 node=a event=request_ended request=r rule=s for=- '
    ...         'verdict=partial status=200 ms=90.0 objective_ms=120.0 '
    ...         'answer_ms=89 sufficient_ms=40 missing=x hedges=0 denied=2 '
    ...         'pending="x/s1/sent/80ms" helpers="" faults=""'
    ...     ]
    ... )
    >>> found.outcome.value, found.cause.value
    ('in time, without some parts', 'hedge denied by the budget')
    """
    requests = []
    for text in lines:
        if _ENDED.search(text) is None:
            continue
        line = parse_line(text)
        if line is None:
            continue
        request = _read_request(line)
        if request is not None:
            requests.append(request)
    return requests


def _read_request(line):
    fields = line.fields
    event = fields.get('event')
    if fields.get('for', '-') != '-':
        return None
    node = fields.get('node', '-')
    if event == 'request_refused':
        status = fields.get('status')
        cause = Cause.REFUSED
        if fields.get('code') == str(int(ResultCode.NOT_READY)):
            cause = Cause.NODE_STARTING
        if status == '404':
            # The caller asked for something that no rule allows.
            return None
        return Request(line.time, node, '-', Outcome.FAILED, cause, 0.0, None)
    if event == 'request_delegated':
        if fields.get('outcome') != 'silent':
            # The other node reports the end of the request.
            return None
        return Request(
            line.time,
            node,
            fields.get('rule', '-'),
            Outcome.FAILED,
            Cause.NODE_SILENT,
            _read_number(fields, 'ms') or 0.0,
            None,
        )
    ms = _read_number(fields, 'ms') or 0.0
    objective_ms = _read_number(fields, 'objective_ms')
    outcome = _find_outcome(fields, ms, objective_ms)
    cause = None
    if outcome is not Outcome.GOOD:
        cause = _find_cause(fields, outcome, ms)
    return Request(
        line.time,
        node,
        fields.get('rule', '-'),
        outcome,
        cause,
        ms,
        objective_ms,
    )


def _find_outcome(fields, ms, objective_ms):
    verdict = fields.get('verdict')
    if verdict == 'caller-left':
        return Outcome.LEFT
    if verdict not in ('complete', 'partial'):
        return Outcome.FAILED
    answer_ms = _read_number(fields, 'answer_ms')
    if (
        objective_ms is not None
        and answer_ms is not None
        # The network takes what the answer margin leaves of the objective.
        and ms > max(answer_ms, objective_ms - (objective_ms - answer_ms) / 2)
    ):
        return Outcome.LATE
    return Outcome.PARTIAL if verdict == 'partial' else Outcome.GOOD


def _find_cause(fields, outcome, ms):
    if outcome is Outcome.LEFT:
        return Cause.CALLER_LEFT
    verdict = fields.get('verdict')
    if verdict == 'not-run':
        return Cause.REFUSED
    if verdict == 'passed-failure':
        return Cause.SERVER_FAILED
    answer_ms = _read_number(fields, 'answer_ms') or 0.0
    sufficient_ms = _read_number(fields, 'sufficient_ms')
    if outcome is Outcome.LATE and sufficient_ms is not None:
        due_ms = max(answer_ms, sufficient_ms)
        if sufficient_ms <= answer_ms or ms - due_ms > _OWN_DELAY_MS:
            return Cause.OWN_PROCESSOR
    return _find_slow_part(fields)


def _find_slow_part(fields):
    """Return why the parts of a request came too late or not at all."""
    helpers = [entry.split('/') for entry in _read_list(fields, 'helpers')]
    if any('silent' in entry for entry in helpers):
        return Cause.NODE_SILENT
    faults = [entry.split('/') for entry in _read_list(fields, 'faults')]
    kinds = collections.Counter(entry[2] for entry in faults if len(entry) > 2)
    if (_read_number(fields, 'denied') or 0) > 0:
        return Cause.HEDGE_DENIED
    if kinds['unreachable'] + kinds['lost'] + kinds['wrong-server']:
        return Cause.SERVER_DEAD
    if kinds['not-executed']:
        return Cause.QUEUE
    if kinds['failed']:
        return Cause.SERVER_FAILED
    pending = [entry.split('/') for entry in _read_list(fields, 'pending')]
    states = collections.Counter(
        entry[2] for entry in pending if len(entry) > 3
    )
    if states['waiting'] > states['sent']:
        return Cause.QUEUE
    waits = [
        float(entry[3].removesuffix('ms'))
        for entry in pending
        if len(entry) > 3 and entry[2] == 'sent'
    ]
    if waits and max(waits) < _SHORT_WAIT_MS:
        return Cause.OWN_PROCESSOR
    if fields.get('hedges') == '-' or (_read_number(fields, 'hedges') or 0):
        # The rule allows no hedges, or they did not help.
        return Cause.SERVER_SLOW
    if waits:
        return Cause.HEDGE_NOT_DUE
    if any('cancelled' in entry for entry in helpers):
        return Cause.SERVER_SLOW
    if _read_number(fields, 'sufficient_ms') is not None:
        return Cause.SERVER_SLOW
    return Cause.UNEXPLAINED


def _read_number(fields, name):
    try:
        return float(fields.get(name, ''))
    except ValueError:
        return None


def _read_list(fields, name):
    return fields.get(name, '').split()


def format_losses(requests):
    """Return a table of causes by outcome, and the share of each outcome."""
    outcomes = collections.Counter(x.outcome for x in requests)
    causes = collections.Counter(
        (x.cause, x.outcome) for x in requests if x.cause is not None
    )
    total = len(requests)
    rows = [f'requests  {total}']
    rows += [
        f'{outcome.value:30} {outcomes[outcome]:7} '
        f'{100.0 * outcomes[outcome] / max(total, 1):6.1f}%'
        for outcome in Outcome
    ]
    columns = (Outcome.FAILED, Outcome.LATE, Outcome.PARTIAL, Outcome.LEFT)
    header = ''.join(f'{x.name.lower():>9}' for x in columns)
    rows.append(f'\n{"cause":42}{header}')
    totals = collections.Counter()
    for (cause, _), count in causes.items():
        totals[cause] += count
    for cause, _ in totals.most_common():
        counts = ''.join(f'{causes[cause, x]:9}' for x in columns)
        rows.append(f'{cause.value:42}{counts}')
    return '\n'.join(rows)
