"""When a proxied chunk of bytes is passed on: delay, jitter, bandwidth."""

import random


class Pacer:
    """Paces one direction of one listener.

    The bandwidth is shared by all connections of the listener; order is kept
    within a connection only, so jitter reorders between connections.
    """

    def __init__(self, seed):
        self._random = random.Random(seed)
        self._free_ms = 0.0

    def schedule_chunk_ms(self, fault, size, now_ms, previous_ms):
        """Return when `size` bytes that arrived at `now_ms` are passed on.

        Parameters
        ----------
        fault : LinkFault
        previous_ms : float
            When the previous chunk of the same connection is passed on.
        """
        due_ms = now_ms + fault.delay_ms
        if fault.jitter_ms:
            due_ms += self._random.uniform(0.0, fault.jitter_ms)
        due_ms = max(due_ms, previous_ms)
        if fault.bandwidth_bytes_per_s:
            start_ms = max(due_ms - fault.delay_ms, self._free_ms)
            self._free_ms = (
                start_ms + size * 1000.0 / fault.bandwidth_bytes_per_s
            )
            due_ms = max(due_ms, self._free_ms + fault.delay_ms)
        return due_ms


def create_pacer(seed):
    """Create the pacer of one direction."""
    return Pacer(seed)
