"""Parses the target of a request line (RFC 9112, section 3.2)."""

import re
import typing

# Host and optional port, without user information.
_ABSOLUTE = re.compile(r'(?i:https?)://([^/?@]+)([/?].*)?')


class RequestTarget(typing.NamedTuple):
    """What the target of a request names.

    Parameters
    ----------
    path : str
        Path with the query string, as sent; ``*`` for the whole server.
    authority : str or None
        Host and port that replace those of the Host header, if it names any.
    """

    path: str
    authority: str | None = None


def parse_target(method, text):
    """Parse the target of a request.

    Parameters
    ----------
    method, text : str
        From the request line.

    Returns
    -------
    RequestTarget or None
        None if it names no path on this server.

    Examples
    --------
    >>> parse_target('GET', '//a/../b?c')
    RequestTarget(path='//a/../b?c', authority=None)
    >>> parse_target('GET', 'http://a.example:80?c')
    RequestTarget(path='/?c', authority='a.example:80')
    >>> parse_target('GET', 'a.example:80')
    """
    if text.startswith('/') or (text == '*' and method == 'OPTIONS'):
        return RequestTarget(text)
    absolute = _ABSOLUTE.fullmatch(text)
    if absolute is None:
        return None
    authority, path = absolute.groups('')
    if not path.startswith('/'):
        path = f'/{path}'
    return RequestTarget(path, authority)
