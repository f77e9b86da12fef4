"""Truncated parts of gathered queries.

Guards against failure 5 of docs/design/server-signals.md, R7: a response that
is truncated partway counts as a complete success.
"""

from hawthornfold.clock import create_manual_clock
from hawthornfold.gateway.tests import support
from hawthornfold.gateway.tests import test_groups

TRUNCATED_PART = 2


class TruncatedPartTest(test_groups.GroupsTestCase):
    def setUp(self):
        super().setUp()
        self.wait_for_nodes()

    def query(self, create, is_divided):
        """Return the answer if one part's server sends `create(request)`."""
        nodes = {}

        def create_script(number):
            def script(connection, request, _):
                if number == TRUNCATED_PART:
                    connection.sendall(create(request))
                    return False
                connection.sendall(
                    support.create_answer(
                        request,
                        bytes([97 + number]) * 16,
                        X_Seal=f'seal-{number}',
                    )
                )
                return True

            return script

        addresses = []
        for number in range(8):
            server = support.ScriptedServer(create_script(number))
            self.addCleanup(server.close)
            addresses.append(server.address)
        clock = create_manual_clock()
        entry, _ = (
            test_groups.Node(nodes, name, addresses, clock=clock)
            for name in ('entry', 'left')
        )
        clock.advance(test_groups.NODE_AGE_MS)
        if is_divided:
            entry.divide(('left', (0, TRUNCATED_PART, 4)))
        return entry.query()

    def test_truncated_part_is_missing(self):
        body = b'z' * 40
        creators = {
            'length': lambda r: support.create_answer(r, body)[:-20],
            'chunked': lambda r: (
                support.create_answer(
                    r,
                    b'',
                    Content_Length=None,
                    Transfer_Encoding='chunked',
                )
                + b'30\r\n'
                + body
            ),
            'head': lambda r: support.create_answer(r, body)[:30],
        }
        for name, create in creators.items():
            for is_divided in (False, True):
                with self.subTest(name, is_divided=is_divided):
                    answer = self.query(create, is_divided)
                    headers = dict(answer.headers)
                    self.assertEqual(answer.status, 200)
                    self.assertEqual(headers['X-Missing-Parts'], '1')
                    seals = headers['X-Part-Seals'].split(', ')
                    self.assertEqual(len(seals), 7)
                    self.assertNotIn(b'z', answer.body)

    def test_body_without_length_is_accepted(self):
        # A length is not required: the end of the connection is one. A body
        # may end with a remainder that is no record, so that the remainder
        # does not show that it was truncated.
        for size in (32, 40):
            answer = self.query(
                lambda r, size=size: support.create_answer(
                    r, b'z' * size, Content_Length=None
                ),
                is_divided=False,
            )
            self.assertEqual(dict(answer.headers)['X-Missing-Parts'], '0')
