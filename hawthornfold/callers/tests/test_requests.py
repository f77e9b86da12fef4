import errno
import http
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
import msgspec

from hawthornfold.callers import requests
from hawthornfold.callers import server
from hawthornfold.clock import create_manual_clock
from hawthornfold.codes import ResultCode

# Codes of documents, settings and the platform do not reach a caller.
FOR_CALLERS = [
    code for code in ResultCode if int(code) // 100 in (0, 3, 4, 5, 6)
]


class AnswerTest(unittest.TestCase):
    """Checks what callers act on: status, `ran` and Retry-After."""

    def test_every_code_has_its_status_and_says_whether_it_ran(self):
        # Guards against new codes that get the default status 500 unnoticed,
        # and against 429, 503 and 504 without Retry-After, which the design
        # requires.
        for code in FOR_CALLERS:
            answer = requests.create_refusal(code, 'x', 'unknown')
            self.assertTrue(http.HTTPStatus(answer.status).phrase)
            self.assertEqual(answer.document['ran'], 'unknown')
            fields = dict(requests.create_headers(answer, answer.body))
            with self.subTest(code.name):
                if int(code) < 100:
                    self.assertEqual(answer.status, 200)
                elif int(code) < 400:
                    self.assertEqual(answer.status // 100, 4)
                else:
                    is_internal = code is ResultCode.INTERNAL
                    self.assertEqual(answer.status == 500, is_internal)
                if answer.status in (429, 503, 504):
                    self.assertGreaterEqual(int(fields['Retry-After']), 1)


class BodyTest(unittest.TestCase):
    """Checks that the body parser accepts valid bodies only."""

    @given(st.binary(max_size=200))
    def test_any_bytes_are_parsed_or_refused(self, data):
        parsed = requests.parse_body(data)
        code = None if parsed.is_ok() else parsed.err_value.code
        self.assertIn(code, (None, ResultCode.REQUEST_MALFORMED))

    @given(
        st.integers(0, 200),
        st.sampled_from([*requests.KINDS, '', 'SEARCH']),
        st.integers() | st.floats(0, 2000) | st.none() | st.booleans(),
        st.integers(0, 5000),
    )
    def test_fields_outside_their_limits_are_refused(
        self, name_length, kind, limit, length
    ):
        sent = {'service': 'é' * name_length, 'kind': kind, 'limit': limit}
        parsed = requests.parse_body(
            msgspec.json.encode({**sent, 'text': 'x' * length})
        )
        is_valid = (
            1 <= name_length <= 128
            and kind in requests.KINDS
            and type(limit) is int
            and 1 <= limit <= requests.MAX_LIMIT
            and length <= 4096
        )
        self.assertEqual(parsed.is_ok(), is_valid)

    def test_hostile_bodies_are_refused_with_a_short_detail(self):
        valid = b'{"service": "a", "kind": "search"'
        for body in (
            b'{"service": "\xff", "kind": "search"}',
            b'{"service": "\\ud800", "kind": "search"}',
            valid + b', "' + b'x' * 50_000 + b'": 1}',
            b'[' * 60_000,
            valid + b'} {}',
        ):
            parsed = requests.parse_body(body)
            self.assertTrue(parsed.is_err(), body[:60])
            self.assertLessEqual(len(parsed.err_value.detail), 200)


class ListenerTest(unittest.TestCase):
    """Guards against a port that closes when descriptors are short."""

    def test_accept_continues_after_transient_errors(self):
        transient = OSError(errno.EMFILE, 'too many open files')
        socket = mock.Mock()
        socket.accept.side_effect = [transient, transient, 'connection']
        clock = create_manual_clock()
        listener = server._Listener(socket, clock)
        self.assertEqual(listener.accept(), 'connection')
        self.assertGreater(clock.now_ms(), 0)
        socket.accept.side_effect = [OSError(errno.EBADF, 'closed')]
        with self.assertRaises(OSError):
            listener.accept()
