"""Generates indexes and executes queries over them without processes."""

import typing

from hawthornfold.backends import Hit
from hawthornfold.backends import ShardAnswer
from hawthornfold.emulator import corpus
from hawthornfold.emulator import naive
from hawthornfold.hedging import create_extra_load_budget
from hawthornfold.hedging import create_hedge_delay_estimator
from hawthornfold.queries import create_query_execution
from hawthornfold.queries.targets import create_target_chooser
from hawthornfold.routing import create_rendezvous_policy
from hawthornfold.routing import create_replica_ranker
from hawthornfold.rules import Decision
from hawthornfold.snapshots import BackendServer
from hawthornfold.snapshots import Layout
from hawthornfold.snapshots import ServiceGroup
from hawthornfold.snapshots import Shard

GROUP = 'group'
SNAPSHOTS = ('s1', 's2')
OWNERS = ('n1', 'n2', 'n3')
DEADLINE_MS = 100
_DATA_CENTRE = 'dc'


class _Member(typing.NamedTuple):
    name: str
    data_centre: str


class GeneratedIndex:
    """Two snapshots of a corpus, each partitioned into shards on its own.

    Parameters
    ----------
    servers : tuple of str
        Names of the servers.
    layouts : dict of str to Layout
        The layout of each snapshot.
    shards : dict
        The `corpus.ShardIndex` by snapshot and shard name.
    """

    def __init__(self, servers, layouts, shards):
        self._servers = servers
        self._layouts = layouts
        self._shards = shards

    @property
    def servers(self):
        """Tuple of server names."""
        return self._servers

    def weights(self, snapshot):
        """Return the shard weights of a snapshot, by shard name."""
        return {s.name: s.weight for s in self._layouts[snapshot].shards}

    def build_group(self):
        """Build the service group."""
        servers = {
            name: BackendServer(name, '127.0.0.1:1', _DATA_CENTRE, 2, 25)
            for name in self._servers
        }
        return ServiceGroup(GROUP, servers, tuple(self._layouts.values()))

    def build_answer(self, snapshot, shard, query):
        """Return the answer of a shard of a snapshot, as a document."""
        return self._shards[snapshot, shard].build_answer(
            query.kind, query.text, query.limit
        )

    def merge_naively(self, snapshot, names, query):
        """Return total and hits of the naive merge over the shards `names`."""
        return naive.merge_answers(
            [self.build_answer(snapshot, name, query) for name in names],
            query.limit,
        )


def create_index(seed, documents, counts, server_count, replicas):
    """Generate an index.

    Parameters
    ----------
    seed : int
        Seed of the documents.
    documents : int
        Number of documents.
    counts : tuple of int
        Number of shards in each snapshot.
    server_count : int
        Number of servers.
    replicas : int
        Number of servers of each shard, at most `server_count`.

    Examples
    --------
    >>> index = create_index(1, 20, (2, 3), 2, 2)
    >>> sum(index.weights('s2').values())
    20
    """
    servers = tuple(f'server-{i}' for i in range(server_count))
    layouts = {}
    shards = {}
    for snapshot, count in zip(SNAPSHOTS, counts, strict=True):
        plan = corpus.plan_shards(seed, GROUP, documents, count)
        layouts[snapshot] = Layout(
            snapshot,
            tuple(
                Shard(
                    shard['name'],
                    shard['weight'],
                    _list_replicas(servers, index, replicas),
                )
                for index, shard in enumerate(plan)
            ),
        )
        for shard in plan:
            shards[snapshot, shard['name']] = corpus.load_shard(
                seed,
                GROUP,
                snapshot,
                shard['name'],
                shard['weight'],
                tuple(shard['part']),
                documents,
            )
    return GeneratedIndex(servers, layouts, shards)


def _list_replicas(servers, index, count):
    return tuple(
        servers[(index + step) % len(servers)]
        for step in range(min(count, len(servers)))
    )


def decode_answer(document):
    """Convert the answer document of a shard to a `ShardAnswer`."""
    return ShardAnswer(
        document['shard'],
        document['total'],
        tuple(Hit(**hit) for hit in document['hits']),
    )


def create_execution(index, query, idempotent, selector):
    """Create the execution of a query over an index, at 0 ms."""
    policy = create_rendezvous_policy()
    policy.update_members([_Member(name, _DATA_CENTRE) for name in OWNERS])
    group = index.build_group()
    decision = Decision(
        rule='r',
        urgency=0,
        deadline_ms=DEADLINE_MS,
        idempotent=idempotent,
        coverage_percent=100,
        below_coverage='partial',
        hedge=idempotent,
        max_retries=1 if idempotent else 0,
        extra_load_percent=5,
        snapshot_policy='restart',
    )
    return create_query_execution(
        query,
        decision,
        group,
        selector,
        create_target_chooser(
            group, selector, create_replica_ranker(1), policy, 0.0
        ),
        create_extra_load_budget(initial=20.0),
        create_hedge_delay_estimator(),
        0.0,
    )
