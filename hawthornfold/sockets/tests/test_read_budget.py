import contextlib
import unittest

from hypothesis import given
from hypothesis import strategies as st

from hawthornfold.sockets import ReadBudgetError
from hawthornfold.sockets import RevocationObserver
from hawthornfold.sockets import create_read_budget

LIMIT_BYTES = 1_000
READERS = 5


class RecordingObserver(RevocationObserver):
    def __init__(self):
        self.sizes = []

    def handle_revocation(self, size_bytes):
        self.sizes.append(size_bytes)


class ReadBudgetTest(unittest.TestCase):
    def setUp(self):
        self.observer = RecordingObserver()
        self.budget = create_read_budget(LIMIT_BYTES, self.observer)
        self.revoked = []
        self.stack = self.enterContext(contextlib.ExitStack())

    def reserve(self, name, size_bytes):
        reservation = self.stack.enter_context(
            self.budget.reserve(lambda: self.revoked.append(name))
        )
        reservation.resize(size_bytes)
        return reservation

    def test_largest_reader_fails_first(self):
        # Guards against one endless body that makes every request fail.
        large = self.reserve('large', 800)
        small = [self.reserve(f'small-{n}', 60) for n in range(8)]
        self.assertEqual(self.revoked, ['large'])
        self.assertEqual(self.observer.sizes, [800])
        self.assertEqual(self.budget.used_bytes, 480)
        self.assertTrue(large.is_revoked)
        self.assertFalse(any(x.is_revoked for x in small))
        with self.assertRaises(ReadBudgetError):
            large.resize(1)
        self.assertEqual(self.budget.used_bytes, 480)

    def test_reader_that_is_the_largest_fails_itself(self):
        self.reserve('small', 100)
        with self.assertRaises(ReadBudgetError):
            self.reserve('large', 950)
        # The reader learns of it from the error, not from the callback.
        self.assertEqual(self.revoked, [])
        self.assertEqual(self.budget.used_bytes, 100)

    def test_memory_is_released_at_the_end_and_after_an_error(self):
        # Guards against a budget that shrinks with each failed response.
        for error in (None, OSError(), ReadBudgetError()):
            with contextlib.suppress(OSError, ReadBudgetError):
                with self.budget.reserve(lambda: None) as reservation:
                    reservation.resize(700)
                    if error is not None:
                        raise error
            self.assertEqual(self.budget.used_bytes, 0)
        with self.assertRaises(ReadBudgetError):
            reservation.resize(1)
        self.assertEqual(self.budget.used_bytes, 0)

    def test_lower_limit_applies_to_the_next_growth(self):
        large = self.reserve('large', 800)
        self.budget.set_limit(500)
        self.assertFalse(large.is_revoked)
        self.reserve('small', 10)
        self.assertEqual(self.revoked, ['large'])
        self.assertEqual(self.budget.used_bytes, 10)

    @given(
        st.lists(
            st.tuples(
                st.integers(0, READERS - 1),
                st.one_of(st.none(), st.integers(0, 2 * LIMIT_BYTES)),
            )
        )
    )
    def test_sum_is_exact_and_never_above_the_limit(self, steps):
        # Guards against bytes that are counted twice or never released, in
        # any order of growth, ends and revocations. None ends a reader.
        budget = create_read_budget(LIMIT_BYTES)
        readers = {}
        with contextlib.ExitStack() as everything:
            for number, size_bytes in steps:
                if number not in readers:
                    stack = everything.enter_context(contextlib.ExitStack())
                    reservation = stack.enter_context(
                        budget.reserve(lambda: None)
                    )
                    readers[number] = (stack, reservation)
                stack, reservation = readers[number]
                if size_bytes is None:
                    stack.close()
                    del readers[number]
                else:
                    with contextlib.suppress(ReadBudgetError):
                        reservation.resize(size_bytes)
                sizes = [r.size_bytes for _, r in readers.values()]
                self.assertEqual(budget.used_bytes, sum(sizes))
                self.assertLessEqual(budget.used_bytes, LIMIT_BYTES)
        self.assertEqual(budget.used_bytes, 0)
