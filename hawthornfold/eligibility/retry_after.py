"""Parses the header Retry-After of a server that requests a pause."""

import datetime
import email.utils
import enum
import re

import result

# A longer pause counts as this long. A server that is out of service for more
# than an hour leaves the store, which ends the pause, so that a longer one is
# taken for a fault of the server. After the hour it may request another pause.
MAX_PAUSE_MS = 3_600_000.0
# Longer texts are not parsed. An HTTP date has 29 characters.
MAX_TEXT_LENGTH = 128

_SECONDS = re.compile(r'[0-9]+(\.[0-9]*)?|\.[0-9]+')
_MS_PER_S = 1_000.0


class PauseFault(enum.Enum):
    """Why a Retry-After requests no pause; the value is a metric label."""

    # The header is missing or empty.
    MISSING = 'missing'
    # It is neither a number of seconds nor a date.
    INVALID = 'invalid'
    # It is 0, or a date that has passed.
    NO_TIME = 'no-time'


def parse_retry_after_ms(text, wall_ms):
    """Return the length of the pause that a Retry-After requests.

    Parameters
    ----------
    text : str
        Value of the header: seconds, with a fraction or without, or an HTTP
        date. Empty if the header is missing.
    wall_ms : float
        Current wall-clock time, in milliseconds since the Unix epoch.

    Returns
    -------
    result.Result
        Milliseconds, greater than 0 and possibly above `MAX_PAUSE_MS`, or a
        `PauseFault`.

    Examples
    --------
    >>> parse_retry_after_ms('1.5', 0.0)
    Ok(1500.0)
    >>> parse_retry_after_ms('Thu, 01 Jan 1970 00:00:09 GMT', 2_000.0)
    Ok(7000.0)
    >>> parse_retry_after_ms('-1', 0.0)
    Err(<PauseFault.INVALID: 'invalid'>)
    """
    text = text.strip(' \t')
    if not text:
        return result.Err(PauseFault.MISSING)
    if len(text) > MAX_TEXT_LENGTH:
        return result.Err(PauseFault.INVALID)
    if _SECONDS.fullmatch(text):
        pause_ms = float(text) * _MS_PER_S
    else:
        date_ms = _parse_date_ms(text)
        if date_ms is None:
            return result.Err(PauseFault.INVALID)
        pause_ms = date_ms - wall_ms
    if pause_ms <= 0.0:
        return result.Err(PauseFault.NO_TIME)
    return result.Ok(pause_ms)


def _parse_date_ms(text):
    """Return the time of an HTTP date since the Unix epoch, or None."""
    try:
        date = email.utils.parsedate_to_datetime(text)
        if date.tzinfo is None:
            # The obsolete formats have no zone; HTTP dates are in UTC.
            date = date.replace(tzinfo=datetime.UTC)
        return date.timestamp() * _MS_PER_S
    except (TypeError, ValueError, OverflowError, IndexError):
        return None
