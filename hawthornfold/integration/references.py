"""Reads reference answers from the backend servers, shard by shard.

The reference uses no part of the tier: it queries one replica of each shard
directly and merges the answers naively.
"""

import itertools

from hawthornfold.emulator import naive

REFERENCE_PREFIX = 'reference-'
_DEADLINE_MS = 5000


class ReferenceReader:
    """Reads and caches the answers of the shards of a snapshot."""

    def __init__(self, fleet, layouts):
        self._fleet = fleet
        self._layouts = layouts
        self._answers = {}
        self._numbers = itertools.count(1)

    def answer(self, query, snapshot, shards):
        """Return total and hits of the naive merge over `shards`."""
        answers = [
            self._read_shard_answer(query, snapshot, name) for name in shards
        ]
        return naive.merge_answers(answers, query.limit)

    def preload_answers(self, query, snapshot):
        """Cache the answers of all shards while the servers are up."""
        for shard in self._layouts[query.service, snapshot]:
            self._read_shard_answer(query, snapshot, shard)

    def shards(self, service, snapshot):
        """Return the shard names of a snapshot."""
        return tuple(self._layouts[service, snapshot])

    def replicas(self, service, snapshot, shard):
        """Return the names of the servers that hold a shard."""
        return self._layouts[service, snapshot][shard]['replicas']

    def weight(self, service, snapshot, shards):
        """Return the total weight of `shards`."""
        layout = self._layouts[service, snapshot]
        return sum(layout[name]['weight'] for name in shards)

    def _read_shard_answer(self, query, snapshot, shard):
        key = (query, snapshot, shard)
        if key not in self._answers:
            self._answers[key] = self._query_replicas(query, snapshot, shard)
        return self._answers[key]

    def _query_replicas(self, query, snapshot, shard):
        body = {
            'request_id': f'{REFERENCE_PREFIX}{next(self._numbers)}',
            'attempt': 1,
            'snapshot': snapshot,
            'deadline_ms': _DEADLINE_MS,
            'shards': [shard],
            'kind': query.kind,
            'text': query.text,
            'limit': query.limit,
        }
        for server in self.replicas(query.service, snapshot, shard):
            location = self._fleet.plan.servers[server]
            status, document = self._fleet.call(
                location.port, 'POST', '/v1/search', body
            )
            if status == 200:
                return document['answers'][0]
        raise LookupError(f'no replica of {shard} of {snapshot} answered')


def create_reference_reader(fleet, documents):
    """Create a reader from service group documents.

    Parameters
    ----------
    documents : dict of str to dict
        Service group documents by group name, as published.
    """
    layouts = {
        (group, snapshot['name']): {
            shard['name']: shard for shard in snapshot['shards']
        }
        for group, document in documents.items()
        for snapshot in document['snapshots']
    }
    return ReferenceReader(fleet, layouts)
