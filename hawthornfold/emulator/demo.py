"""Runs both deployments at reduced size and sends queries to each."""

import contextlib
import dataclasses
import signal
import sys
import typing

import cappa
import urllib3

from hawthornfold.clock import create_system_clock
from hawthornfold.emulator import deployments
from hawthornfold.emulator import fleet as fleets
from hawthornfold.emulator import load
from hawthornfold.emulator import mixes
from hawthornfold.emulator import processes

NODES = 3
_ROUNDS = 2
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGHUP)


def create_demo_deployments():
    """Create both deployments with fewer services each.

    Examples
    --------
    >>> [d.server_count for d in create_demo_deployments()]
    [16, 18]
    """
    return (
        deployments.create_lipovec(services=(3, 2)),
        deployments.create_monterrey(services=(3, 2)),
    )


def format_answer(kind, status, answer):
    """Format one answer as a line of text.

    Examples
    --------
    >>> kind = mixes.build_mix(deployments.create_lipovec())[3]
    >>> print(format_answer(kind, 200, {
    ...     'outcome': 'complete', 'snapshot': 's1', 'rule': 'records',
    ...     'coverage': {'answered_weight': 9, 'total_weight': 9},
    ...     'total': 4, 'latency_ms': 21.5}))
    clerk-desk/record    200 complete s1 coverage 9/9 21.5 ms rule records, \
4 hits
    """
    name = f'{kind.service}/{kind.kind}'
    coverage = answer.get('coverage') or {}
    return (
        f'{name:20} {status} {answer.get("outcome")} {answer.get("snapshot")}'
        f' coverage {coverage.get("answered_weight")}'
        f'/{coverage.get("total_weight")}'
        f' {answer.get("latency_ms") or 0:.1f} ms'
        f' rule {answer.get("rule")}, {answer.get("total")} hits'
        + (f' ({answer["detail"]})' if answer.get('detail') else '')
    )


def query_deployment(fleet, write):
    """Send sample queries of every kind to the entry nodes, round-robin.

    Parameters
    ----------
    fleet : Fleet
        A running fleet.
    write : callable
        Receives each line of text.

    Returns
    -------
    int
        Number of answers that are not complete.
    """
    pool = processes.create_pool()
    balancer = fleet.create_balancer()
    failed = 0
    for kind in mixes.build_mix(fleet.plan.deployment) * _ROUNDS:
        target = balancer.next_target()
        balancer.advance_turn()
        url = f'http://127.0.0.1:{target.port}/v1/query'
        try:
            status, answer = load.send_query(
                pool, url, kind, kind.texts[0], limit=3
            )
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            status, answer = 0, {'outcome': 'no answer', 'detail': str(error)}
        write(f'  {target.name} {format_answer(kind, status, answer)}')
        failed += answer.get('outcome') != 'complete'
    return failed


def _describe_addresses(fleet, write):
    plan = fleet.plan
    write(f'  platform   http://127.0.0.1:{plan.platform_port}')
    for name, ports in plan.nodes.items():
        write(
            f'  {name}    callers http://127.0.0.1:{ports.callers}'
            f'  operators http://127.0.0.1:{ports.operators}'
        )


def _wait_for_interrupt(write):
    write('Ctrl-C ends the demo.')
    clock = create_system_clock()
    with contextlib.suppress(KeyboardInterrupt):
        while True:
            clock.sleep_ms(500)


def raise_on_stop_signals():
    """Raise `SystemExit` on SIGTERM or SIGHUP, so that contexts clean up.

    The exit status is that of a process that the signal has ended. Further
    ones are ignored, so that they do not interrupt the clean-up.
    """

    def stop(number, _frame):
        for each in _STOP_SIGNALS:
            signal.signal(each, signal.SIG_IGN)
        sys.exit(128 + number)

    for number in _STOP_SIGNALS:
        signal.signal(number, stop)


def write_line(text):
    """Print a line and flush it, so that a pipe receives it at once."""
    print(text, flush=True)


def run_demo(keep=False, write=write_line):
    """Run the demo.

    Parameters
    ----------
    keep : bool
        Keep both deployments running until Ctrl-C.
    write : callable
        Receives each line of text.

    Returns
    -------
    int
        Exit status: 0 when every answer was complete.
    """
    raise_on_stop_signals()
    failed = 0
    try:
        with contextlib.ExitStack() as stack:
            for deployment in create_demo_deployments():
                write(
                    f'{deployment.name}: {NODES} entry nodes, '
                    f'{deployment.server_count} backend servers'
                )
                fleet = stack.enter_context(
                    fleets.open_fleet(deployment, NODES)
                )
                failed += query_deployment(fleet, write)
                if keep:
                    _describe_addresses(fleet, write)
            if keep:
                _wait_for_interrupt(write)
    except processes.ProcessFailure as failure:
        write(f'the demo failed: {failure}')
        return 1
    write(f'{failed} answers were not complete' if failed else 'all complete')
    return 1 if failed else 0


@cappa.command(name='demo')
@dataclasses.dataclass
class DemoCommand:
    """Run both deployments at reduced size and query them."""

    keep: typing.Annotated[bool, cappa.Arg(long=True)] = False

    def __call__(self):
        """Run the demo; exit 0 when every answer is complete."""
        raise cappa.Exit(code=run_demo(self.keep))
