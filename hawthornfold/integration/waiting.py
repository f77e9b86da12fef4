"""Waits for conditions of a trial with a generous timeout."""

from hawthornfold.clock import create_system_clock

# Only ends a trial whose condition is never met; no check depends on it.
TIMEOUT_S = 45.0
_POLL_INTERVAL_MS = 50


def wait_for(condition, description, timeout_s=TIMEOUT_S):
    """Poll `condition` until its value is true; return the value.

    Raises
    ------
    AssertionError
        When it is still false after `timeout_s` seconds.

    Examples
    --------
    >>> wait_for(lambda: 7, 'seven')
    7
    """
    clock = create_system_clock()
    end_ms = clock.now_ms() + timeout_s * 1000.0
    while True:
        value = condition()
        if value:
            return value
        if clock.now_ms() > end_ms:
            raise AssertionError(f'timed out waiting for: {description}')
        clock.sleep_ms(_POLL_INTERVAL_MS)
