"""Servers that name a rate limit, over real sockets."""

import contextlib
import types

import eventlet

from hawthornfold.delegation import Delegate
from hawthornfold.gateway.pools import ConnectionLimits
from hawthornfold.gateway.tests.signal_support import SignalTestCase
from hawthornfold.gateway.tests.signal_support import now_ms

# The load is 250 requests a second on two servers.
LIMIT_PER_S = 20.0
WINDOW_S = 4.0
# One and a half times the limit, and five more.
MAX_ARRIVALS = 1.5 * LIMIT_PER_S * WINDOW_S + 5.0


class LimitedServerTest(SignalTestCase):
    def setUp(self):
        super().setUp()
        self.configure()
        self.limited = self.start_server('s1')

    def test_server_gets_no_more_than_the_limit_that_it_names(self):
        # Guards against a node that ignores the limit, for first attempts,
        # hedges or requests that wait for a connection.
        self.start_server('s2')
        # Requests there cost more, so that s1 would get all of them.
        self.list_server('s2', 1, data_centre='other')
        self.play(0.5)
        self.limited.signal(X_Rate_Limit=str(LIMIT_PER_S))
        self.play(1.0)
        since_ms = now_ms()
        statuses = self.play(WINDOW_S)
        arrived = self.limited.count_arrived(
            since_ms, since_ms + WINDOW_S * 1_000.0
        )
        self.assertLessEqual(arrived, MAX_ARRIVALS)
        # A process that is not scheduled sends fewer requests in all; one that
        # runs sends more than 800.
        self.assertGreater(
            arrived,
            0.5 * LIMIT_PER_S * WINDOW_S,
            f'of {len(statuses)} requests',
        )
        self.assertEqual(set(statuses), {200})
        self.assertEqual(self.count_logged('server_limited'), 1)

    def test_requests_that_wait_for_a_connection_keep_a_new_limit(self):
        # Guards against requests that chose the server before it named the
        # limit, and reach it one after the other.
        self.configure(is_idempotent=False)
        self.start_server('s2').delay_s = 0.05
        self.list_server('s2', 1, data_centre='other')
        self.limited.delay_s = 0.05
        record = self.state.directory.get('s1')
        self.state.get_pool(record).set_limits(ConnectionLimits(1, 1))
        self.limited.signal(X_Rate_Limit='2')
        answers = [eventlet.spawn(self.send, 'POST') for _ in range(40)]
        statuses = {thread.wait().status for thread in answers}
        self.assertLessEqual(len(self.limited.arrived_ms), 15)
        self.assertEqual(statuses - {200, 504}, set())

    def test_refusal_for_want_of_room_is_final_at_a_delegate_too(self):
        # Guards against a request that the sender tries again by itself.
        self.limited.signal(X_Rate_Limit='0')
        answers = [self.send() for _ in range(20)]
        refused = [x for x in answers if x.status == 503]
        self.assertGreater(len(refused), 10)
        self.assertTrue(all(x.is_final for x in refused))
        self.assertIn(b'RATE_LIMITED', refused[0].body)
        self.assertIn('Retry-After', dict(refused[0].headers))
        delegated = [self.delegate() for _ in range(20)]
        self.assertIn(503, [answer.status for answer in delegated])

    def delegate(self):
        headers = (('Host', 'a.x'), ('X-Request-Id', f'r{next(self.ids)}'))
        delegate = Delegate(
            0, 1, 'GET', '/a', 'a.x', headers, b'', 100.0, 1_000.0, 1e9
        )
        self.handler.set_delegations(
            types.SimpleNamespace(
                policy=types.SimpleNamespace(accepts=lambda *_: True),
                accepted_count=1,
            )
        )
        return self.handler.handle_delegated(
            delegate, lambda notify: contextlib.nullcontext()
        )
