"""Recognises a request that comes again, under another id and at another node.

Two requests are the same if their method, target, host, body and caller are.
"""

import xxhash

# Headers that say who calls. Other headers may differ between two attempts.
CALLER_HEADERS = frozenset(
    (b'host', b'authorization', b'cookie', b'from', b'user-agent')
)


class RequestFingerprints:
    """Computes the fingerprints of requests, alike on all nodes.

    Parameters
    ----------
    key : str
        What the nodes of a deployment have in common and callers don't know.
        Callers can't make two requests with the same fingerprint without it.
    """

    def __init__(self, key):
        self._seed = xxhash.xxh3_64_intdigest(key.encode())

    def compute(self, head, body):
        """Return the fingerprint of a request.

        Parameters
        ----------
        head : bytes
            Request line and headers, each with its line end.
        body : bytes
            The body.

        Returns
        -------
        str
            32 hexadecimal digits.
        """
        lines = head.split(b'\r\n')
        named = [line.partition(b':') for line in lines[1:]]
        parts = [lines[0], body]
        parts += sorted(
            name.lower() + b':' + value.strip()
            for name, _, value in named
            if name.lower() in CALLER_HEADERS
        )
        # The lengths keep the parts apart.
        sizes = ','.join(str(len(part)) for part in parts).encode()
        return xxhash.xxh3_128_hexdigest(
            b'\n'.join((sizes, *parts)), seed=self._seed
        )


def create_request_fingerprints(key):
    r"""Create the fingerprints of a deployment.

    Examples
    --------
    >>> fingerprints = create_request_fingerprints('10.0.0.1:80')
    >>> first = fingerprints.compute(
    ...     b'GET /a HTTP/1.1\r\nHost: x\r\nX-Request-Id: 1\r\n', b''
    ... )
    >>> first == fingerprints.compute(
    ...     b'GET /a HTTP/1.1\r\nX-Request-Id: 2\r\nhost: x\r\n', b''
    ... )
    True
    >>> first == fingerprints.compute(b'GET /b HTTP/1.1\r\nHost: x\r\n', b'')
    False
    """
    return RequestFingerprints(key)
