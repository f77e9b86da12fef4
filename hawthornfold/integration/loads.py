"""Keeps a steady load on a fleet during a trial."""

import contextlib
import functools
import threading

from hawthornfold.clock import create_system_clock
from hawthornfold.integration.callers import Claim
from hawthornfold.integration.threads import run_threads

_POLL_INTERVAL_MS = 50


class PolledBalancer:
    """A load balancer that polls ``/readyz`` of all nodes.

    Parameters
    ----------
    fleet : Fleet
        The running fleet.
    lag_ms : float
        Time in ms until the result of a poll takes effect.
    """

    def __init__(self, fleet, lag_ms):
        self._fleet = fleet
        self._balancer = fleet.create_balancer(lag_ms)
        self._clock = create_system_clock()
        self._lock = threading.Lock()

    def sends_to(self, name):
        """Return whether the node gets requests."""
        with self._lock:
            self._balancer.apply_polls(self._clock.now_ms())
            ready = self._balancer.ready_targets()
        return name in [target.name for target in ready]

    def choose_node(self):
        """Return the node for the next request and advance to the next."""
        with self._lock:
            self._balancer.apply_polls(self._clock.now_ms())
            name = self._balancer.next_target().name
            self._balancer.advance_turn()
        return name

    def poll_node(self, name, stop_event):
        """Poll a node until `stop_event` is set."""
        while not stop_event.wait(_POLL_INTERVAL_MS / 1000.0):
            is_ready = self._fleet.is_ready(name)
            with self._lock:
                now_ms = self._clock.now_ms()
                self._balancer.record_poll(name, is_ready, now_ms)


@contextlib.contextmanager
def open_balancer(fleet, lag_ms):
    """Run a balancer that polls the nodes while the context is active.

    Yields
    ------
    PolledBalancer
    """
    balancer = PolledBalancer(fleet, lag_ms)
    functions = [
        functools.partial(balancer.poll_node, name) for name in fleet.nodes
    ]
    with run_threads(functions):
        yield balancer


@contextlib.contextmanager
def open_load(caller, choose_node, query, workers=4, with_tickets=False):
    """Send queries one after the other in each of several threads.

    Parameters
    ----------
    caller : TrialCaller
        Sends the queries and records the claims.
    choose_node : callable
        Returns the node for the next query.
    query : TrialQuery
        The query to send.
    workers : int
        Number of threads, each with one query in progress.
    with_tickets : bool
        Whether each query has a ticket from the chosen node.

    Yields
    ------
    list of Claim
        Claims of this load so far; it grows while the context is active.
    """
    claims = []

    def send_queries(stop_event):
        while not stop_event.is_set():
            node = choose_node()
            ticket = None
            if with_tickets:
                try:
                    ticket = caller.obtain_ticket(node)
                except KeyError:
                    claims.append(Claim(query, node, None, 0, {}))
                    continue
            claims.append(caller.send_query(node, query, ticket))

    with run_threads([send_queries] * workers):
        yield claims
