"""Reads complete bodies of HTTP responses."""

_CHUNK_BYTES = 1 << 16


def read_body(response, limit):
    """Return the complete body of a urllib3 response, or None if too large.

    The body is read to its end, because only then urllib3 detects a truncated
    body; a single ``read(amount)`` returns the part that arrived.

    Parameters
    ----------
    response : urllib3.HTTPResponse
        Opened with ``preload_content=False``.
    limit : int
        Maximum size of the body in bytes.

    Raises
    ------
    urllib3.exceptions.HTTPError
        If the body is truncated or the connection fails.
    """
    chunks = []
    size = 0
    while chunk := response.read(_CHUNK_BYTES):
        chunks.append(chunk)
        size += len(chunk)
        if size > limit:
            return None
    return b''.join(chunks)
