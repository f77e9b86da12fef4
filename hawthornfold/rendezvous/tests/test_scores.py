import unittest

from hawthornfold.rendezvous import choose_names


class ChooseNamesTest(unittest.TestCase):
    def test_order_of_the_names_does_not_matter(self):
        # Guards against nodes that disagree on who has a task.
        names = [f'node-{number}' for number in range(30)]
        for subject in ('a', 'b', 'c'):
            self.assertEqual(
                choose_names(names, subject, 3),
                choose_names(names[::-1], subject, 3),
            )

    def test_few_names_move_when_one_is_gone(self):
        # Guards against a change of all readers when one node stops.
        names = [f'node-{number}' for number in range(30)]
        before = set(choose_names(names, 'dc', 5))
        for gone in names:
            rest = [name for name in names if name != gone]
            after = set(choose_names(rest, 'dc', 5))
            self.assertEqual(len(before - after), int(gone in before))
