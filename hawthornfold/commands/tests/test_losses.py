import pathlib
import tempfile
import unittest

from hawthornfold.commands import line
from hawthornfold.commands import loss_plots
from hawthornfold.commands import losses

FIELDS = {
    'time': '2026-12-04T05:00:01.5',
    'node': 'n1',
    'event': 'request_ended',
    'request': 'r1',
    'rule': 'search',
    'verdict': 'partial',
    'status': '200',
    'for': '-',
    'ms': '90.0',
    'objective_ms': '120.0',
    'answer_ms': '89',
    'sufficient_ms': '40',
    'missing': 'x',
    'hedges': '0',
    'denied': '0',
    'helpers': '""',
    'pending': '""',
    'faults': '""',
}


def create_line(**fields):
    """Return a log line of a request, changed by the arguments."""
    values = {**FIELDS, **{k.rstrip('_'): v for k, v in fields.items()}}
    return ' '.join(f'{name}={value}' for name, value in values.items())


class CauseTest(unittest.TestCase):
    def attribute(self, **fields):
        (request,) = losses.read_requests([create_line(**fields)])
        return request.outcome, request.cause

    def test_outcomes_are_those_of_the_caller(self):
        # Guards against losses that no row of the table counts.
        for fields, outcome in (
            ({'verdict': 'complete'}, losses.Outcome.GOOD),
            ({}, losses.Outcome.PARTIAL),
            ({'ms': '112.0'}, losses.Outcome.LATE),
            ({'verdict': 'complete', 'ms': '300.0'}, losses.Outcome.LATE),
            ({'verdict': 'timed-out'}, losses.Outcome.FAILED),
            ({'verdict': 'caller-left'}, losses.Outcome.LEFT),
        ):
            with self.subTest(fields):
                self.assertIs(self.attribute(**fields)[0], outcome)

    def test_each_cause_is_recognized(self):
        # Guards against a cause that hides another one.
        sent = '"x/s1/sent/80ms"'
        for fields, cause in (
            ({'denied': '2', 'pending': sent}, losses.Cause.HEDGE_DENIED),
            ({'hedges': '1', 'pending': sent}, losses.Cause.SERVER_SLOW),
            ({'hedges': '-', 'pending': sent}, losses.Cause.SERVER_SLOW),
            ({'pending': sent}, losses.Cause.HEDGE_NOT_DUE),
            ({'pending': '"x/s1/sent/8ms"'}, losses.Cause.OWN_PROCESSOR),
            ({'pending': '"x/s1/waiting/80ms"'}, losses.Cause.QUEUE),
            (
                {'faults': '"x/s1/lost/reset/3ms"'},
                losses.Cause.SERVER_DEAD,
            ),
            (
                {'faults': '"x/s1/not-executed/status 503/3ms"'},
                losses.Cause.QUEUE,
            ),
            (
                {'helpers': '"n2/30/0/-/silent/44ms"'},
                losses.Cause.NODE_SILENT,
            ),
            (
                {'ms': '160.0', 'sufficient_ms': '60'},
                losses.Cause.OWN_PROCESSOR,
            ),
            (
                {
                    'ms': '160.0',
                    'sufficient_ms': '158',
                    'hedges': '3',
                    'pending': sent,
                },
                losses.Cause.SERVER_SLOW,
            ),
            ({'verdict': 'not-run', 'status': '503'}, losses.Cause.REFUSED),
            ({'verdict': 'passed-failure'}, losses.Cause.SERVER_FAILED),
            (
                {'verdict': 'timed-out', 'sufficient_ms': '-'},
                losses.Cause.UNEXPLAINED,
            ),
        ):
            with self.subTest(fields):
                self.assertIs(self.attribute(**fields)[1], cause)

    def test_refusals_are_counted_and_unknown_paths_are_not(self):
        refused = 'event=request_refused code=401 status=503'
        unknown = 'event=request_refused code=305 status=404'
        found = losses.read_requests(
            [f'time=1 node=a {text}' for text in (refused, unknown)]
        )
        self.assertEqual(
            [x.cause for x in found], [losses.Cause.NODE_STARTING]
        )

    def test_requests_are_counted_at_the_node_of_the_caller(self):
        # Guards against a query that counts once for each node that gathers
        # a part of it.
        found = losses.read_requests(
            [
                create_line(for_='n2'),
                create_line(event='request_delegated', outcome='answered'),
                create_line(event='request_delegated', outcome='silent'),
                'no time event=request_ended',
                '\x00 time=" event=request_ended',
            ]
        )
        self.assertEqual(
            [x.cause for x in found if x.node == 'n1'],
            [losses.Cause.NODE_SILENT],
        )


class CommandTest(unittest.TestCase):
    def setUp(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.directory = pathlib.Path(directory)
        self.log = self.directory / 'node.log'
        self.log.write_text(create_line() + '\n' + create_line(ms='300.0'))

    def test_table_has_a_row_for_each_cause(self):
        requests = losses.read_requests(self.log.read_text().splitlines())
        table = losses.format_losses(requests)
        self.assertIn('late                                 1   50.0%', table)
        self.assertIn(losses.Cause.SERVER_SLOW.value, table)

    def test_unreadable_log_is_an_error(self):
        missing = str(self.directory / 'missing')
        self.assertEqual(line.main(['losses', '--log', missing]), 2)
        self.assertEqual(line.main(['losses', '--log', str(self.log)]), 0)

    def test_plots_are_written(self):
        requests = losses.read_requests(self.log.read_text().splitlines())
        for path in loss_plots.write_plots(requests, self.directory):
            self.assertTrue(path.read_bytes().startswith(b'\x89PNG'))

    def test_log_without_requests_has_plots(self):
        # Guards against a crash on the log of a node that served nobody.
        self.assertEqual(len(loss_plots.write_plots([], self.directory)), 3)
