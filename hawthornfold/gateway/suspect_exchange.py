"""Exchanges reports on requests under which servers have ended.

What is new is sent at once: to all nodes of a small fleet, and to a few random
ones of a large fleet, which pass on what is new to them. What does not arrive
that way, and what nodes that start later have missed, is exchanged with a
random node at intervals.
"""

import random

from hawthornfold.limits import create_token_bucket
from hawthornfold.quarantine import SuspectNews

# A fleet of up to this many nodes is told directly.
MAX_DIRECT_NODES = 32
# Otherwise news go to this many nodes, of each node that learns them.
FANOUT = 4
# Reports a second that a node sends at once; further ones wait for the next
# exchange. A report takes some 270 bytes, and the nodes of a large fleet may
# spend 4 KB/s on all messages.
DIRECT_REPORTS_PER_S = 20.0
FORWARDED_REPORTS_PER_S = 2.0
# Interval of the exchanges, and the number of reports in one.
EXCHANGE_INTERVAL_MS = 2_000.0
MAX_EXCHANGED_REPORTS = 8
# A node that starts asks other nodes for this long, at shorter intervals.
STARTING_MS = 10_000.0
STARTING_INTERVAL_MS = 1_000.0


class SuspectExchange:
    """Sends a node's reports to others and applies theirs.

    Parameters
    ----------
    handler : SuspectHandler
        What the node knows.
    fleet : Fleet
        Sends and receives the messages.
    clock : Clock
        The node's clock.
    rng : random.Random
        Chooses nodes.
    """

    def __init__(self, handler, fleet, clock, rng):
        self._handler = handler
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._started_ms = self._filled_ms = clock.now_ms()
        self._bucket = create_token_bucket(
            DIRECT_REPORTS_PER_S, DIRECT_REPORTS_PER_S
        )
        fleet.register(SuspectNews, self._handle_news)
        handler.set_publisher(self.publish)

    def run(self):
        """Exchange reports endlessly; to be spawned."""
        while True:
            self._clock.sleep_ms(self.interval_ms)
            self.exchange()

    @property
    def interval_ms(self):
        """Time until the next exchange, in milliseconds."""
        if self._is_starting:
            return STARTING_INTERVAL_MS
        return EXCHANGE_INTERVAL_MS

    def exchange(self):
        """Exchange reports with a random node, if there may be any."""
        others = self._fleet.list_others()
        if others and (self._is_starting or self._handler.has_entries):
            reports = self._handler.create_reports(MAX_EXCHANGED_REPORTS)
            self._send(self._rng.choice(others), reports, True)

    def publish(self, reports, sender_name=''):
        """Send new reports at once, as far as the rate allows.

        Parameters
        ----------
        reports : list of SuspectReport
            What is new.
        sender_name : str
            The node that the reports are from, if it is not this one.
        """
        others = [
            x for x in self._fleet.list_others() if x.name != sender_name
        ]
        is_direct = len(others) < MAX_DIRECT_NODES
        if is_direct and sender_name:
            return
        self._fill(
            DIRECT_REPORTS_PER_S if is_direct else FORWARDED_REPORTS_PER_S
        )
        sent = [x for x in reports if self._bucket.try_take()]
        if not is_direct:
            others = self._rng.sample(others, FANOUT)
        if sent:
            for member in others:
                self._send(member, sent, False)

    @property
    def _is_starting(self):
        return self._clock.now_ms() - self._started_ms < STARTING_MS

    def _fill(self, per_s):
        now_ms = self._clock.now_ms()
        self._bucket.add(per_s * (now_ms - self._filled_ms) / 1_000.0)
        self._filled_ms = now_ms

    def _send(self, member, reports, wants_reply):
        self._fleet.send(
            member.name,
            member.address,
            SuspectNews(tuple(reports), wants_reply),
        )

    def _handle_news(self, sender, news):
        changed = self._handler.apply_reports(sender.name, news.reports)
        if changed:
            self.publish(changed, sender.name)
        if news.wants_reply and self._handler.has_entries:
            reports = self._handler.create_reports(MAX_EXCHANGED_REPORTS)
            self._send(sender, reports, False)


def create_suspect_exchange(handler, fleet, clock, rng=None):
    """Create the exchange of a node.

    Parameters
    ----------
    rng : random.Random, optional
        Chooses nodes.
    """
    return SuspectExchange(handler, fleet, clock, rng or random.Random())
