"""Reads whole bodies of HTTP responses."""

_CHUNK_BYTES = 1 << 16


def read_body(response, limit):
    """Return the whole body of a urllib3 response, or None if too large.

    urllib3 finds a body that ends early only when it is read to its end; a
    single ``read(amount)`` returns the part that arrived.

    Parameters
    ----------
    response : urllib3.HTTPResponse
        Opened with ``preload_content=False``.
    limit : int
        Most bytes to accept.

    Raises
    ------
    urllib3.exceptions.HTTPError
        If the body ends early or the connection breaks.
    """
    chunks = []
    size = 0
    while chunk := response.read(_CHUNK_BYTES):
        chunks.append(chunk)
        size += len(chunk)
        if size > limit:
            return None
    return b''.join(chunks)
