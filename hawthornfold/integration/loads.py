"""Steady load on a fleet while a trial changes something."""

import contextlib
import functools
import threading

from hawthornfold.clock import create_system_clock
from hawthornfold.integration.callers import Claim
from hawthornfold.integration.threads import run_threads

_POLL_MS = 50


class BalancerPolls:
    """Polls ``/readyz`` of all nodes for a `Balancer` with a lag.

    Parameters
    ----------
    fleet : Fleet
        The running fleet.
    lag_ms : float
        Time until the result of a poll has an effect.
    """

    def __init__(self, fleet, lag_ms):
        self._fleet = fleet
        self._balancer = fleet.create_balancer(lag_ms)
        self._clock = create_system_clock()
        self._lock = threading.Lock()

    def sees_ready(self, name):
        """Return whether the balancer sends requests to a node."""
        with self._lock:
            self._balancer.apply_polls(self._clock.now_ms())
            ready = self._balancer.ready_targets()
        return name in [target.name for target in ready]

    def choose(self):
        """Return the node whose turn it is, and end the turn."""
        with self._lock:
            self._balancer.apply_polls(self._clock.now_ms())
            name = self._balancer.next_target().name
            self._balancer.advance_turn()
        return name

    def poll(self, name, ended):
        """Poll a node until the event is set."""
        while not ended.wait(_POLL_MS / 1000.0):
            is_ready = self._fleet.is_ready(name)
            with self._lock:
                now_ms = self._clock.now_ms()
                self._balancer.record_poll(name, is_ready, now_ms)


@contextlib.contextmanager
def open_balancer(fleet, lag_ms):
    """Poll the nodes while the context is active."""
    polls = BalancerPolls(fleet, lag_ms)
    functions = [functools.partial(polls.poll, name) for name in fleet.nodes]
    with run_threads(functions):
        yield polls


@contextlib.contextmanager
def open_load(caller, choose, query, workers=4, has_tickets=False):
    """Ask one query after the other in each of a few threads.

    Parameters
    ----------
    caller : TrialCaller
        Keeps the claims.
    choose : callable
        Returns the node for the next query.
    query : TrialQuery
        What to ask.
    workers : int
        Queries in progress at once.
    has_tickets : bool
        Obtain a ticket from the chosen node for each query.

    Yields
    ------
    list of Claim
        Claims of this load so far.
    """
    claims = []

    def work(ended):
        while not ended.is_set():
            node = choose()
            ticket = None
            if has_tickets:
                try:
                    ticket = caller.obtain_ticket(node)
                except KeyError:
                    claims.append(Claim(query, node, None, 0, {}))
                    continue
            claims.append(caller.ask(node, query, ticket))

    with run_threads([work] * workers):
        yield claims
