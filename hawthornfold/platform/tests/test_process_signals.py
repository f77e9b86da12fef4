"""Signals at each point of the life of a node's process."""

import concurrent.futures

from hawthornfold.platform.tests import support
from hawthornfold.platform.tests.test_node import NodeTestCase

SIGNAL_SERIES = (
    'SIGHUP',
    'SIGTERM',
    'SIGINT',
    'SIGHUP,SIGTERM',
    'SIGTERM,SIGHUP',
    'SIGTERM,SIGTERM',
)
# Points at which no port is open yet, in their order.
POINTS_BEFORE_PORTS = (
    'import:eventlet',
    'import:hawthornfold.platform.store',
    'open:node.toml',
)
# Points at which the node is open, and other nodes may know of it.
POINTS_AFTER_PORTS = ('socket.bind:127.', 'socket.connect:127.')
# Points after the stop.
LAST_POINTS = ('exit', 'teardown')
# Each node waits half of this for late callers when it stops.
GRACE_S = 2


class SignalsTest(NodeTestCase):
    def setUp(self):
        super().setUp()
        self.publish_configuration()

    def start_signalled_node(self, number, point, series):
        """Start a node whose process signals itself at a point."""
        node = support.Node(
            self.store,
            number,
            program=(
                'hawthornfold.process_signals.tests.signal_points',
                'hawthornfold.platform',
                point,
                series,
            ),
            grace_s=GRACE_S,
        )
        self.addCleanup(node.close)
        return node

    def run_series(self, point, play):
        """Call a function with a node and its series, for each series."""
        with concurrent.futures.ThreadPoolExecutor(len(SIGNAL_SERIES)) as pool:
            results = [
                pool.submit(
                    lambda number, series: play(
                        self.start_signalled_node(number, point, series),
                        series,
                    ),
                    number,
                    series,
                )
                for number, series in enumerate(SIGNAL_SERIES, 1)
            ]
        for series, result in zip(SIGNAL_SERIES, results, strict=True):
            with self.subTest(point=point, series=series):
                result.result()

    def test_settings_that_change_while_the_node_opens_are_read(self):
        # Guards against a change without a signal that is lost because the
        # state of the file is remembered when the node is open.
        for number, point in enumerate(POINTS_AFTER_PORTS, 1):
            with self.subTest(point):
                node = self.start_signalled_node(
                    number, point, 'append:{settings}'
                )
                node.wait_until(
                    lambda node=node: (
                        'event=settings_loaded cause=file' in node.read_log()
                    )
                )

    def stop(self, node):
        """Stop a running node; check that it ends gracefully."""
        node.terminate()
        self.assertEqual(node.wait_for_exit(), 0, node.read_log())

    def check_reload(self, node):
        node.wait_until(node.is_ready)
        node.wait_until(lambda: 'cause=SIGHUP' in node.read_log())
        self.stop(node)

    def test_signals_before_the_ports_are_open(self):
        # Guards against a signal that ends a starting process: SIGHUP did in
        # the first 0.6 s of a start, until the handlers were installed.
        def play(node, series):
            if series == 'SIGHUP':
                self.check_reload(node)
                return
            self.assertEqual(node.wait_for_exit(), 0, node.read_log())
            log = node.read_log()
            self.assertIn('event=stopped cut_requests=0 phase=start', log)
            self.assertNotIn('event=started', log)
            self.assertNotIn('settings_loaded', log)

        for point in POINTS_BEFORE_PORTS:
            self.run_series(point, play)

    def test_signals_while_the_node_opens(self):
        # Guards against a stop that is lost or not graceful although callers
        # and other nodes may have reached the node.
        def play(node, series):
            if series == 'SIGHUP':
                self.check_reload(node)
                return
            self.assertEqual(node.wait_for_exit(), 0, node.read_log())
            self.assertIn('event=stopping', node.read_log())

        for point in POINTS_AFTER_PORTS:
            self.run_series(point, play)

    def test_signals_while_the_process_ends(self):
        # Guards against a signal that replaces the exit status of a stop,
        # because the interpreter restores the default actions of signals.
        def play(node, series):
            node.wait_until(node.is_ready)
            self.stop(node)

        for point in LAST_POINTS:
            self.run_series(point, play)
