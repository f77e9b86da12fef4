"""Bounds of what a server can make a node read and hold."""

import itertools
import tracemalloc
import unittest
import weakref

from hypothesis import given
from hypothesis import strategies as st

from hawthornfold.clock import create_manual_clock
from hawthornfold.gateway import responses
from hawthornfold.gateway.response_bounds import BODY_SHARE
from hawthornfold.gateway.response_bounds import create_response_bounds
from hawthornfold.metrics import create_metrics

# More than any bound; every endless response has to fail before.
FED_BYTES = 4 << 20
PIECE_BYTES = 1 << 16
HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
BODY_LIMIT_BYTES = 1 << 20

# Start and endless rest of responses that never end, outside of a body.
ENDLESS = {
    'header lines': (HEAD, b'a: b\r\n'),
    'empty header lines': (HEAD, b'a:\r\n'),
    'header value': (HEAD + b'a: ', b'b'),
    'header name': (HEAD, b'a'),
    'status text': (b'HTTP/1.1 200 ', b'a'),
    'interim responses': (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
    'interim header lines': (b'HTTP/1.1 102 P\r\n', b'a: b\r\n'),
    'space before the header value': (HEAD + b'a:', b' '),
    'empty lines before the response': (b'', b'\r\n'),
    'chunk extension': (CHUNKED + b'1;', b'a'),
    'chunk extension value': (CHUNKED + b'1;a=', b'b'),
    'chunk size line': (CHUNKED, b'0'),
    'trailers': (CHUNKED + b'0\r\n', b'a: b\r\n'),
    'trailer value': (CHUNKED + b'0\r\na: ', b'b'),
    'trailer name': (CHUNKED + b'0\r\n', b'a'),
    'trailers after a body': (
        CHUNKED + b'80000\r\n' + bytes(0x80000) + b'\r\n0\r\n',
        b'a: b\r\n',
    ),
    'trailer value after a body': (
        CHUNKED + b'80000\r\n' + bytes(0x80000) + b'\r\n0\r\na: ',
        b'b',
    ),
    'chunks with long extensions': (
        CHUNKED,
        b'1;' + b'a' * 8_000 + b'\r\nx\r\n',
    ),
}
# The same, in a body.
ENDLESS_BODIES = {
    'with a length': (HEAD + b'Content-Length: 999999999\r\n\r\n', b'x'),
    'without a length': (HEAD + b'\r\n', b'x'),
    'one chunk': (CHUNKED + b'FFFFFFF\r\n', b'x'),
    'small chunks': (CHUNKED, b'2\r\nab\r\n'),
    'whole chunks': (CHUNKED, b'1000\r\n' + bytes(4096) + b'\r\n'),
}


def iterate_pieces(start, unit, piece_bytes, total_bytes):
    """Yield `start` and then `unit` again and again, in pieces."""
    for offset in range(0, len(start), piece_bytes):
        yield start[offset : offset + piece_bytes]
    repeated = unit * (2 + piece_bytes // len(unit))
    offset = 0
    for _ in range(total_bytes // piece_bytes):
        yield repeated[offset : offset + piece_bytes]
        offset = (offset + piece_bytes) % len(unit)


class ReaderTestCase(unittest.TestCase):
    def setUp(self):
        self.metrics = create_metrics()
        self.bounds = create_response_bounds(
            BODY_LIMIT_BYTES / BODY_SHARE, create_manual_clock(), self.metrics
        )
        self.budget = self.bounds.budget

    def create_reader(self):
        reader = responses.ResponseReader(self.bounds)
        reader.begin('GET')
        return reader

    def feed_until_refused(self, reader, pieces):
        """Return how many bytes were fed until the reader refused them."""
        fed_bytes = 0
        with self.assertRaises(ValueError):
            for piece in pieces:
                fed_bytes += len(piece)
                reader.feed(piece)
        return fed_bytes


class EndlessTest(ReaderTestCase):
    def check_endless(self, start, unit, limit_bytes, piece_bytes):
        reader = self.create_reader()
        pieces = iterate_pieces(start, unit, piece_bytes, FED_BYTES)
        fed_bytes = self.feed_until_refused(reader, pieces)
        self.assertLessEqual(fed_bytes, len(start) + limit_bytes)
        self.assertFalse(reader.is_complete)
        reader.close()
        self.assertEqual(self.budget.used_bytes, 0)

    def test_endless_heads_and_framing_are_refused(self):
        # Guards against heads, interim responses, chunk lines and trailers
        # without end, which took 350 MB and blocked the event loop for 12 s.
        for name, (start, unit) in ENDLESS.items():
            with self.subTest(name):
                self.check_endless(start, unit, 4 * PIECE_BYTES, PIECE_BYTES)

    def test_endless_heads_are_refused_a_byte_at_a_time(self):
        # Guards against bounds that hold for large pieces only. The parser
        # joins the pieces of a header at quadratic cost.
        for name, (start, unit) in ENDLESS.items():
            if len(start) < PIECE_BYTES and 'long' not in name:
                with self.subTest(name):
                    self.check_endless(start, unit, 4 * PIECE_BYTES, 1)

    def test_endless_bodies_are_refused(self):
        for name, (start, unit) in ENDLESS_BODIES.items():
            with self.subTest(name):
                self.check_endless(start, unit, FED_BYTES, PIECE_BYTES)
                self.check_endless(start, unit, FED_BYTES, 999)

    def test_memory_of_refused_responses_is_bounded(self):
        # Guards against bounds on the bytes fed while the objects made of
        # them take many times as much: short header lines and short chunks.
        bodies = ENDLESS_BODIES['small chunks']
        for start, unit in (*ENDLESS.values(), bodies):
            reader = self.create_reader()
            pieces = list(iterate_pieces(start, unit, PIECE_BYTES, FED_BYTES))
            tracemalloc.start()
            try:
                self.feed_until_refused(reader, pieces)
                peak_bytes = tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()
            self.assertLess(peak_bytes, 2.5 * BODY_LIMIT_BYTES, (start, unit))

    def test_closed_reader_is_freed_at_once(self):
        # Guards against reference cycles, through which what was read of
        # failed responses stays in memory until a full collection.
        reader = self.create_reader()
        reader.feed(HEAD + b'a: ' + b'b' * 9_000)
        reference = weakref.ref(reader)
        reader.close()
        del reader
        self.assertIsNone(reference())


class BudgetTest(ReaderTestCase):
    def start_body(self, size):
        reader = self.create_reader()
        reader.feed(HEAD + b'Content-Length: 1000000\r\n\r\n')
        reader.feed(bytes(size))
        return reader

    def test_largest_response_fails_when_the_node_has_no_memory_left(self):
        # Guards against many responses that together exceed the memory of
        # the node, each within its own bound.
        self.budget.set_limit(1 << 20)
        large = self.start_body(600_000)
        small = [self.start_body(40_000) for _ in range(20)]
        self.assertTrue(large.is_revoked)
        self.assertEqual(large.body, b'')
        self.assertLessEqual(self.budget.used_bytes, 1 << 20)
        with self.assertRaises(ValueError):
            large.feed(b'x')
        for reader in small:
            reader.feed(bytes(960_000))
            self.assertTrue(reader.is_complete)
            self.assertEqual(len(reader.body), 1_000_000)
            reader.release()
        self.assertEqual(self.budget.used_bytes, 0)

    def test_revoked_reader_notifies_its_connection(self):
        # Guards against a connection that stays open without a reader until
        # the deadline.
        notified = []
        self.budget.set_limit(100_000)
        reader = responses.ResponseReader(
            self.bounds, lambda: notified.append('revoked')
        )
        reader.begin('GET')
        reader.feed(HEAD + b'\r\n' + bytes(80_000))
        self.assertEqual(notified, [])
        self.start_body(30_000)
        self.assertEqual(notified, ['revoked'])

    def test_small_responses_use_no_budget(self):
        # Guards against bookkeeping for each of a query's 100 responses.
        reader = self.create_reader()
        reader.feed(HEAD + b'Content-Length: 1000\r\n\r\n' + bytes(500))
        self.assertEqual(self.budget.used_bytes, 0)

    def test_memory_is_released_on_every_path(self):
        for end in ('release', 'close', 'begin'):
            with self.subTest(end):
                reader = self.start_body(100_000)
                self.assertGreater(self.budget.used_bytes, 99_999)
                getattr(reader, end)(*['GET'] * (end == 'begin'))
                self.assertEqual(self.budget.used_bytes, 0)
                self.assertEqual(reader.body, b'')


class FollowingBytesTest(ReaderTestCase):
    """Bytes after a response that belong to no response."""

    # Complete responses, and the method of the requests.
    RESPONSES = {
        'with a length': (
            b'HTTP/1.1 500 E\r\nContent-Length: 3\r\nA: b\r\n\r\nabc',
            'GET',
        ),
        'chunked': (
            b'HTTP/1.1 500 E\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'3\r\nabc\r\n0\r\nC: d\r\n\r\n',
            'GET',
        ),
        'without a body': (b'HTTP/1.1 204 N\r\nA: b\r\n\r\n', 'GET'),
        'after an interim response': (
            b'HTTP/1.1 103 H\r\nE: f\r\n\r\n'
            b'HTTP/1.1 500 E\r\nContent-Length: 3\r\nA: b\r\n\r\nabc',
            'GET',
        ),
        'to HEAD': (b'HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n', 'HEAD'),
        'to HEAD, with a length': (
            b'HTTP/1.1 500 E\r\nContent-Length: 3\r\n\r\n',
            'HEAD',
        ),
        'that ends its connection': (
            b'HTTP/1.1 500 E\r\nConnection: close\r\n'
            b'Content-Length: 3\r\n\r\nabc',
            'GET',
        ),
    }
    FOLLOWING = {
        'a success': b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: x\r\n\r\nxy',
        'a refusal': b'HTTP/1.1 421 M\r\nX-Not: 1\r\n\r\n',
        'status 000': b'HTTP/1.1 000 S\r\nContent-Length: 2\r\n\r\nxy',
        'an interim response': b'HTTP/1.1 103 H\r\nG: h\r\n\r\n',
        'a change of protocol': (
            b'HTTP/1.1 101 S\r\nUpgrade: a\r\nConnection: upgrade\r\n\r\nxy'
        ),
        'many interim responses': b'HTTP/1.1 102 P\r\n\r\n' * 64,
        'many headers': HEAD + b'a: b\r\n' * 600 + b'\r\n',
        'a head that does not end': HEAD + b'X-Not: 1\r\n',
        'bytes that are no response': b'\x00\xff\r\n\r\n',
    }

    def read(self, data, method):
        """Return what a reader reports after it has read some bytes."""
        reader = responses.ResponseReader(self.bounds)
        reader.begin(method)
        reader.feed(data)
        state = (
            reader.is_complete,
            reader.status,
            reader.read_fields(),
            reader.body,
        )
        return state, reader.keeps_open and not reader.has_extra_bytes

    def check_following(self, following):
        for name, (response, method) in self.RESPONSES.items():
            with self.subTest(name):
                alone, _ = self.read(response, method)
                self.assertTrue(alone[0])
                together, is_reusable = self.read(response + following, method)
                self.assertEqual(together, alone)
                self.assertFalse(is_reusable)

    def test_following_bytes_do_not_change_a_response(self):
        # Guards against a status that is taken from the next message: a
        # failure reached the caller as a success, and a complete answer to a
        # non-idempotent request counted as a refusal, so that it ran twice.
        for name, following in self.FOLLOWING.items():
            with self.subTest(name):
                self.check_following(following)

    def test_following_bytes_do_not_count_as_framing(self):
        # Guards against a complete response that is lost because the bytes
        # behind it, with its own framing, exceed the bound of the framing.
        chunk = b'1;' + b'a' * 5_000 + b'\r\nx\r\n'
        reader = self.create_reader()
        reader.feed(CHUNKED)
        for _ in range(10):
            reader.feed(chunk)
        reader.feed(b'0\r\n\r\n' + bytes(60_000))
        self.assertTrue(reader.is_complete)
        self.assertTrue(reader.has_extra_bytes)
        self.assertEqual(reader.body, b'x' * 10)


class StatusTest(ReaderTestCase):
    """Status codes that are those of no response, or of an interim one."""

    BODY = b'Content-Length: 2\r\n\r\nab'

    def test_status_outside_of_the_valid_range_is_no_response(self):
        # Guards against a response with status 000 that counts as an interim
        # one: the request waited until its deadline, or its body was joined
        # to that of the next response on the connection.
        for status, size in itertools.product(
            (b'000', b'001', b'099', b'600', b'999'), (1, 1_000)
        ):
            with self.subTest(status=status, size=size):
                data = b'HTTP/1.1 %b S\r\n' % status + self.BODY
                reader = self.create_reader()
                self.feed_until_refused(
                    reader,
                    (
                        data[offset : offset + size]
                        for offset in range(0, len(data), size)
                    ),
                )
                self.assertFalse(reader.is_complete)
                self.assertFalse(reader.has_head)
                self.assertEqual(reader.body, b'')

    def test_valid_status_is_read(self):
        # Guards against a range that refuses what servers do send.
        for status in (b'200', b'299', b'399', b'421', b'599'):
            reader = self.create_reader()
            reader.feed(b'HTTP/1.1 %b S\r\n' % status + self.BODY)
            self.assertTrue(reader.is_complete)
            self.assertEqual(reader.status, int(status))

    def test_interim_response_with_a_body_is_refused(self):
        # Guards against a body that is joined to that of the response: the
        # parser reads one after most statuses below 200 if there is a length.
        chunked = b'Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n'
        for status, body in itertools.product(
            (b'100', b'102', b'103', b'104', b'199'), (self.BODY, chunked)
        ):
            with self.subTest(status=status, body=body):
                reader = self.create_reader()
                with self.assertRaises(ValueError):
                    reader.feed(b'HTTP/1.1 %b S\r\n' % status + body)
                    reader.feed(HEAD + self.BODY)
                self.assertFalse(reader.is_complete)
                self.assertEqual(reader.body, b'')

    def test_interim_response_with_length_zero_is_skipped(self):
        # Guards against a check that refuses superfluous headers.
        for status in (b'100', b'103', b'199'):
            reader = self.create_reader()
            reader.feed(b'HTTP/1.1 %b S\r\nContent-Length: 0\r\n\r\n' % status)
            reader.feed(HEAD + self.BODY)
            self.assertTrue(reader.is_complete)
            self.assertEqual(reader.body, b'ab')


class ValidTest(ReaderTestCase):
    def test_responses_within_the_bounds_are_read(self):
        # Guards against bounds that refuse what servers do send.
        body = bytes(range(256)) * 4_000
        fields = b''.join(b'X-%d: %b\r\n' % (n, b'v' * 90) for n in range(200))
        length = b'Content-Length: %d\r\n\r\n' % len(body)
        chunks = b''.join(
            b'%x\r\n%b\r\n' % (len(chunk), chunk)
            for offset in range(0, len(body), 97)
            if (chunk := body[offset : offset + 97])
        )
        interim = b'HTTP/1.1 102 Processing\r\nA: b\r\n\r\n' * 30
        cases = (
            HEAD + fields + length + body,
            interim + HEAD + length + body,
            CHUNKED + chunks + b'0\r\nX-Sum: 1\r\n\r\n',
        )
        for data, piece_bytes in itertools.product(cases, (777, 1 << 16)):
            reader = self.create_reader()
            for offset in range(0, len(data), piece_bytes):
                self.assertFalse(reader.is_complete)
                reader.feed(data[offset : offset + piece_bytes])
            self.assertTrue(reader.is_complete)
            self.assertEqual(reader.status, 200)
            self.assertEqual(reader.body, body)
            self.assertTrue(reader.keeps_open)

    def test_short_chunks_are_read(self):
        # Guards against a bound that refuses a server which sends each record
        # in a chunk of its own, or a short body byte by byte.
        for size, count in ((16, 60_000), (1, 15_000)):
            reader = self.create_reader()
            reader.feed(CHUNKED)
            chunk = b'%x\r\n%b\r\n' % (size, b'x' * size)
            for _ in range(count // 1_000):
                reader.feed(chunk * 1_000)
            reader.feed(b'0\r\n\r\n')
            self.assertEqual(reader.body, b'x' * size * count)

    def test_interim_response_is_not_the_answer_at_the_end(self):
        # Guards against a connection that ends after an interim response,
        # which was passed on as a complete answer with status 102.
        reader = self.create_reader()
        reader.feed(b'HTTP/1.1 102 Processing\r\n\r\n')
        reader.feed_eof()
        self.assertFalse(reader.is_complete)

    def test_body_of_the_limit_is_read_and_one_byte_more_is_refused(self):
        for extra in (0, 1):
            reader = self.create_reader()
            size = BODY_LIMIT_BYTES + extra
            data = HEAD + b'Content-Length: %d\r\n\r\n' % size + bytes(size)
            pieces = [
                data[offset : offset + PIECE_BYTES]
                for offset in range(0, len(data), PIECE_BYTES)
            ]
            if extra:
                self.feed_until_refused(reader, pieces)
            else:
                for piece in pieces:
                    reader.feed(piece)
                self.assertTrue(reader.is_complete)

    @given(st.binary(max_size=400), st.integers(1, 50))
    def test_any_bytes_are_refused_or_read(self, data, piece_bytes):
        # Guards against bytes that raise another error than ValueError, which
        # would reach the event loop.
        for start in (b'', HEAD, CHUNKED, b'HTTP/1.1 101 S\r\n\r\n'):
            reader = self.create_reader()
            stream = start + data
            try:
                for offset in range(0, len(stream), piece_bytes):
                    reader.feed(stream[offset : offset + piece_bytes])
                reader.feed_eof()
            except ValueError:
                pass
            reader.close()
        self.assertEqual(self.budget.used_bytes, 0)
