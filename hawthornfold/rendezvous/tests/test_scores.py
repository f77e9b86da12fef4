import unittest

from hawthornfold.rendezvous import choose_names


class ChooseNamesTest(unittest.TestCase):
    def test_order_of_the_names_does_not_matter(self):
        # Guards against nodes that choose different names for the same
        # subject because they list the names in a different order.
        names = [f'node-{number}' for number in range(30)]
        for subject in ('a', 'b', 'c'):
            self.assertEqual(
                choose_names(names, subject, 3),
                choose_names(names[::-1], subject, 3),
            )

    def test_removing_a_name_changes_at_most_one_choice(self):
        # Guards against replacing all readers when one node stops.
        names = [f'node-{number}' for number in range(30)]
        before = set(choose_names(names, 'dc', 5))
        for removed in names:
            rest = [name for name in names if name != removed]
            after = set(choose_names(rest, 'dc', 5))
            self.assertEqual(len(before - after), int(removed in before))
