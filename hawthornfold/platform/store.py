"""The platform's metadata store over HTTP; it can only be read."""

import socket
import urllib.parse

import msgspec
import result
import urllib3

from hawthornfold.directory import PublishedStore
from hawthornfold.directory import ReadFailure
from hawthornfold.directory import StoreChanges
from hawthornfold.platform.documents import Item
from hawthornfold.platform.documents import decode_items
from hawthornfold.platform.names import CONFIGURATION_KEY
from hawthornfold.platform.names import SERVERS_PREFIX
from hawthornfold.sockets import read_body

# Answers take 4 ms, and 50 times as long while the store is slow.
TIMEOUT_MS = 700.0
# Probes of the kernel end a connection that has gone silent within 2 s,
# which a waiting watch would show only at its end.
_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1),
)
# A page holds up to 1 MB.
MAX_REPLY_BYTES = 4 << 20


class _Page(msgspec.Struct):
    items: list[Item]
    CurrentRev: int
    HasMore: bool = False


class _Events(msgspec.Struct):
    events: list[Item]
    CurrentRev: int


_PAGE_DECODER = msgspec.json.Decoder(_Page)
_EVENTS_DECODER = msgspec.json.Decoder(_Events)


class _ReadError(Exception):
    """A read that gave nothing.

    Parameters
    ----------
    status : int
        HTTP status; 0 without one.
    """

    def __init__(self, detail, status=0):
        super().__init__(detail)
        self.status = status


class MetadataStore(PublishedStore):
    """Reads the store at an address that settings may change.

    Parameters
    ----------
    find_address : callable
        Returns the address in force, ``ip:port``.
    """

    def __init__(self, find_address, clock):
        self._find_address = find_address
        self._clock = clock
        self._pool = urllib3.PoolManager(
            num_pools=2, retries=False, socket_options=_SOCKET_OPTIONS
        )

    def read_all(self):
        """Read all servers and the configuration."""
        try:
            items, revision = self._read_prefix(CONFIGURATION_KEY)
            more, next_revision = self._read_prefix(SERVERS_PREFIX)
        except _ReadError as error:
            return result.Err(ReadFailure(str(error)))
        # Pages are not a snapshot; the watch repeats what came in between.
        return result.Ok(
            decode_items(items + more, min(revision, next_revision))
        )

    def wait_for_changes(self, revision, wait_ms):
        """Wait for items that are newer than `revision`."""
        # One watch covers all prefixes; it counts as one call.
        query = {'Prefix': '', 'after': revision, 'WaitMs': int(wait_ms)}
        try:
            reply = self._get('kv-watch', query, wait_ms, _EVENTS_DECODER)
        except _ReadError as error:
            is_history_lost = error.status == 410
            return result.Err(ReadFailure(str(error), is_history_lost))
        if not reply.events:
            return result.Ok(StoreChanges(reply.CurrentRev))
        return result.Ok(decode_items(reply.events, reply.CurrentRev))

    def _read_prefix(self, prefix):
        items, revision, query = [], None, {'Prefix': prefix}
        while True:
            page = self._get('kv-range', query, 0.0, _PAGE_DECODER)
            items += page.items
            revision = min(revision or page.CurrentRev, page.CurrentRev)
            if not page.HasMore or not page.items:
                return items, revision
            query = {'Prefix': prefix, 'after': page.items[-1].Key}

    def _get(self, call, query, wait_ms, decoder):
        url = (
            f'http://{self._find_address()}/api/{call}'
            f'?{urllib.parse.urlencode(query)}'
        )
        try:
            response = self._pool.request(
                'GET',
                url,
                redirect=False,
                preload_content=False,
                timeout=urllib3.Timeout(
                    connect=TIMEOUT_MS / 1000.0,
                    read=(wait_ms + TIMEOUT_MS) / 1000.0,
                ),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise _ReadError(f'{type(error).__name__}: {error}')
        return self._decode(response, decoder)

    def _decode(self, response, decoder):
        is_complete = False
        try:
            data = read_body(response, MAX_REPLY_BYTES)
            is_complete = data is not None
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise _ReadError(f'{type(error).__name__}: {error}')
        finally:
            # A connection with an unread body cannot carry another read.
            if is_complete:
                response.release_conn()
            else:
                response.close()
        if data is None:
            raise _ReadError('the reply is too large')
        if response.status != 200:
            raise _ReadError(f'status {response.status}', response.status)
        try:
            return decoder.decode(data)
        except (ValueError, RecursionError) as error:
            raise _ReadError(f'not a reply of the store: {error}')


def open_store(find_address, clock):
    """Create the client of the store; it connects on first use."""
    return MetadataStore(find_address, clock)
