import itertools
import unittest

from hypothesis import given
from hypothesis import strategies as st
import result

from hawthornfold.codes import Failure
from hawthornfold.codes import ResultCode
from hawthornfold.configuration import create_configuration_store
from hawthornfold.configuration import deltas
from hawthornfold.configuration import store as stores
from hawthornfold.configuration.simulation import CountingMetrics
from hawthornfold.configuration.simulation import ListAudit


def validate(name, value):
    """Refuse documents that start with ``bad``; raise for ``fault``."""
    if value.startswith(b'fault'):
        raise ValueError('fault in a validator')
    if value.startswith(b'bad'):
        return result.Err([Failure(ResultCode.FIELD_TYPE, 'bad', name)])
    return result.Ok(value.decode())


def create_store():
    metrics = CountingMetrics()
    audit = ListAudit()
    store = create_configuration_store([('rules', validate)], audit, metrics)
    return store, audit, metrics


class StoreTest(unittest.TestCase):
    @given(st.lists(st.booleans(), min_size=1, max_size=7), st.randoms())
    def test_order_of_arrival_does_not_matter(self, accepted, random):
        # Guards against nodes that end with different documents because
        # they received the same ones in different orders (P8).
        documents = [
            (revision, f'{"ok" if good else "bad"} {revision}'.encode())
            for revision, good in enumerate(accepted, 1)
        ]
        newest = len(documents)
        good = max((r for r, ok in enumerate(accepted, 1) if ok), default=None)
        shuffled = list(documents)
        random.shuffle(shuffled)
        store, _, _ = create_store()
        held = []
        store.subscribe(lambda change: held.append(change.after))
        for revision, value in shuffled:
            store.apply_document('rules', revision, value, 'test')
        entry = store.find_entry('rules')
        self.assertEqual(newest, entry.newest.revision)
        parsed = f'ok {good}' if good else None
        self.assertEqual(parsed, entry.parsed)
        self.assertEqual(good, entry.in_force and entry.in_force.revision)
        ordered, _, _ = create_store()
        for revision, value in documents:
            ordered.apply_document('rules', revision, value, 'test')
        self.assertEqual(ordered.digest, store.digest)
        revisions = [
            (x.newest.revision, x.in_force.revision if x.in_force else 0)
            for x in held
        ]
        for before, after in itertools.pairwise(revisions):
            self.assertLessEqual(before[0], after[0])
            self.assertLessEqual(before[1], after[1])

    def test_old_revision_is_ignored_and_counted(self):
        # Guards against a stale platform replica that reverts a change.
        store, audit, metrics = create_store()
        store.apply_document('rules', 5, b'ok', 'test')
        store.apply_document('rules', 4, b'older', 'test')
        self.assertEqual('ok', store.find_entry('rules').parsed)
        self.assertEqual(1, metrics.counts['configuration_ignored', 703])
        self.assertEqual(1, len(audit.entries))

    def test_conflict_keeps_the_document_held(self):
        # Guards against two contents of one revision that replace each
        # other again and again, and that flood the audit trail.
        store, audit, metrics = create_store()
        store.apply_document('rules', 5, b'ok', 'test')
        for _ in range(3):
            store.apply_document('rules', 5, b'other', 'test')
        self.assertEqual('ok', store.find_entry('rules').parsed)
        self.assertEqual(3, metrics.counts['configuration_ignored', 704])
        kinds = [entry[0] for entry in audit.entries]
        self.assertEqual(['configuration', 'configuration-conflict'], kinds)

    def test_refused_document_is_visible(self):
        # Guards against a refusal that operators cannot see, and against an
        # exception in a validator that stops the spread of other keys.
        store, audit, _ = create_store()
        store.apply_document('rules', 1, b'ok', 'test')
        store.apply_document('rules', 2, b'bad', 'test')
        entry = store.find_entry('rules')
        self.assertEqual(ResultCode.FIELD_TYPE, entry.refusal.code)
        self.assertEqual((2, 1), (entry.newest.revision, 1))
        self.assertEqual('ok', entry.parsed)
        self.assertIn('202 FIELD_TYPE', audit.entries[-1][4])
        store.apply_document('rules', 3, b'fault', 'test')
        refusal = store.find_entry('rules').refusal
        self.assertEqual(ResultCode.INTERNAL, refusal.code)
        self.assertEqual('ok', store.find_entry('rules').parsed)

    def test_deleted_key_stays_deleted(self):
        # Guards against an old document that replaces a later deletion.
        store, _, _ = create_store()
        store.apply_document('rules', 1, b'ok', 'test')
        store.apply_document('rules', 3, None, 'test')
        store.apply_document('rules', 2, b'ok again', 'test')
        self.assertIsNone(store.find_entry('rules').parsed)
        self.assertEqual(3, store.find_entry('rules').in_force.revision)

    def test_history_is_bounded(self):
        # Guards against superseded documents that exhaust the memory.
        store, _, _ = create_store()
        value = bytes(stores.MAX_HISTORY_BYTES // 4)
        digest = stores.compute_digest(value + b'1')
        for revision in range(1, 8):
            text = value + str(revision).encode()
            store.apply_document('big', revision, text, 'test')
        self.assertIsNone(store.find_value('big', 1, digest))
        digest = stores.compute_digest(value + b'6')
        self.assertIsNotNone(store.find_value('big', 6, digest))


class DeltaTest(unittest.TestCase):
    @given(st.binary(max_size=4096), st.binary(max_size=4096))
    def test_round_trip(self, value, base):
        # Guards against documents that compression alters.
        frame = deltas.encode_document(value, base)
        self.assertEqual(value, deltas.decode_document(frame, base).ok())

    @given(st.binary(max_size=256), st.none() | st.binary(max_size=64))
    def test_any_frame_is_decoded_or_refused_without_exception(
        self, payload, base
    ):
        # Guards against a malformed frame that raises in the receiver.
        outcome = deltas.decode_document(payload, base)
        if outcome.is_err():
            self.assertEqual(ResultCode.PEER_BAD_MESSAGE, outcome.err().code)

    def test_large_frame_is_refused_before_it_is_expanded(self):
        # Guards against a small frame that expands and exhausts the memory.
        frame = deltas.encode_document(bytes((1 << 20) + 1), None)
        self.assertTrue(deltas.decode_document(frame, None).is_err())
