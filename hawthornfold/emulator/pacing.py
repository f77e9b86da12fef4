"""Schedules proxied bytes by delay, jitter and bandwidth."""

import random


class Pacer:
    """Schedules the chunks of one direction of one listener.

    All connections of the listener share the bandwidth. Order is kept only
    within a connection, so jitter reorders chunks of different connections.
    """

    def __init__(self, seed):
        self._random = random.Random(seed)
        self._link_free_ms = 0.0

    def schedule_chunk_ms(self, fault, size, now_ms, previous_ms):
        """Return the time at which a chunk that has just arrived is passed on.

        Parameters
        ----------
        fault : LinkFault
            Delay, jitter and bandwidth.
        size : int
            Length of the chunk in bytes.
        now_ms : float
            Time of arrival.
        previous_ms : float
            Time at which the previous chunk of the same connection is
            passed on.
        """
        due_ms = now_ms + fault.delay_ms
        if fault.jitter_ms:
            due_ms += self._random.uniform(0.0, fault.jitter_ms)
        due_ms = max(due_ms, previous_ms)
        if fault.bandwidth_bytes_per_s:
            start_ms = max(due_ms - fault.delay_ms, self._link_free_ms)
            self._link_free_ms = (
                start_ms + size * 1000.0 / fault.bandwidth_bytes_per_s
            )
            due_ms = max(due_ms, self._link_free_ms + fault.delay_ms)
        return due_ms


def create_pacer(seed):
    """Create the pacer of one direction."""
    return Pacer(seed)
