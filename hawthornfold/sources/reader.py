"""Reads the platform over HTTP and tries its addresses in turn."""

import result
import urllib3
import xxhash

from hawthornfold.codes import Failure
from hawthornfold.codes import ResultCode
from hawthornfold.sockets import ReplyLimits
from hawthornfold.sockets import create_limited_pool
from hawthornfold.sources import replies

# Bounds the size of a reply, so that a faulty one does not exhaust the 256 MB
# of the control plane. A full read of about 100 service groups of 50 KB
# takes 5 MB.
MAX_REPLY_BYTES = 32 << 20
_CHUNK_BYTES = 1 << 16
# Bounds what a reply has beside its body.
_MAX_FRAMING_BYTES = 1 << 20


class _ReadError(Exception):
    """Raised for a response without a usable body."""


class PlatformReader:
    """Reads keys and VMs from the first platform address that responds."""

    def __init__(self, addresses, first_index, timeout_ms, clock, metrics):
        self._addresses = tuple(addresses)
        self._timeout_ms = timeout_ms
        self._clock = clock
        self._metrics = metrics
        # Each resource has the index of the address to try first, because
        # two green threads read keys and VMs at the same time.
        self._first_indexes = {'keys': first_index, 'vms': first_index}
        # The body has limits of its own; these bound heads and trailers too.
        self._pool = create_limited_pool(
            ReplyLimits(None, MAX_REPLY_BYTES + _MAX_FRAMING_BYTES),
            num_pools=len(self._addresses),
            maxsize=4,
            retries=False,
        )

    def read_keys(self, since, wait_ms):
        """Read the keys that are newer than `since`.

        Parameters
        ----------
        since : int
            Revision already held; 0 reads all keys.
        wait_ms : float
            Maximum time that the platform waits for a newer revision; with
            0 it responds at once.

        Returns
        -------
        Result
            Ok of KeysReply, or Err of Failure 701 or 702. A reply with a
            revision below `since` is from a stale replica; the next read
            then starts with another address.
        """
        target = f'/v1/keys?since={since}&wait_ms={int(wait_ms)}'
        reply = self._read('keys', target, wait_ms, replies.parse_keys_reply)
        if reply.is_ok() and reply.ok().revision < since:
            self._metrics.count('platform_reads_stale')
            self._first_indexes['keys'] += 1
        return reply

    def read_vms(self):
        """Read the VM list.

        Returns
        -------
        Result
            Ok of VMsReply, or Err of Failure 701 or 702.
        """
        return self._read('vms', '/v1/vms', 0, replies.parse_vms_reply)

    def _read(self, resource, target, wait_ms, parse):
        """Try each address once, starting with the last that responded."""
        first_index = self._first_indexes[resource]
        outcome = None
        for index in range(first_index, first_index + len(self._addresses)):
            address = self._addresses[index % len(self._addresses)]
            outcome = self._read_address(
                resource, address, target, wait_ms, parse
            )
            if outcome.is_ok():
                self._first_indexes[resource] = index
                number = len(outcome.ok().failures)
                if number:
                    self._count_failures(
                        ResultCode.PLATFORM_BAD_VALUE, resource, number
                    )
                break
            self._count_failures(outcome.err().code, resource, 1)
        return outcome

    def _read_address(self, resource, address, target, wait_ms, parse):
        started_ms = self._clock.now_ms()
        try:
            body = self._fetch_body(f'http://{address}{target}', wait_ms)
        except (_ReadError, urllib3.exceptions.HTTPError, OSError) as error:
            code = ResultCode.PLATFORM_UNREACHABLE
            outcome = result.Err(Failure(code, f'{address}: {error}'))
        else:
            outcome = parse(body)
        self._metrics.count(
            'platform_reads',
            what=resource,
            outcome='ok' if outcome.is_ok() else 'failed',
        )
        self._metrics.observe_ms(
            'platform_read', self._clock.now_ms() - started_ms, what=resource
        )
        return outcome

    def _fetch_body(self, url, wait_ms):
        deadline_ms = self._clock.now_ms() + wait_ms + self._timeout_ms
        response = self._pool.request(
            'GET',
            url,
            redirect=False,
            preload_content=False,
            decode_content=False,
            timeout=urllib3.Timeout(
                connect=self._timeout_ms / 1000.0,
                read=(wait_ms + self._timeout_ms) / 1000.0,
            ),
        )
        complete = False
        try:
            if response.status != 200:
                raise _ReadError(f'HTTP status {response.status}')
            body = self._read_body(response, deadline_ms)
            complete = True
        finally:
            # A connection whose body was not read to the end cannot be
            # reused.
            if complete:
                response.release_conn()
            else:
                response.close()
        return body

    def _read_body(self, response, deadline_ms):
        """Return the body, or raise _ReadError if it is too large or late.

        The socket's timeout restarts with each packet, so it does not limit
        a body that arrives byte by byte. The deadline does.
        """
        chunks = []
        size = 0
        while True:
            chunk = response.read1(_CHUNK_BYTES)
            if not chunk:
                return b''.join(chunks)
            size += len(chunk)
            if size > MAX_REPLY_BYTES:
                raise _ReadError(
                    f'the body has more than {MAX_REPLY_BYTES} bytes'
                )
            if self._clock.now_ms() > deadline_ms:
                raise _ReadError('the body did not arrive in time')
            chunks.append(chunk)

    def _count_failures(self, code, resource, number):
        self._metrics.count(
            'platform_failures', number, code=int(code), what=resource
        )


def create_platform_reader(settings, clock, metrics):
    """Create a reader of the platform addresses in the settings.

    Parameters
    ----------
    settings : Settings
        Uses ``node.name``, ``platform.addresses`` and
        ``platform.timeout_ms``.
    clock : Clock
        Limits and measures the time of each read.
    metrics : Metrics
        Counts the reads and their failures.
    """
    addresses = settings.platform.addresses
    # Nodes start with different addresses, so that an address that accepts
    # connections but never responds does not delay all watchers.
    name_hash = xxhash.xxh3_64_intdigest(settings.node.name.encode())
    return PlatformReader(
        addresses,
        name_hash % len(addresses),
        settings.platform.timeout_ms,
        clock,
        metrics,
    )
