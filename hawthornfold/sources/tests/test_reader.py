import contextlib
import http.server
import json
import threading
import types
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from hawthornfold.clock import create_manual_clock
from hawthornfold.codes import ResultCode
from hawthornfold.configuration.simulation import CountingMetrics
from hawthornfold.sources import VM
from hawthornfold.sources import create_platform_reader
from hawthornfold.sources import encode_vms
from hawthornfold.sources import parse_vms
from hawthornfold.sources import reader as reader_module
from hawthornfold.sources import replies


@contextlib.contextmanager
def serve(status, body, location=None):
    """Run a platform that sends the same response to every request."""
    requests = []

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self):
            requests.append(self.path)
            self.send_response(status)
            if location:
                self.send_header('Location', location)
            self.send_header('Content-Length', str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *arguments):
            pass

    server = http.server.ThreadingHTTPServer(('127.0.0.1', 0), Handler)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        yield f'127.0.0.1:{server.server_address[1]}', requests
    finally:
        server.shutdown()
        server.server_close()
        thread.join()


def create_reader(*addresses, clock=None):
    """Return a reader that starts with the first of `addresses`."""
    metrics = CountingMetrics()
    settings = types.SimpleNamespace(
        node=types.SimpleNamespace(name='n'),
        platform=types.SimpleNamespace(addresses=addresses, timeout_ms=5e3),
    )
    reader = create_platform_reader(
        settings, clock or create_manual_clock(), metrics
    )
    reader._first_indexes = {'keys': 0, 'vms': 0}
    return reader, metrics


def encode_keys(revision, **keys):
    return json.dumps({'revision': revision, 'keys': keys}).encode()


RULES = {'revision': 3, 'value': '{"š": 1}'}


class PlatformReaderTest(unittest.TestCase):
    def test_reads_keys_and_deletions(self):
        # Guards against a deletion that is treated as an invalid value.
        body = encode_keys(4, rules=RULES, old={'revision': 4, 'value': None})
        with serve(200, body) as (address, requests):
            reader, metrics = create_reader(address)
            reply = reader.read_keys(2, 0).ok()
        self.assertEqual(['/v1/keys?since=2&wait_ms=0'], requests)
        self.assertEqual('{"š": 1}'.encode(), reply.keys['rules'].value)
        self.assertIsNone(reply.keys['old'].value)
        self.assertEqual(1, metrics.counts['platform_reads', 'keys', 'ok'])

    def test_invalid_key_does_not_block_the_others(self):
        # Guards against an oversized document that blocks all other changes.
        large = 'x' * (replies.MAX_VALUE_BYTES + 1)
        body = encode_keys(
            5,
            rules=RULES,
            large={'revision': 4, 'value': large},
            number={'revision': 5, 'value': 7},
        )
        with serve(200, body) as (address, _):
            reader, metrics = create_reader(address)
            reply = reader.read_keys(0, 0).ok()
        self.assertEqual(['rules'], list(reply.keys))
        self.assertEqual(2, len(reply.failures))
        self.assertEqual(2, metrics.counts['platform_failures', 702, 'keys'])

    def test_failed_address_is_skipped_and_remembered(self):
        # Guards against a failed platform address that makes the read fail,
        # and against reads that keep starting with it.
        body = encode_keys(3, rules=RULES)
        with (
            serve(500, b'') as (failing_address, failed_requests),
            serve(200, body) as (working_address, _),
        ):
            reader, metrics = create_reader(failing_address, working_address)
            self.assertTrue(reader.read_keys(0, 0).is_ok())
            self.assertTrue(reader.read_keys(0, 0).is_ok())
        self.assertEqual(1, len(failed_requests))
        self.assertEqual(1, metrics.counts['platform_reads', 'keys', 'failed'])
        self.assertEqual(2, metrics.counts['platform_reads', 'keys', 'ok'])

    def test_next_read_leaves_a_stale_replica(self):
        # Guards against a watcher that keeps reading from a stale replica.
        with (
            serve(200, encode_keys(3, rules=RULES)) as (stale, _),
            serve(200, encode_keys(9, rules=RULES)) as (current, _),
        ):
            reader, metrics = create_reader(stale, current)
            self.assertEqual(3, reader.read_keys(8, 0).ok().revision)
            self.assertEqual(9, reader.read_keys(8, 0).ok().revision)
        self.assertEqual(1, metrics.counts['platform_reads_stale',])

    def test_redirect_is_not_followed(self):
        # Guards against a platform address that redirects nodes elsewhere.
        with serve(200, encode_keys(3)) as (target, requests):
            with serve(302, b'', f'http://{target}/') as (address, _):
                reader, _ = create_reader(address)
                outcome = reader.read_keys(0, 0)
        self.assertEqual(ResultCode.PLATFORM_UNREACHABLE, outcome.err().code)
        self.assertEqual([], requests)

    def read_blank_vms(self, clock):
        with serve(200, b' ' * 5000) as (address, _):
            reader, _ = create_reader(address, clock=clock)
            return reader.read_vms().err()

    def test_oversized_reply_is_refused(self):
        # Guards against a reply that exhausts the memory of the node.
        with mock.patch.object(reader_module, 'MAX_REPLY_BYTES', 4096):
            failure = self.read_blank_vms(create_manual_clock())
        self.assertEqual(ResultCode.PLATFORM_UNREACHABLE, failure.code)
        self.assertIn('4096', failure.detail)

    def test_late_body_is_refused(self):
        # Guards against a body that arrives so slowly that a read never ends.
        clock = mock.Mock()
        clock.now_ms.side_effect = range(0, 1_000_000, 40_000)
        failure = self.read_blank_vms(clock)
        self.assertIn('in time', failure.detail)

    def test_vm_list_is_the_same_for_every_reader(self):
        # Guards against watchers that publish different contents for one
        # revision of the VM list, and against an invalid VM that makes the
        # reader drop the valid ones.
        first = VM('a', '127.0.0.1:7000', 'dc', 'live')
        second = VM('b', '[::1]:7000', 'dc', 'leaving')
        vms = [dict(x._asdict()) for x in (second, first)]
        vms += [
            {'name': 'c'},
            vms[0],
            {**vms[0], 'name': 'd', 'address': 'host:1'},
        ]
        body = json.dumps({'revision': 2, 'vms': vms}).encode()
        with serve(200, body) as (address, _):
            reader, _ = create_reader(address)
            reply = reader.read_vms().ok()
        self.assertEqual((first, second), reply.vms)
        self.assertEqual(3, len(reply.failures))
        value = encode_vms((second, first))
        self.assertEqual(reply.vms, parse_vms('vms', value).ok())


FIELD_NAMES = ['revision', 'keys', 'value', 'vms', *VM._fields]
LEAVES = st.none() | st.integers() | st.sampled_from(['live', '::1:0', 'é'])
REPLIES = st.recursive(
    LEAVES,
    lambda x: st.lists(x) | st.dictionaries(st.sampled_from(FIELD_NAMES), x),
).map(lambda x: json.dumps(x).encode())


class FuzzedRepliesTest(unittest.TestCase):
    @given(st.binary(max_size=200) | REPLIES)
    def test_any_body_gives_a_result(self, body):
        # Guards against a malformed reply that stops the reading loop.
        for parse in (replies.parse_keys_reply, replies.parse_vms_reply):
            outcome = parse(body)
            if outcome.is_err():
                code = outcome.err().code
                self.assertEqual(ResultCode.PLATFORM_BAD_VALUE, code)
        parse_vms('vms', body)
