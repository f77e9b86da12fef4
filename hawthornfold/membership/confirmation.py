"""Whether a node may trust its view of the fleet after a pause."""

# A pause longer than this may have outlasted the node's removal by others,
# which takes at least the suspicion timeout of 2 s.
LEASE_MS = 1500
# A node that starts and reaches no listed VM regards itself as alone only
# after several attempts, since the whole fleet may be starting.
START_ROUNDS = 3


class Confirmation:
    """Collects fresh answers from a majority of a few probed members."""

    def __init__(self, now_ms, round_ms):
        self._round_ms = round_ms
        self._is_confirmed = False
        self._last_tick_ms = now_ms
        self._deadline_ms = now_ms
        self._rounds = 0
        self._rounds_alone = START_ROUNDS
        self._probed = frozenset()
        self._answered = set()

    def is_confirmed(self, now_ms):
        """Return whether the view is confirmed and no pause followed."""
        is_awake = now_ms - self._last_tick_ms <= LEASE_MS
        return self._is_confirmed and is_awake

    def is_round_due(self, now_ms):
        """Return whether a new round of probes has to begin."""
        return not self._is_confirmed and now_ms >= self._deadline_ms

    def observe_tick(self, now_ms):
        """Note a tick; return whether a pause preceded it."""
        is_resumed = now_ms - self._last_tick_ms > LEASE_MS
        self._last_tick_ms = now_ms
        if is_resumed:
            self._is_confirmed = False
            self._deadline_ms = now_ms
            self._rounds = 0
            self._rounds_alone = 1
            self._probed = frozenset()
        return is_resumed

    def begin_round(self, now_ms, names):
        """Begin a round that asks `names`, which are none when alone."""
        is_alone = not names
        if is_alone and self._rounds >= self._rounds_alone:
            self._is_confirmed = True
            return
        self._rounds = self._rounds + 1 if is_alone else 0
        self._deadline_ms = now_ms + self._round_ms
        self._probed = frozenset(names)
        self._answered = set()

    def observe_member(self, now_ms):
        """Note a new member: a node that seemed alone asks it at once."""
        if not self._is_confirmed and not self._probed:
            self._deadline_ms = now_ms

    def observe_answer(self, name):
        """Note a fresh answer of a member."""
        if self._is_confirmed or name not in self._probed:
            return
        self._answered.add(name)
        if 2 * len(self._answered) > len(self._probed):
            self._is_confirmed = True
