"""Reads the platform's metadata store, which is read-only, over HTTP."""

import http.client
import re
import socket
import urllib.parse

import logbook
import msgspec
import result
import urllib3

from hawthornfold.directory import PublishedStore
from hawthornfold.directory import ReadFailure
from hawthornfold.platform.documents import ConfigurationDecoder
from hawthornfold.platform.documents import Integer
from hawthornfold.platform.documents import Item
from hawthornfold.platform.documents import decode_items
from hawthornfold.platform.names import OPERATORS_PREFIX
from hawthornfold.platform.names import SERVERS_PREFIX
from hawthornfold.platform.names import STORE_ERA_HEADER
from hawthornfold.platform.replies import decode_reply
from hawthornfold.sockets import ReplyLimits
from hawthornfold.sockets import create_limited_pool
from hawthornfold.sockets import read_body

_LOG = logbook.Logger('directory')

# Bounds a connection attempt, and a read in addition to the time that a watch
# waits. Replies take 4 ms, and 50 times as long while the store is slow.
TIMEOUT_MS = 700.0
# With keepalive probes the kernel closes a connection within 2 s after the
# peer became unresponsive. Otherwise a watch would notice it only at the end
# of its wait.
_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1),
)
# Bounds the body of a reply. A page of items holds up to 1 MB.
MAX_REPLY_BYTES = 4 << 20
# Bounds each reply as a whole; a reply that arrives byte by byte must not
# occupy the reader. A value of 1 MB, 1.4 MB as base64, takes 1.6 s on a link
# of 7 Mbit/s, and about twice that while callers use the link as well.
_LIMITS = ReplyLimits(transfer_ms=3_000.0, total_bytes=5 << 20)
# Bound the pages of one prefix together, as a faulty store may claim that
# there are always more. 32 MB hold some 100,000 items.
MAX_PREFIX_BYTES = 32 << 20
MAX_PREFIX_MS = 30_000.0


class _Page(msgspec.Struct):
    items: list[Item]
    CurrentRev: Integer
    HasMore: bool = False


class _Events(msgspec.Struct):
    events: list[Item]
    CurrentRev: Integer


# Larger numbers would not fit into the messages between nodes.
_ERA = re.compile('[0-9]{1,15}')
_PAGE_DECODER = msgspec.json.Decoder(_Page)
_EVENTS_DECODER = msgspec.json.Decoder(_Events)


class _ReadError(Exception):
    """A failed read of the store.

    Parameters
    ----------
    detail : str
        The cause, for logs.
    status : int
        HTTP status if it is the cause; 0 otherwise.
    era : int or None
        Era of the store, if it answered and reports one.
    exceeds_limits : bool
        Whether the body exceeds `MAX_REPLY_BYTES`, or the time for a reply.
    is_broken : bool
        Whether the other end closed or reset the connection before the reply
        was complete.
    """

    def __init__(
        self,
        detail,
        status=0,
        era=None,
        exceeds_limits=False,
        is_broken=False,
    ):
        super().__init__(detail)
        self.status = status
        self.era = era
        self.exceeds_limits = exceeds_limits
        self.is_broken = is_broken


def _create_read_error(error, exceeds_limits=False):
    """Return the `_ReadError` of an exception of the HTTP library."""
    # A connection that timed out was out of reach for some time.
    is_broken = isinstance(error, urllib3.exceptions.ProtocolError) and any(
        isinstance(cause, (ConnectionError, http.client.HTTPException))
        for cause in error.args
    )
    return _ReadError(
        f'{type(error).__name__}: {error}',
        exceeds_limits=exceeds_limits,
        is_broken=is_broken,
    )


class MetadataStore(PublishedStore):
    """Reads the store at an address that may change with the settings.

    Parameters
    ----------
    find_address : callable
        Returns the current address of the store, ``ip:port``.
    clock : Clock
        The node's clock.
    """

    def __init__(self, find_address, clock):
        self._find_address = find_address
        self._clock = clock
        self._pool = create_limited_pool(
            _LIMITS, num_pools=2, retries=False, socket_options=_SOCKET_OPTIONS
        )
        # Size of the last complete reply.
        self._reply_bytes = 0
        self._configuration_decoder = ConfigurationDecoder()
        # The era header of the last answer, to log changes only.
        self._last_era_text = None

    def read_all(self, may_be_stale=False):
        """Read all that the store lists; see `PublishedStore`."""
        options = {'AllowStale': 1} if may_be_stale else {}
        try:
            operator_items, operator_revision, first_era = self._read_prefix(
                OPERATORS_PREFIX, options
            )
            server_items, servers_revision, era = self._read_prefix(
                SERVERS_PREFIX, options, first_era
            )
        except _ReadError as error:
            return result.Err(
                ReadFailure(
                    str(error),
                    era=error.era,
                    is_rate_limited=error.status == 429,
                )
            )
        # The pages are not one snapshot. With their lowest revision, the
        # next watch repeats the changes that were made between the reads.
        return result.Ok(
            decode_items(
                operator_items + server_items,
                min(operator_revision, servers_revision),
                era,
                self._configuration_decoder,
            )
        )

    def wait_for_changes(self, revision, wait_ms):
        """Wait for items newer than `revision`; see `PublishedStore`."""
        # A watch of the empty prefix covers all keys and counts as one call.
        query = {'Prefix': '', 'after': revision, 'WaitMs': int(wait_ms)}
        try:
            reply, era = self._fetch(
                'kv-watch', query, wait_ms, _EVENTS_DECODER
            )
        except _ReadError as error:
            # A watch has no pages: the reply to the next one from the same
            # revision is as large. The pages of a complete read are not.
            is_history_lost = error.status == 410 or error.exceeds_limits
            return result.Err(
                ReadFailure(
                    str(error),
                    is_history_lost,
                    error.era,
                    is_cut=error.is_broken and wait_ms > 0.0,
                    is_rate_limited=error.status == 429,
                )
            )
        return result.Ok(
            decode_items(
                reply.events,
                reply.CurrentRev,
                era,
                self._configuration_decoder,
            )
        )

    def _read_prefix(self, prefix, options, known_era=None):
        """Read all items of a prefix.

        Parameters
        ----------
        options : dict of str to int
            Further fields of the query.

        Returns
        -------
        tuple of (list of Item, int, int or None)
            The items, the lowest revision and the era of all pages.
        """
        items, revision, query = [], None, {'Prefix': prefix, **options}
        left_bytes = MAX_PREFIX_BYTES
        started_ms = self._clock.now_ms()
        while True:
            page, era = self._fetch('kv-range', query, 0.0, _PAGE_DECODER)
            left_bytes -= self._reply_bytes
            if None not in (era, known_era) and era != known_era:
                raise _ReadError('the pages are of two eras', era=era)
            known_era = known_era if era is None else era
            items += page.items
            revision = min(revision or page.CurrentRev, page.CurrentRev)
            if not page.HasMore or not page.items:
                return items, revision, known_era
            if (
                left_bytes < 0
                or self._clock.now_ms() - started_ms > MAX_PREFIX_MS
            ):
                raise _ReadError('there are too many pages', era=era)
            query['after'] = page.items[-1].Key

    def _fetch(self, call, query, wait_ms, decoder):
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
            raise _create_read_error(error)
        return self._decode_response(response, decoder)

    def _decode_response(self, response, decoder):
        is_complete = False
        try:
            data = read_body(response, MAX_REPLY_BYTES)
            is_complete = data is not None
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            # ValueError: chunks of a negative length.
            raise _create_read_error(
                error,
                exceeds_limits=isinstance(
                    error, urllib3.exceptions.ReadTimeoutError
                ),
            )
        finally:
            # A connection with an unread body cannot be reused.
            if is_complete:
                response.release_conn()
            else:
                response.close()
        era = self._read_era(response)
        if data is None:
            raise _ReadError(
                'the reply is too large', era=era, exceeds_limits=True
            )
        self._reply_bytes = len(data)
        if response.status != 200:
            raise _ReadError(f'status {response.status}', response.status, era)
        try:
            return decode_reply(data, decoder), era
        except (ValueError, RecursionError) as error:
            raise _ReadError(f'the reply cannot be decoded: {error}', era=era)

    def _read_era(self, response):
        """Return the era of an answer, or None if it has no valid one."""
        text = response.headers.get(STORE_ERA_HEADER)
        era = None
        if text is not None and _ERA.fullmatch(text.strip()):
            era = int(text)
        if text != self._last_era_text:
            self._last_era_text = text
            if text is not None and era is None:
                _LOG.warning('event=store_era_refused value="{!r:.40}"', text)
            elif text is None:
                _LOG.warning('event=store_era_missing')
        return era


def open_store(find_address, clock):
    """Create a `MetadataStore`, which connects on first use."""
    return MetadataStore(find_address, clock)
