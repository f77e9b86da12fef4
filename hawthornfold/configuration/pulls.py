"""Schedules pulls of the documents that this node lacks."""

import typing

from hawthornfold.configuration import messages

# An unanswered pull is sent to the next source after this time, which allows
# several round trips between regions. With 1,500 ms a node that lost three in
# ten messages missed the 12 s within which a change must be in force.
PULL_TIMEOUT_MS = 600.0
# Pulls sent for a document before it is abandoned. The next comparison of
# digests schedules it again.
MAX_ATTEMPTS = 20
MAX_SOURCES = 4
# Documents pulled at the same time; 32 of 1 MB fit the queue of a link.
MAX_OUTSTANDING = 32
# Bounds the keys that a faulty peer can make a node store. No fleet has as
# many.
MAX_KEYS = 10_000


class _PendingDocument(typing.NamedTuple):
    """A document that a peer announced and this node lacks."""

    revision: int
    good: int
    sources: tuple[tuple[str, str], ...]
    sent_ms: float | None = None
    attempts: int = 0
    in_full: bool = False


class PullScheduler:
    """Pulls each missing document from one source at a time."""

    def __init__(self, store, metrics):
        self._store = store
        self._metrics = metrics
        self._pending = {}
        # Revisions that are in force on peers and refused by this node.
        # Nodes with different program versions may disagree; without this
        # record they would pull the document at every comparison.
        self._refused_good = {}

    def __len__(self):
        return len(self._pending)

    def is_storable(self, key):
        """Return True when the store may hold the key."""
        if not 0 < len(key) <= messages.MAX_KEY_LENGTH:
            return False
        return self._store.find_entry(key) is not None or (
            len(self._store.keys) < MAX_KEYS
        )

    def schedule_if_missing(self, version, source):
        """Schedule a pull if `version` is newer than what is held.

        Parameters
        ----------
        version : Version
            Revisions that the source holds.
        source : (str, str)
            Name and address of the source.
        """
        key = version.key
        if not self._is_missing(key, version.revision, version.good):
            self._store.check_conflict(
                key, version.revision, version.digest, f'peer {source[0]}'
            )
            return
        if not self.is_storable(key):
            self._metrics.count('configuration_keys_dropped')
            return
        pending = self._pending.get(key)
        if pending is None:
            if len(self._pending) < MAX_KEYS:
                self._pending[key] = _PendingDocument(
                    version.revision, version.good, (source,)
                )
            return
        wanted = (version.revision, version.good)
        if wanted > (pending.revision, pending.good):
            # Sources of an earlier revision may not hold this one.
            self._pending[key] = pending._replace(
                revision=version.revision,
                good=max(version.good, pending.good),
                sources=(source,),
                attempts=0,
            )
        elif (
            wanted == (pending.revision, pending.good)
            and source not in pending.sources
            and len(pending.sources) < MAX_SOURCES
        ):
            sources = (*pending.sources, source)
            self._pending[key] = pending._replace(sources=sources)

    def collect_due_pulls(self, now_ms):
        """Return the pulls that are due and mark them as sent.

        Returns
        -------
        list of Message
            At most one `Pull` for each source.
        """
        wants = {}
        outstanding = 0
        for key, pending in list(self._pending.items()):
            if outstanding >= MAX_OUTSTANDING:
                break
            outstanding += 1
            sent_ms = pending.sent_ms
            if sent_ms is not None and now_ms - sent_ms < PULL_TIMEOUT_MS:
                continue
            if pending.attempts >= MAX_ATTEMPTS:
                del self._pending[key]
                self._metrics.count('configuration_pulls_abandoned')
                continue
            source = pending.sources[pending.attempts % len(pending.sources)]
            self._pending[key] = pending._replace(
                sent_ms=now_ms, attempts=pending.attempts + 1
            )
            wants.setdefault(source, []).append(self._create_want(key))
        return [
            messages.Message(*source, messages.Pull(tuple(listed)))
            for source, listed in wants.items()
        ]

    def retry_in_full(self, key):
        """Schedule a pull of `key` in full; its delta could not be applied."""
        pending = self._pending.get(key)
        if pending is not None:
            self._pending[key] = pending._replace(sent_ms=None, in_full=True)

    def record_arrival(self, key, revision):
        """Update the pending document of `key` after one was stored."""
        pending = self._pending.get(key)
        if pending is None:
            return
        entry = self._store.find_entry(key)
        good = entry.in_force.revision if entry.in_force else -1
        if revision == pending.good and good < revision:
            self._refused_good[key] = revision
        if not self._is_missing(key, pending.revision, pending.good):
            del self._pending[key]
        elif revision >= pending.revision:
            # The document in force follows in a separate message.
            return
        else:
            self._pending[key] = pending._replace(sent_ms=None)

    def discard_if_held(self, key):
        """Remove the pending document of `key` if the store now holds it."""
        pending = self._pending.get(key)
        if pending and not self._is_missing(
            key, pending.revision, pending.good
        ):
            del self._pending[key]

    def _is_missing(self, key, revision, good):
        entry = self._store.find_entry(key)
        if entry is None or revision > entry.newest.revision:
            return True
        held = entry.in_force.revision if entry.in_force else -1
        return (
            good > held
            and good < entry.newest.revision
            and good > self._refused_good.get(key, -1)
        )

    def _create_want(self, key):
        entry = self._store.find_entry(key)
        if entry is None:
            return messages.Want(key, -1, 0, -1)
        good = entry.in_force.revision if entry.in_force else -1
        newest = entry.newest
        digest = 0 if self._pending[key].in_full else newest.digest
        return messages.Want(key, newest.revision, digest, good)
