"""Generates documents from a seed and searches them for backend servers."""

import functools
import random
import typing

import msgspec
import xxhash

DOCUMENTS_PER_SHARD = 200
WORDS_PER_DOCUMENT = 10

# On average, one document in this number has a different text in each
# snapshot; the others differ only in the snapshot name at the end.
DOCUMENTS_PER_CHANGE = 8

_WORD_BEGINNINGS = (
    'oak',
    'ash',
    'elm',
    'birch',
    'stone',
    'mill',
    'clay',
    'iron',
    'salt',
    'river',
    'lake',
    'marsh',
    'hill',
    'north',
    'south',
    'west',
)
_WORD_ENDINGS = (
    'bridge',
    'ford',
    'field',
    'wood',
    'gate',
    'well',
    'market',
    'mouth',
    'moor',
    'side',
    'tower',
    'yard',
    'lane',
    'port',
    'church',
    'dale',
)
VOCABULARY = tuple(
    first + second for first in _WORD_BEGINNINGS for second in _WORD_ENDINGS
)


class Document(typing.NamedTuple):
    """A document; its text ends with the name of its snapshot."""

    id: str
    text: str


def create_shard_documents(seed, group, snapshot, shard, weight):
    """Create the documents of a shard that has its own documents.

    The shards of a partition share those of `create_group_documents`.

    Returns
    -------
    tuple of Document
        `weight` documents. Equal arguments give equal documents.

    Examples
    --------
    >>> create_shard_documents(1, 'portal', 's1', 'a', 1)[0].id
    'portal-a-00000'
    """
    return _create_documents(seed, f'{group}-{shard}', snapshot, weight)


def create_group_documents(seed, group, snapshot, count):
    """Create the `count` documents of a snapshot that shards partition."""
    return _create_documents(seed, group, snapshot, count)


def _create_documents(seed, prefix, snapshot, count):
    documents = []
    for index in range(count):
        document_id = f'{prefix}-{index:05d}'
        key = f'{seed}/{document_id}'
        if xxhash.xxh64_intdigest(key.encode()) % DOCUMENTS_PER_CHANGE == 0:
            key = f'{key}/{snapshot}'
        words = random.Random(key).choices(VOCABULARY, k=WORDS_PER_DOCUMENT)
        documents.append(Document(document_id, ' '.join([*words, snapshot])))
    return tuple(documents)


def partition_documents(documents, shard_count):
    """Partition documents by the hash of their ids.

    Returns
    -------
    tuple of tuple of Document
        The documents of each shard, in shard order.

    Examples
    --------
    >>> documents = create_group_documents(1, 'portal', 's1', 10)
    >>> parts = partition_documents(documents, 3)
    >>> sorted(doc for part in parts for doc in part) == sorted(documents)
    True
    """
    parts = tuple([] for _ in range(shard_count))
    for document in documents:
        digest = xxhash.xxh64_intdigest(document.id.encode())
        parts[digest % shard_count].append(document)
    return tuple(tuple(part) for part in parts)


def plan_shards(seed, group, total, shard_count):
    """Return the shard specs that partition a group's documents.

    Returns
    -------
    list of dict
        ``{"name", "weight", "part": [index, shard_count], "documents":
        total}`` per shard, as `server_spec.ShardSpec` reads them. The
        weights are the same in every snapshot.

    Examples
    --------
    >>> plan = plan_shards(1, 'portal', 100, 4)
    >>> sum(shard['weight'] for shard in plan)
    100
    """
    documents = create_group_documents(seed, group, '', total)
    parts = partition_documents(documents, shard_count)
    return [
        {
            'name': f'{group}-{shard_count}-{index}',
            'weight': len(part),
            'part': [index, shard_count],
            'documents': total,
        }
        for index, part in enumerate(parts)
    ]


def compute_score(text, document_id):
    """Return the score of document `document_id` for the query `text`.

    Examples
    --------
    >>> 0 <= compute_score('oakford', 'portal-a-00000') < 1000
    True
    """
    return xxhash.xxh32_intdigest(f'{text}/{document_id}'.encode()) % 1000


class ShardIndex:
    """Searches the documents of one shard of one snapshot."""

    def __init__(self, name, documents):
        self._name = name
        self._documents = {document.id: document for document in documents}
        self._postings = {}
        for document in documents:
            for word in document.text.split():
                self._postings.setdefault(word, set()).add(document.id)
        # The load generator repeats texts, and an answer depends only on the
        # arguments, so encoded answers are cached.
        self.encode_answer = functools.lru_cache(maxsize=512)(
            self._encode_uncached
        )

    def build_answer(self, kind, text, limit):
        """Return the answer to one request.

        Parameters
        ----------
        kind : str
            ``search`` finds the documents that contain all words of `text`;
            ``status`` and ``record`` look up the document whose id is `text`.
        text : str
            Words separated by spaces, or a document id.
        limit : int
            Maximum number of hits.

        Returns
        -------
        dict
            ``{"shard", "total", "hits": [{"id", "score", "text"}]}``. The
            hits are ordered by descending score, then by id.
        """
        document_ids = self._find_matches(kind, text)
        ranked = sorted(
            (-compute_score(text, document_id), document_id)
            for document_id in document_ids
        )
        hits = [
            {
                'id': document_id,
                'score': -score,
                'text': self._documents[document_id].text,
            }
            for score, document_id in ranked[:limit]
        ]
        return {'shard': self._name, 'total': len(document_ids), 'hits': hits}

    def _find_matches(self, kind, text):
        if kind != 'search':
            return {text} & self._documents.keys()
        words = text.split()
        if not words:
            return set()
        found = [self._postings.get(word, set()) for word in words]
        return set.intersection(*found)

    def _encode_uncached(self, kind, text, limit):
        return msgspec.Raw(
            msgspec.json.encode(self.build_answer(kind, text, limit))
        )


@functools.lru_cache(maxsize=4096)
def load_shard(seed, group, snapshot, shard, weight, part, documents):
    """Return the `ShardIndex` of a shard; replicas in a process share it.

    Parameters
    ----------
    part : tuple of int or None
        Index of the shard and number of shards, where shards partition the
        documents of the group; None for a shard with its own `weight`
        documents.
    documents : int
        Number of documents of the group; unused if `part` is None.
    """
    if part is None:
        selected = create_shard_documents(seed, group, snapshot, shard, weight)
    else:
        selected = _load_partition(seed, group, snapshot, documents, part[1])
        selected = selected[part[0]]
    return ShardIndex(shard, selected)


@functools.lru_cache(maxsize=64)
def _load_partition(seed, group, snapshot, documents, shard_count):
    return partition_documents(
        create_group_documents(seed, group, snapshot, documents), shard_count
    )
