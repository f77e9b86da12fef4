"""The member table: records, random choice, digests and the VM list."""

import sys

from hawthornfold.membership import records
from hawthornfold.membership.records import Member

_LIVE = (records.ALIVE, records.SUSPECT)


class MemberTable:
    """Records of all members but the node itself.

    Every operation but `records_in` and `export_members` takes constant
    time, whatever the size of the fleet.
    """

    def __init__(self):
        self._records = {}
        self._revision = 0
        self._live = []
        self._positions = {}
        self._digests = [0] * records.BUCKET_COUNT
        self._known = {}
        self._known_names = ()
        self._absent = []
        self._absent_positions = {}

    @property
    def revision(self):
        """Grows with every change of a record."""
        return self._revision

    @property
    def live_count(self):
        """Number of live members, the node itself not included."""
        return len(self._live)

    @property
    def record_count(self):
        """Number of records, those of removed members included."""
        return len(self._records)

    @property
    def absent_count(self):
        """Number of listed VMs that are not live members."""
        return len(self._absent)

    def get(self, name):
        """Return the record of a member, or None."""
        return self._records.get(name)

    def get_known(self, name):
        """Return the platform list's entry of a VM, or None."""
        return self._known.get(name)

    def is_live(self, name):
        """Return whether `name` is a live member, suspects included."""
        return name in self._positions

    def digests(self, own):
        """Return the digests of all buckets, 4 bytes each.

        `own` is the node's own record, which the table does not hold.
        """
        values = list(self._digests)
        values[records.bucket_of(own.name)] ^= records.hash_record(own)
        return b''.join(value.to_bytes(4, 'big') for value in values)

    def choose_live(self, random, count, without=()):
        """Return up to `count` different live records in random order."""
        available = len(self._live)
        wanted = min(available, count + len(without))
        indexes = random.sample(range(available), wanted)
        names = (self._live[index] for index in indexes)
        chosen = [name for name in names if name not in without]
        return [self._records[name] for name in chosen[:count]]

    def choose_known(self, random, count):
        """Return up to `count` entries of the VM list in random order."""
        count = min(count, len(self._known_names))
        names = random.sample(self._known_names, count)
        return [self._known[name] for name in names]

    def choose_absent(self, random):
        """Return the list entry of a random VM that is not a member."""
        if not self._absent:
            return None
        return self._known[random.choice(self._absent)]

    def records_in(self, buckets):
        """Return the records in `buckets`, or all if that is None."""
        if buckets is None:
            return list(self._records.values())
        return [
            record
            for name, record in self._records.items()
            if records.bucket_of(name) in buckets
        ]

    def export_members(self):
        """Return the live members as `Member` tuples."""
        return [self._export(self._records[name]) for name in self._live]

    def put(self, record):
        """Store a record in place of the member's previous one."""
        name = record.name
        previous = self._records.get(name)
        data_centre = sys.intern(record.data_centre)
        if data_centre is not record.data_centre:
            record = record._replace(data_centre=data_centre)
        if previous is not None and previous.status in _LIVE:
            self._toggle_digest(previous)
        if record.status in _LIVE:
            self._toggle_digest(record)
            _insert(self._live, self._positions, name)
            _remove(self._absent, self._absent_positions, name)
        else:
            _remove(self._live, self._positions, name)
            if name in self._known:
                _insert(self._absent, self._absent_positions, name)
        self._records[name] = record
        self._revision += 1

    def forget(self, name):
        """Drop the record of a removed member."""
        if name not in self._positions:
            self._records.pop(name, None)

    def set_known(self, vms, own_name):
        """Replace the platform's VM list.

        Parameters
        ----------
        vms : iterable of KnownVM
            The listed VMs.
        own_name : str
            Name of the node itself, which is left out.
        """
        self._known = {vm.name: vm for vm in vms if vm.name != own_name}
        self._known_names = tuple(self._known)
        self._absent = []
        self._absent_positions = {}
        for name in self._known:
            if name not in self._positions:
                _insert(self._absent, self._absent_positions, name)

    def _export(self, record):
        state = records.STATUS_NAMES[record.status]
        known = self._known.get(record.name)
        if known is not None and known.state == 'leaving':
            state = 'leaving'
        return Member(
            record.name,
            record.address,
            record.data_centre,
            record.incarnation,
            state,
        )

    def _toggle_digest(self, record):
        bucket = records.bucket_of(record.name)
        self._digests[bucket] ^= records.hash_record(record)


def _insert(names, positions, name):
    if name not in positions:
        positions[name] = len(names)
        names.append(name)


def _remove(names, positions, name):
    """Remove in constant time by moving the last name into the gap."""
    index = positions.pop(name, None)
    if index is None:
        return
    last = names.pop()
    if last != name:
        names[index] = last
        positions[last] = index
