"""The member table: records, random selection, digests and the VM list."""

import sys

from hawthornfold.membership import records
from hawthornfold.membership.records import Member

_LIVE_STATUSES = (records.ALIVE, records.SUSPECT)


class MemberTable:
    """Records of all members except the node itself.

    All operations take constant time, whatever the size of the fleet, except
    `records_in`, `list_live_names`, `export_members` and `set_listed`.
    """

    def __init__(self):
        self._records = {}
        self._revision = 0
        self._live_names = []
        self._live_positions = {}
        self._digests = [0] * records.BUCKET_COUNT
        self._listed = {}
        self._listed_names = ()
        self._absent_names = []
        self._absent_positions = {}

    @property
    def revision(self):
        """Number that grows with every change of a record."""
        return self._revision

    @property
    def live_count(self):
        """Number of live members, without the node itself."""
        return len(self._live_names)

    @property
    def record_count(self):
        """Number of records, including those of removed members."""
        return len(self._records)

    @property
    def absent_count(self):
        """Number of listed VMs that are not live members."""
        return len(self._absent_names)

    def get(self, name):
        """Return the record of a member, or None."""
        return self._records.get(name)

    def get_listed(self, name):
        """Return the entry of a VM in the platform's list, or None."""
        return self._listed.get(name)

    def is_live(self, name):
        """Return whether `name` is a live member or a suspect."""
        return name in self._live_positions

    def compute_digests(self, own):
        """Return the digests of all buckets, 4 bytes each.

        `own` is the node's own record, which the table does not hold.
        """
        values = list(self._digests)
        values[records.compute_bucket(own.name)] ^= records.hash_record(own)
        return b''.join(value.to_bytes(4, 'big') for value in values)

    def list_live_names(self, data_centre=None):
        """Return the names of the live members, of one data centre if given.

        The list is a new one.
        """
        if data_centre is None:
            return list(self._live_names)
        return [
            name
            for name in self._live_names
            if self._records[name].data_centre == data_centre
        ]

    def choose_live(self, random, count, excluded=()):
        """Return up to `count` distinct live records in random order.

        Names in `excluded` are left out.
        """
        available = len(self._live_names)
        sample_size = min(available, count + len(excluded))
        indexes = random.sample(range(available), sample_size)
        names = (self._live_names[index] for index in indexes)
        chosen = [name for name in names if name not in excluded]
        return [self._records[name] for name in chosen[:count]]

    def choose_listed(self, random, count):
        """Return up to `count` entries of the VM list in random order."""
        count = min(count, len(self._listed_names))
        names = random.sample(self._listed_names, count)
        return [self._listed[name] for name in names]

    def choose_absent(self, random):
        """Return the entry of a random listed VM that is not a live member.

        Returns None if there is none.
        """
        if not self._absent_names:
            return None
        return self._listed[random.choice(self._absent_names)]

    def records_in(self, buckets):
        """Return the records in `buckets`, or all if `buckets` is None."""
        if buckets is None:
            return list(self._records.values())
        return [
            record
            for name, record in self._records.items()
            if records.compute_bucket(name) in buckets
        ]

    def export_members(self):
        """Return the live members as `Member` tuples."""
        return [
            self._export_member(self._records[name])
            for name in self._live_names
        ]

    def store_record(self, record):
        """Store a record, replacing the member's previous one."""
        name = record.name
        previous = self._records.get(name)
        data_centre = sys.intern(record.data_centre)
        if data_centre is not record.data_centre:
            record = record._replace(data_centre=data_centre)
        if previous is not None and previous.status in _LIVE_STATUSES:
            self._toggle_digest(previous)
        if record.status in _LIVE_STATUSES:
            self._toggle_digest(record)
            _insert_name(self._live_names, self._live_positions, name)
            _remove_name(self._absent_names, self._absent_positions, name)
        else:
            _remove_name(self._live_names, self._live_positions, name)
            if name in self._listed:
                _insert_name(self._absent_names, self._absent_positions, name)
        self._records[name] = record
        self._revision += 1

    def remove_record(self, name):
        """Remove the record of a member that is not live."""
        if name not in self._live_positions:
            self._records.pop(name, None)

    def set_listed(self, vms, own_name):
        """Replace the platform's VM list.

        Parameters
        ----------
        vms : iterable of ListedVM
            The listed VMs.
        own_name : str
            Name of the node itself, which is excluded.
        """
        self._listed = {vm.name: vm for vm in vms if vm.name != own_name}
        self._listed_names = tuple(self._listed)
        self._absent_names = []
        self._absent_positions = {}
        for name in self._listed:
            if name not in self._live_positions:
                _insert_name(self._absent_names, self._absent_positions, name)

    def _export_member(self, record):
        state = records.STATUS_NAMES[record.status]
        listed = self._listed.get(record.name)
        if listed is not None and listed.state == 'leaving':
            state = 'leaving'
        return Member(
            record.name,
            record.address,
            record.data_centre,
            record.incarnation,
            state,
        )

    def _toggle_digest(self, record):
        bucket = records.compute_bucket(record.name)
        self._digests[bucket] ^= records.hash_record(record)


def _insert_name(names, positions, name):
    if name not in positions:
        positions[name] = len(names)
        names.append(name)


def _remove_name(names, positions, name):
    """Remove a name in constant time: the last name takes its position."""
    index = positions.pop(name, None)
    if index is None:
        return
    last = names.pop()
    if last != name:
        names[index] = last
        positions[last] = index
