"""Parses the rate limit that a server names in its responses."""

import enum
import re

import result

# Longer texts are not parsed. A rate has a few digits.
MAX_TEXT_LENGTH = 128

_DECIMAL = re.compile(r'[0-9]+(\.[0-9]*)?|\.[0-9]+', re.ASCII)


class RateLimitFault(enum.Enum):
    """Why a text names no rate limit; the value is a metric label."""

    EMPTY = 'empty'
    # It is no decimal number, or has a sign or an exponent.
    INVALID = 'invalid'
    TOO_LONG = 'too-long'


def parse_rate_limit(text):
    """Return the rate that a header value names.

    Parameters
    ----------
    text : str
        A decimal number of requests a second. A repeated header has several,
        separated by commas, of which the lowest applies.

    Returns
    -------
    result.Result
        Requests a second, 0 or more, or a `RateLimitFault`.

    Examples
    --------
    >>> parse_rate_limit('11.2')
    Ok(11.2)
    >>> parse_rate_limit('11.2, 9')
    Ok(9.0)
    >>> parse_rate_limit('-1')
    Err(<RateLimitFault.INVALID: 'invalid'>)
    """
    if len(text) > MAX_TEXT_LENGTH:
        return result.Err(RateLimitFault.TOO_LONG)
    rates = []
    for value in text.split(','):
        value = value.strip(' \t')
        if not value:
            return result.Err(RateLimitFault.EMPTY)
        if not _DECIMAL.fullmatch(value):
            return result.Err(RateLimitFault.INVALID)
        rates.append(float(value))
    return result.Ok(min(rates))
