"""Seeded documents and the search that backend servers run over them."""

import functools
import random
import typing

import msgspec
import xxhash

DOCUMENTS_PER_SHARD = 200
WORDS_PER_DOCUMENT = 10

# One document in this many has another text in each snapshot.
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
    """Create the documents of a shard that is not part of a partition.

    Returns
    -------
    tuple of Document
        `weight` documents; the same arguments give the same documents.

    Examples
    --------
    >>> create_shard_documents(1, 'portal', 's1', 'a', 1)[0].id
    'portal-a-00000'
    """
    return _create_documents(seed, f'{group}-{shard}', snapshot, weight)


def create_group_documents(seed, group, snapshot, count):
    """Create the whole document set of a snapshot, to be partitioned."""
    return _create_documents(seed, group, snapshot, count)


def _create_documents(seed, prefix, snapshot, count):
    documents = []
    for index in range(count):
        name = f'{prefix}-{index:05d}'
        key = f'{seed}/{name}'
        if xxhash.xxh64_intdigest(key.encode()) % DOCUMENTS_PER_CHANGE == 0:
            key = f'{key}/{snapshot}'
        words = random.Random(key).choices(VOCABULARY, k=WORDS_PER_DOCUMENT)
        documents.append(Document(name, ' '.join([*words, snapshot])))
    return tuple(documents)


def partition_documents(documents, shard_count):
    """Partition documents by the hash of their ids.

    Returns
    -------
    tuple of tuple of Document
        One per shard, in shard order.

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
    """Plan the partition of a group's documents for a server spec.

    Returns
    -------
    list of dict
        ``{"name", "weight", "part": [index, shard_count], "documents":
        total}`` per shard. The weights are the same in every snapshot.

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


def compute_score(text, name):
    """Compute the score of document `name` for the query `text`.

    Examples
    --------
    >>> 0 <= compute_score('oakford', 'portal-a-00000') < 1000
    True
    """
    return xxhash.xxh32_intdigest(f'{text}/{name}'.encode()) % 1000


class ShardIndex:
    """Searches the documents of one shard of one snapshot."""

    def __init__(self, name, documents):
        self._name = name
        self._documents = {document.id: document for document in documents}
        self._postings = {}
        for document in documents:
            for word in document.text.split():
                self._postings.setdefault(word, set()).add(document.id)
        # The load generator repeats texts; an answer is a pure function of
        # its arguments, so its encoding is kept.
        self.encode_answer = functools.lru_cache(maxsize=512)(
            self._encode_uncached
        )

    def build_answer(self, kind, text, limit):
        """Answer one request.

        Parameters
        ----------
        kind : str
            ``search`` matches documents that contain all words of `text`;
            ``status`` and ``record`` look up the document with that id.
        text : str
            Words, or a document id.
        limit : int
            Hits returned at most.

        Returns
        -------
        dict
            ``{"shard", "total", "hits": [{"id", "score", "text"}]}``, hits
            ordered by descending score, then id.
        """
        names = self._find_matches(kind, text)
        ranked = sorted((-compute_score(text, name), name) for name in names)
        hits = [
            {'id': name, 'score': -score, 'text': self._documents[name].text}
            for score, name in ranked[:limit]
        ]
        return {'shard': self._name, 'total': len(names), 'hits': hits}

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
    """Return the index of a shard; replicas in a process share it.

    Parameters
    ----------
    part : tuple of int or None
        (index, shard count) of a partition of the group's `documents`
        documents; None for a shard of its own `weight` documents.
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
