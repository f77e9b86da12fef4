"""Reads the bodies of callers' requests within the memory of the node."""

import contextlib
import socket
import typing

from eventlet import wsgi
import result

from hawthornfold.callers.streams import FramingError
from hawthornfold.codes import ResultCode
from hawthornfold.sockets import ReadBudgetError

# Share of the node's memory for all requests that are being read. A node
# accepts 4,096 connections, and bodies of 256 KB on each.
READ_SHARE = 1 / 8
# Heads and bodies up to this size use none of the budget, so that ordinary
# requests cost no bookkeeping.
FREE_BYTES = 4 << 10
_PIECE_BYTES = 4 << 10
# Retry-After of a request that the node had no memory for. What is being read
# then arrives or times out within seconds.
RETRY_AFTER_MS = 1_000.0
NO_MEMORY = 'the node has no memory for more requests'


class BodyRefusal(typing.NamedTuple):
    """Why a request is refused before its body was read; it was not run."""

    code: ResultCode
    status: int
    detail: str


def read_request_body(stream, length, limit_bytes, budget, on_revoke):
    """Read the whole body of a request.

    Parameters
    ----------
    stream : eventlet.wsgi.Input
        The body.
    length : str or None
        Its length, if it is known.
    limit_bytes : int
        Maximum size.
    budget : ReadBudget
        Bounds all requests that are being read.
    on_revoke : callable
        Ends the input of the connection.

    Returns
    -------
    result.Result
        The body, or a `BodyRefusal`.

    Raises
    ------
    OSError
        If the caller has disconnected.
    """
    with budget.reserve(on_revoke) as reservation:
        try:
            body = _read_pieces(stream, limit_bytes, reservation)
        except ReadBudgetError:
            return _refuse(ResultCode.OVERLOADED, 503, NO_MEMORY)
        except TimeoutError:
            return _refuse(
                ResultCode.REQUEST_TIMEOUT,
                408,
                'the body was not sent in time',
            )
        except (FramingError, wsgi.ChunkReadError) as error:
            if reservation.is_revoked:
                return _refuse(ResultCode.OVERLOADED, 503, NO_MEMORY)
            return _refuse(ResultCode.REQUEST_MALFORMED, 400, str(error))
        except OSError:
            if reservation.is_revoked:
                return _refuse(ResultCode.OVERLOADED, 503, NO_MEMORY)
            raise
        if reservation.is_revoked:
            return _refuse(ResultCode.OVERLOADED, 503, NO_MEMORY)
    if len(body) > limit_bytes:
        return _refuse(
            ResultCode.REQUEST_TOO_LARGE,
            413,
            f'the body exceeds {limit_bytes} bytes',
        )
    if length and len(body) < int(length):
        raise ConnectionAbortedError('the body ended early')
    return result.Ok(body)


def end_input(connection):
    """End the input of a connection, so that a read from it returns."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RD)


def _read_pieces(stream, limit_bytes, reservation):
    pieces, size = [], 0
    while size <= limit_bytes:
        piece = stream.read(min(_PIECE_BYTES, limit_bytes + 1 - size))
        if not piece:
            break
        pieces.append(piece)
        size += len(piece)
        if size > FREE_BYTES:
            reservation.resize(size)
    return b''.join(pieces)


def _refuse(code, status, detail):
    return result.Err(BodyRefusal(code, status, detail))
