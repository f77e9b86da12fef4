"""Answers pulls with deltas or full documents."""

from hawthornfold.configuration import deltas
from hawthornfold.configuration import messages

# Bytes of a delta message in addition to its payload: fields and frame.
DELTA_OVERHEAD_BYTES = 160


class DocumentServer:
    """Encodes the documents that a puller lacks, within a byte budget."""

    def __init__(self, store, budget, metrics, use_deltas):
        self._store = store
        self._budget = budget
        self._metrics = metrics
        self._use_deltas = use_deltas
        self._encoder = deltas.DeltaEncoder()

    def create_deltas(self, now_ms, want):
        """Return the documents that a `Want` asks for.

        Returns
        -------
        list of Delta
            When the newest document is refused, the one in force comes first.
        """
        entry = self._store.find_entry(want.key)
        if entry is None:
            return []
        records = []
        good = entry.in_force
        if good and good is not entry.newest and good.revision > want.good:
            records.append(good)
        if entry.newest.revision > want.revision:
            records.append(entry.newest)
        served = (self._create_delta(now_ms, want, x) for x in records)
        return [delta for delta in served if delta is not None]

    def _create_delta(self, now_ms, want, record):
        if record.value is None:
            return messages.Delta(
                want.key, record.revision, record.digest, -1, 0, None
            )
        base = None
        if self._use_deltas and want.digest:
            base = self._store.find_value(want.key, want.revision, want.digest)
        payload = None
        if base:
            payload = self._encoder.encode(record, want.digest, base)
        if payload is None or 2 * len(payload) > len(record.value):
            full = self._encoder.encode(record, 0, None)
            if payload is None or len(full) <= len(payload):
                base, payload = None, full
        size = len(payload) + DELTA_OVERHEAD_BYTES
        # Deltas are small, and the budgets of the pullers bound them. A full
        # document is declined while the budget is overdrawn; the puller
        # then asks another source.
        if base is None:
            if not self._budget.has_tokens(now_ms):
                self._metrics.count('configuration_pulls_declined')
                return None
            self._budget.spend(now_ms, size)
        self._metrics.count(
            'configuration_served_bytes',
            size,
            form='delta' if base else 'full',
        )
        return messages.Delta(
            want.key,
            record.revision,
            record.digest,
            want.revision if base else -1,
            want.digest if base else 0,
            payload,
        )
