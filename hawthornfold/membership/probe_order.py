"""The order in which a node probes the other members."""


class ProbeOrder:
    """Yields live members in rounds, each in a new random order.

    Each member is yielded once per round, so one that fails or joins is
    probed before the end of the next round. Independent random choices can
    leave out a member of a small fleet for several times as long.

    Parameters
    ----------
    table : MemberTable
        The members.
    random : random.Random
        Source of the orders.
    data_centre : str, optional
        Only members of this data centre are yielded. By default all are.
    """

    def __init__(self, table, random, data_centre=None):
        self._table = table
        self._random = random
        self._data_centre = data_centre
        self._remaining_names = []

    def take_next(self):
        """Return the record of the next member, or None if there is none."""
        record = self._take_remaining()
        if record is None:
            self._begin_round()
            record = self._take_remaining()
        return record

    def _begin_round(self):
        self._remaining_names = self._table.list_live_names(self._data_centre)
        self._random.shuffle(self._remaining_names)

    def _take_remaining(self):
        """Return the next member of this round that is still live, if any."""
        while self._remaining_names:
            name = self._remaining_names.pop()
            if self._table.is_live(name):
                return self._table.get(name)
        return None
