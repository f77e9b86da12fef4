"""Decides whether a node has lost its links to all servers.

A silent server says nothing about the node that waits for it. Several silent
ones do if no server at all has been in contact since; new connections to
servers of other services and data centres then decide.
"""

import enum
import math

# Number of servers that must be silent or out of reach at the same time.
MIN_WITNESSES = 3
# A server that owes an answer is suspiciously silent after this multiple of
# the typical latency, but not before the minimum, if no server has been in
# contact since the request was sent. An exchange takes 10 ms in most services.
SUSPICION_FACTOR = 2.0
MIN_SUSPICION_MS = 60.0
# Number of new connections that are opened to confirm a suspicion, and to
# notice that the links have returned.
PROBE_COUNT = 4
# Time in which one of them must be accepted. Opening takes 1 to 6 ms; four
# servers rarely pause at the same time.
CONFIRMATION_MS = 60.0
# Interval between the probes of an isolated node.
ISOLATED_PROBE_INTERVAL_MS = 350.0


class IsolationState(enum.Enum):
    """Whether a node reaches servers."""

    CONNECTED = 'connected'
    SUSPECTED = 'suspected'
    ISOLATED = 'isolated'


class IsolationDetector:
    """Tracks contact with servers and determines the `IsolationState`.

    A contact is an accepted connection or a response.
    """

    def __init__(self):
        self._state = IsolationState.CONNECTED
        self._last_contact_ms = -math.inf
        # The servers that ended open connections since the last contact, and
        # those that accepted no new ones.
        self._lost_ids = set()
        self._unreachable_ids = set()
        self._suspected_ms = -math.inf
        self._last_probe_ms = -math.inf

    @property
    def state(self):
        """The `IsolationState` as of the last event or check."""
        return self._state

    @property
    def is_isolated(self):
        """Whether the node has lost its links to all servers."""
        return self._state is IsolationState.ISOLATED

    @property
    def last_contact_ms(self):
        """When a server was last in contact; minus infinity if none was."""
        return self._last_contact_ms

    def record_contact(self, now_ms):
        """Record that a server accepted a connection or responded."""
        self._last_contact_ms = now_ms
        self._lost_ids.clear()
        self._unreachable_ids.clear()
        self._state = IsolationState.CONNECTED

    def record_lost(self, server_id):
        """Record that an open connection to a server ended or was reset."""
        self._lost_ids.add(server_id)

    def record_unreachable(self, server_id):
        """Record that a server did not accept a new connection."""
        self._unreachable_ids.add(server_id)

    def excuse_silence(self, duration_ms):
        """Exclude a time in which the node itself did not run."""
        self._last_contact_ms += duration_ms
        self._suspected_ms += duration_ms

    def check(self, silent_ids, has_idle, now_ms):
        """Update the state from the servers that are silent now.

        New connections may be refused while open ones still work: a node that
        has any is then not isolated.

        Parameters
        ----------
        silent_ids : list of str
            The servers that are suspiciously silent.
        has_idle : bool
            Whether the node holds an open connection that is idle.
        now_ms : float
            Current time on the node's clock.
        """
        if self._state is IsolationState.CONNECTED:
            if len(self._find_witnesses(silent_ids)) >= MIN_WITNESSES:
                self._state = IsolationState.SUSPECTED
                self._suspected_ms = now_ms
                self._last_probe_ms = -math.inf
        elif (
            self._state is IsolationState.SUSPECTED
            and now_ms - self._suspected_ms >= CONFIRMATION_MS
            and (
                not has_idle
                or len(self._lost_ids.union(silent_ids)) >= MIN_WITNESSES
            )
        ):
            self._state = IsolationState.ISOLATED

    def take_due_probe(self, now_ms):
        """Return whether to probe servers now; the next probe is due later."""
        if (
            self._state is IsolationState.CONNECTED
            or now_ms - self._last_probe_ms < ISOLATED_PROBE_INTERVAL_MS
        ):
            return False
        self._last_probe_ms = now_ms
        return True

    def choose_probed(self, candidates, silent_ids, rng):
        """Choose the servers that confirm or refute the isolation.

        Parameters
        ----------
        candidates : iterable of ServerRecord
            All servers.
        silent_ids : iterable of str
            As for `check`.
        rng : random.Random
            Chooses among equal servers, so that the nodes of a fleet probe
            different ones.

        Returns
        -------
        list of ServerRecord
            Servers of services and data centres that differ as far as
            possible, from each other and from those of silent servers.
        """
        witnesses = self._find_witnesses(silent_ids)
        records = list(candidates)
        rng.shuffle(records)
        chosen = []
        known_services = {
            x.service for x in records if x.server_id in witnesses
        }
        known_data_centres = set()
        while records and len(chosen) < PROBE_COUNT:
            record = min(
                records,
                key=lambda x: (
                    x.server_id in witnesses,
                    x.service in known_services,
                    x.data_centre in known_data_centres,
                ),
            )
            records.remove(record)
            known_services.add(record.service)
            known_data_centres.add(record.data_centre)
            chosen.append(record)
        return chosen

    def _find_witnesses(self, silent_ids):
        return self._lost_ids.union(self._unreachable_ids, silent_ids)


def create_isolation_detector():
    """Create the detector of a node that has had no contact yet."""
    return IsolationDetector()


def compute_suspicion_limit_ms(typical_ms):
    """Return how long a server may owe an answer before it counts as silent.

    Examples
    --------
    >>> compute_suspicion_limit_ms(10.0)
    60.0
    >>> compute_suspicion_limit_ms(90.0)
    180.0
    """
    return max(MIN_SUSPICION_MS, SUSPICION_FACTOR * typical_ms)
