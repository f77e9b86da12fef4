"""Responses whose head ends early.

Guards against callers that get a success with an empty or short body, framed
as whole, because the server ended within the head of its response.
"""

from hawthornfold.gateway.tests import support
from hawthornfold.gateway.tests.test_exchange import ExchangeTestCase
from hawthornfold.gathering import OutcomeKind

CLOSE = 'close'
RESET = 'reset'
# The fields that say where the body ends: a length, chunks, the end of the
# connection.
FRAMINGS = (
    {},
    {'Content_Length': None, 'Transfer_Encoding': 'chunked'},
    {'Content_Length': None},
)


class TruncatedHeadTest(ExchangeTestCase):
    def send_truncated(self, end, is_kept, size, **fields):
        """Return the outcome if the server ends after `size` bytes.

        Parameters
        ----------
        end : str
            `CLOSE` or `RESET`.
        is_kept : bool
            Whether the connection has carried a response before.
        size : int
            Number of bytes of the head that the server sends; from the end
            if negative.

        Returns
        -------
        tuple of (ExchangeOutcome, int)
            The outcome, and the size of the whole head.
        """
        heads = []

        def script(connection, request, number):
            if is_kept and number == 0:
                connection.sendall(support.create_answer(request))
                return True
            head = support.create_answer(request, b'', **fields)
            heads.append(head)
            connection.sendall(head[:size])
            if end == RESET:
                support.reset(connection)
            return False

        self.open(script)
        if is_kept:
            self.assertIs(self.send('r0').kind, OutcomeKind.ANSWERED)
        outcome = self.send()
        self.server.close()
        self.connection.close()
        return outcome, len(heads[0])

    def check_each_size(self, end, is_kept, **fields):
        _, length = self.send_truncated(end, is_kept, -1, **fields)
        for size in range(length):
            with self.subTest(end=end, is_kept=is_kept, size=size, **fields):
                outcome, _ = self.send_truncated(end, is_kept, size, **fields)
                self.assertIs(outcome.kind, OutcomeKind.LOST)
                self.assertIsNone(outcome.response)

    def test_connection_closes_after_any_byte(self):
        for fields in FRAMINGS:
            self.check_each_size(CLOSE, False, **fields)

    def test_connection_is_reset_after_any_byte(self):
        for fields in FRAMINGS:
            self.check_each_size(RESET, False, **fields)

    def test_kept_connection_ends_after_any_byte(self):
        for end in (CLOSE, RESET):
            self.check_each_size(end, True)

    def test_truncated_refusal_does_not_say_that_nothing_was_run(self):
        # A request that may run once only would be sent to another server.
        for fields in (
            {'status': 503, 'X_Not_Executed': '1'},
            {'status': 421},
        ):
            self.check_each_size(CLOSE, False, **fields)
