"""Reads and samples the revisions that nodes have in force."""

import contextlib
import functools

from hawthornfold.integration import waiting
from hawthornfold.integration.callers import read_operator_page
from hawthornfold.integration.threads import run_threads

_POLL_INTERVAL_S = 0.05


def read_configuration(fleet, node):
    """Return the configuration part of a node's status.

    Returns None when the node does not answer.
    """
    status = read_operator_page(fleet, node, 'status')
    return None if status is None else status['configuration']


def read_revision(fleet, node, key='rules'):
    """Return the revision of a key in force; 0 while the node is not ready."""
    configuration = read_configuration(fleet, node)
    if configuration is None or not configuration['is_ready']:
        return 0
    return configuration['revisions'].get(key, 0)


def wait_until_in_force(fleet, revision, nodes=None, key='rules'):
    """Wait until the nodes (all by default) have a revision in force."""
    for node in nodes or fleet.nodes:
        waiting.wait_for(
            lambda node=node: read_revision(fleet, node, key) >= revision,
            f'revision {revision} of {key} at {node}',
        )


def list_watchers(fleet):
    """Return the names of the nodes that watch the platform."""
    configurations = {
        name: read_configuration(fleet, name) for name in fleet.nodes
    }
    return [
        name for name in configurations if configurations[name]['is_watcher']
    ]


def extend_rules(rules):
    """Return the rules and one more that matches no query of a trial.

    Examples
    --------
    >>> [rule['name'] for rule in extend_rules([{'name': 'a', 'then': {}}])]
    ['a', 'added-1']
    """
    name = f'added-{len(rules)}'
    when = {'service': f'service-{name}'}
    return [*rules, {'name': name, 'when': when, 'then': rules[0]['then']}]


class RevisionSampler:
    """Samples every node and records decreases of a revision in force.

    A node that is not ready serves no requests, so its configuration is not
    in force and is not sampled.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._highest = {}
        self._decreases = []
        self._samples = dict.fromkeys(fleet.nodes, 0)

    @property
    def decreases(self):
        """List of tuples: node, key, highest earlier revision, revision."""
        return list(self._decreases)

    @property
    def samples(self):
        """Number of samples by node."""
        return dict(self._samples)

    def sample_node(self, node, stop_event):
        """Sample a node until `stop_event` is set."""
        while not stop_event.wait(_POLL_INTERVAL_S):
            configuration = read_configuration(self._fleet, node)
            if configuration is not None and configuration['is_ready']:
                self._samples[node] += 1
                self._record_revisions(node, configuration['revisions'])

    def _record_revisions(self, node, revisions):
        known_keys = {key for name, key in self._highest if name == node}
        for key in known_keys | set(revisions):
            highest = self._highest.get((node, key), 0)
            revision = revisions.get(key, 0)
            if revision < highest:
                self._decreases.append((node, key, highest, revision))
            self._highest[node, key] = max(highest, revision)


@contextlib.contextmanager
def open_sampler(fleet):
    """Sample all nodes while the context is active.

    Yields
    ------
    RevisionSampler
    """
    sampler = RevisionSampler(fleet)
    functions = [
        functools.partial(sampler.sample_node, name) for name in fleet.nodes
    ]
    with run_threads(functions):
        yield sampler
