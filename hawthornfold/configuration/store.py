"""The configuration keys that a node holds, by revision.

For each key, the store holds the newest document received and the newest one
that its validator accepts. The latter is in force. They differ while the
newest one is refused. Nodes spread both, because a node that restarts in that
time can get the document in force only from its peers.
"""

import collections
import typing

import xxhash

from hawthornfold.codes import Failure
from hawthornfold.codes import ResultCode
from hawthornfold.codes import describe_failure

# Nodes compare one digest per bucket of keys, so that two nodes that differ in
# one key exchange the versions of a sixteenth of their keys.
BUCKETS = 16
# Superseded values are the bases of deltas for nodes that lag behind.
MAX_HISTORY_BYTES = 16 << 20
# Reported conflicts that are remembered, so that each is audited once.
MAX_CONFLICTS = 256


class Record(typing.NamedTuple):
    """One document; a `value` of None means that it is deleted."""

    revision: int
    value: bytes | None
    digest: int


class Entry(typing.NamedTuple):
    """The documents held for one key.

    Parameters
    ----------
    newest : Record
        The document with the highest revision received.
    in_force : Record or None
        The newest document that the validator accepts.
    parsed : object
        The object in force; None after a deletion.
    refusal : Failure or None
        Why `newest` is not in force.
    """

    newest: Record
    in_force: Record | None
    parsed: object
    refusal: Failure | None


class Change(typing.NamedTuple):
    """A change of an entry, as subscribers receive it."""

    key: str
    before: Entry | None
    after: Entry


def compute_digest(value):
    """Return the 64-bit digest of a value; 0 for a deletion.

    Examples
    --------
    >>> compute_digest(None)
    0
    """
    return 0 if value is None else xxhash.xxh3_64_intdigest(value)


def _find_bucket(key):
    return xxhash.xxh3_64_intdigest(key.encode()) % BUCKETS


def _hash_version(key, entry):
    good = entry.in_force.revision if entry.in_force else -1
    return xxhash.xxh3_64_intdigest(
        f'{key}\0{entry.newest.revision}\0{good}'.encode()
    )


def _describe(entry):
    """Return the revisions of an entry for the audit trail."""
    if entry is None:
        return 'none'
    held = f'revision {entry.newest.revision}'
    if entry.newest.value is None:
        return f'{held}, deleted'
    if entry.refusal is None:
        return held
    good = entry.in_force.revision if entry.in_force else 'none'
    return f'{held} refused, in force {good}'


class ConfigurationStore:
    """Applies documents in any order so that the highest revision wins."""

    def __init__(self, validators, audit, metrics):
        self._validators = tuple(validators)
        self._audit = audit
        self._metrics = metrics
        self._entries = {}
        self._buckets = [0] * BUCKETS
        self._bucket_keys = [set() for _ in range(BUCKETS)]
        self._history = collections.OrderedDict()
        self._history_bytes = 0
        self._conflicts = collections.OrderedDict()
        self._subscribers = []

    @property
    def keys(self):
        """Names of all keys held, deleted ones included, sorted."""
        return tuple(sorted(self._entries))

    @property
    def buckets(self):
        """Digest of the versions in each bucket."""
        return tuple(self._buckets)

    @property
    def digest(self):
        """Digest of all versions, never 0; equal for equal stores."""
        return xxhash.xxh3_64_intdigest(repr(self._buckets).encode()) or 1

    def find_entry(self, key):
        """Return the entry of `key`, or None."""
        return self._entries.get(key)

    def list_bucket_keys(self, index):
        """Return the names of the keys in one bucket, sorted."""
        return tuple(sorted(self._bucket_keys[index]))

    def find_value(self, key, revision, digest):
        """Return a value that is held or was superseded recently, or None."""
        entry = self._entries.get(key)
        if entry is None:
            return None
        for record in (entry.newest, entry.in_force):
            if record and (record.revision, record.digest) == (
                revision,
                digest,
            ):
                return record.value
        return self._history.get((key, revision, digest))

    def subscribe(self, callback):
        """Call ``callback(change)`` after each change of an entry."""
        self._subscribers.append(callback)

    def apply_document(self, key, revision, value, cause):
        """Apply one document.

        Parameters
        ----------
        key : str
            Name of the key.
        revision : int
            The platform's revision of the document.
        value : bytes or None
            The document; None deletes the key.
        cause : str
            Where the document came from, for the audit trail.
        """
        record = Record(revision, value, compute_digest(value))
        entry = self._entries.get(key)
        if entry is None or revision > entry.newest.revision:
            self._apply_newest(key, entry, record, cause)
        elif revision == entry.newest.revision:
            self.check_conflict(key, revision, record.digest, cause)
        elif entry.refusal and (
            entry.in_force is None or revision > entry.in_force.revision
        ):
            self._apply_older(key, entry, record, cause)
        else:
            self._count_ignored(ResultCode.REVISION_OLD)

    def check_conflict(self, key, revision, digest, cause):
        """Record a conflict if the revision held has another digest.

        The document held stays: any choice between the two is arbitrary, and
        this one never reverts the document in force.
        """
        entry = self._entries.get(key)
        if entry is None or entry.newest.revision != revision:
            return
        if entry.newest.digest == digest:
            return
        self._count_ignored(ResultCode.REVISION_CONFLICT)
        conflict = (key, revision, digest)
        if conflict in self._conflicts:
            return
        self._conflicts[conflict] = None
        if len(self._conflicts) > MAX_CONFLICTS:
            self._conflicts.popitem(last=False)
        self._audit.record(
            'configuration-conflict',
            key,
            f'revision {revision} digest {entry.newest.digest:016x}',
            f'revision {revision} digest {digest:016x}',
            f'{int(ResultCode.REVISION_CONFLICT)} from {cause}',
        )

    def _apply_newest(self, key, entry, record, cause):
        accepted, parsed, refusal = self._validate(key, record)
        if accepted:
            after = Entry(record, record, parsed, None)
        elif entry is None:
            after = Entry(record, None, None, refusal)
        else:
            after = Entry(record, entry.in_force, entry.parsed, refusal)
        self._replace(key, entry, after, cause)

    def _apply_older(self, key, entry, record, cause):
        """Put a document in force that is older than the refused newest."""
        accepted, parsed, _ = self._validate(key, record)
        if accepted:
            after = entry._replace(in_force=record, parsed=parsed)
            self._replace(key, entry, after, cause)
        else:
            self._count_ignored(ResultCode.REVISION_OLD)

    def _validate(self, key, record):
        if record.value is None:
            return True, None, None
        validate = next(
            (f for prefix, f in self._validators if key.startswith(prefix)),
            None,
        )
        if validate is None:
            return True, record.value, None
        try:
            outcome = validate(key, record.value)
        except Exception as error:  # noqa: BLE001
            # A fault in a validator must not stop the spread of other keys.
            self._metrics.count('configuration_validator_faults')
            detail = f'{type(error).__name__}: {error}'
            return False, None, Failure(ResultCode.INTERNAL, detail, key)
        if outcome.is_ok():
            return True, outcome.ok(), None
        failures = outcome.err()
        if isinstance(failures, Failure):
            return False, None, failures
        return False, None, failures[0]

    def _replace(self, key, before, after, cause):
        index = _find_bucket(key)
        if before is not None:
            self._buckets[index] ^= _hash_version(key, before)
            self._retain_superseded(key, before, after)
        self._buckets[index] ^= _hash_version(key, after)
        self._bucket_keys[index].add(key)
        self._entries[key] = after
        self._report_change(key, before, after, cause)

    def _retain_superseded(self, key, before, after):
        retained = (after.newest, after.in_force)
        for record in {before.newest, before.in_force} - {None}:
            version = (key, record.revision, record.digest)
            if (
                record.value is None
                or record in retained
                or version in self._history
            ):
                continue
            self._history[version] = record.value
            self._history_bytes += len(record.value)
        while self._history_bytes > MAX_HISTORY_BYTES:
            _, value = self._history.popitem(last=False)
            self._history_bytes -= len(value)

    def _report_change(self, key, before, after, cause):
        """Count and record a change, then call the subscribers."""
        kind = 'configuration'
        if after.refusal is not None and after.newest != (
            before and before.newest
        ):
            kind = 'configuration-refused'
            cause = f'{describe_failure(after.refusal)}; from {cause}'
        self._metrics.count('configuration_documents', kind=kind)
        self._audit.record(
            kind, key, _describe(before), _describe(after), cause
        )
        for callback in tuple(self._subscribers):
            callback(Change(key, before, after))

    def _count_ignored(self, code):
        self._metrics.count('configuration_ignored', code=int(code))


def create_configuration_store(validators, audit, metrics):
    """Create an empty store.

    Parameters
    ----------
    validators : iterable of (str, callable)
        Key prefix and ``function(name, bytes) -> Result``; the first prefix
        that matches applies. The object of a key without one is its bytes.
    audit : AuditTrail
        Receives accepted, refused and conflicting documents.
    metrics : Metrics
        Receives counters.
    """
    return ConfigurationStore(validators, audit, metrics)
