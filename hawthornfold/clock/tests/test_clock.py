import unittest

from hawthornfold import clock


class ManualClockTest(unittest.TestCase):
    def test_refuses_to_move_backwards(self):
        # Guards against tests in which state machines get decreasing times.
        manual = clock.create_manual_clock()
        with self.assertRaises(ValueError):
            manual.advance(-1)
