"""Servers that name a rate limit, over real sockets."""

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
        self.assertGreater(arrived, 0.5 * LIMIT_PER_S * WINDOW_S)
        self.assertEqual(set(statuses), {200})
        self.assertEqual(self.count_logged('server_limited'), 1)
