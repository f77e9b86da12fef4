"""Recognising requests that come again."""

import unittest

from hawthornfold.quarantine import create_request_fingerprints

HEAD = (
    b'POST /a?x=1 HTTP/1.1\r\nHost: h\r\nUser-Agent: u\r\n'
    b'Authorization: t\r\nX-Request-Id: 1\r\nContent-Length: 4\r\n'
)
BODY = b'body'


class FingerprintTest(unittest.TestCase):
    def setUp(self):
        self.fingerprints = create_request_fingerprints('key')
        self.known = self.fingerprints.compute(HEAD, BODY)

    def test_same_request_with_other_ids_and_order_is_recognised(self):
        # Guards against a request that gets away by another attempt's headers.
        for head in (
            HEAD.replace(b'X-Request-Id: 1', b'X-Request-Id: 2'),
            HEAD.replace(b'Host: h\r\n', b'') + b'HOST:h\r\n',
            HEAD + b'Traceparent: 9\r\n',
        ):
            self.assertEqual(self.fingerprints.compute(head, BODY), self.known)

    def test_other_requests_differ(self):
        # Guards against innocent requests that share a fingerprint.
        different = [
            (HEAD.replace(b'POST', b'PUT'), BODY),
            (HEAD.replace(b'x=1', b'x=2'), BODY),
            (HEAD.replace(b'Host: h', b'Host: i'), BODY),
            (HEAD.replace(b'User-Agent: u', b'User-Agent: v'), BODY),
            (HEAD.replace(b'Authorization: t', b'Authorization: w'), BODY),
            (HEAD, b'body2'),
            (HEAD, b''),
            (b'', b''),
            (b'\xff\x00no request', b'\x00'),
        ]
        names = {self.fingerprints.compute(*x) for x in different}
        self.assertEqual(len(names | {self.known}), len(different) + 1)

    def test_boundaries_of_the_parts_count(self):
        compute = self.fingerprints.compute
        self.assertNotEqual(
            compute(b'GET /a HTTP/1.1\r\n', b'host:x'),
            compute(b'GET /a HTTP/1.1\r\nHost: x\r\n', b''),
        )

    def test_deployments_differ(self):
        other = create_request_fingerprints('other')
        self.assertNotEqual(other.compute(HEAD, BODY), self.known)
