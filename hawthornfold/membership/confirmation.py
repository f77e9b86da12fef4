"""Confirmation of a node's member list at the start and after a pause."""

# Longest interval between ticks for which a confirmation stays valid. Other
# nodes remove this node no sooner than the suspicion timeout of 2 s, so they
# may have removed it during a longer pause.
LEASE_MS = 1500
# Rounds without any live member after which a starting node is confirmed as
# the only one. One round is too few because the whole fleet may be starting.
START_EMPTY_ROUNDS = 3


class Confirmation:
    """Confirms the member list by answers to new probes.

    Each round probes a few members; answers from a majority of them confirm
    the list.
    """

    def __init__(self, now_ms, round_ms):
        self._round_ms = round_ms
        self._is_confirmed = False
        self._last_tick_ms = now_ms
        self._deadline_ms = now_ms
        self._empty_rounds = 0
        self._required_empty_rounds = START_EMPTY_ROUNDS
        self._probed = frozenset()
        self._answered = set()

    def is_confirmed(self, now_ms):
        """Return whether the list is confirmed and no pause followed."""
        is_lease_valid = now_ms - self._last_tick_ms <= LEASE_MS
        return self._is_confirmed and is_lease_valid

    def is_round_due(self, now_ms):
        """Return whether to start a new round of probes."""
        return not self._is_confirmed and now_ms >= self._deadline_ms

    def record_tick(self, now_ms):
        """Record a tick and return whether a pause preceded it.

        A pause longer than `LEASE_MS` withdraws the confirmation.
        """
        was_paused = now_ms - self._last_tick_ms > LEASE_MS
        self._last_tick_ms = now_ms
        if was_paused:
            self._is_confirmed = False
            self._deadline_ms = now_ms
            self._empty_rounds = 0
            self._required_empty_rounds = 1
            self._probed = frozenset()
        return was_paused

    def start_round(self, now_ms, names):
        """Start a round that probes `names`.

        `names` is empty when the node has no live members; enough such
        rounds in a row confirm that it is alone.
        """
        is_alone = not names
        if is_alone and self._empty_rounds >= self._required_empty_rounds:
            self._is_confirmed = True
            return
        self._empty_rounds = self._empty_rounds + 1 if is_alone else 0
        self._deadline_ms = now_ms + self._round_ms
        self._probed = frozenset(names)
        self._answered = set()

    def handle_member_update(self, now_ms):
        """Start the next round at once if the current one probes nobody."""
        if not self._is_confirmed and not self._probed:
            self._deadline_ms = now_ms

    def record_answer(self, name):
        """Record that a member answered a probe of the current round."""
        if self._is_confirmed or name not in self._probed:
            return
        self._answered.add(name)
        if 2 * len(self._answered) > len(self._probed):
            self._is_confirmed = True
