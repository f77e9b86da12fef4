"""Request mix of each deployment and the rate that it can serve."""

import random

from hawthornfold.emulator import corpus
from hawthornfold.emulator import deployments
from hawthornfold.emulator import load

_TEXTS_PER_KIND = 64

# Share, rule, kind and caller class of the requests, by deployment. When the
# whole mix is offered at 1.5 times the capacity, urgent requests on their own
# stay below the capacity of their group.
_MIX_SHARES = {
    'lipovec': (
        (0.35, 'ballot-status', 'status', 'resident'),
        (0.10, 'proposal-search', 'search', 'resident'),
        (0.35, 'results', 'search', 'press'),
        (0.12, 'clerk-records', 'record', 'clerk'),
        (0.08, 'notifications', 'search', 'service'),
    ),
    'monterrey': (
        (0.45, 'approvals', 'status', 'resident'),
        (0.35, 'briefs', 'search', 'staff'),
        (0.08, 'payout-lookup', 'record', 'clerk'),
        (0.12, 'ward-reads', 'record', 'staff'),
    ),
    'small': (
        (0.35, 'ballot-status', 'status', 'resident'),
        (0.40, 'proposal-search', 'search', 'resident'),
        (0.15, 'clerk-records', 'record', 'clerk'),
        (0.10, 'payout-lookup', 'record', 'clerk'),
    ),
}


def build_mix(deployment):
    """Build the mix of requests of a deployment.

    Returns
    -------
    tuple of QueryKind
        One per rule, with the deadline and coverage of that rule.

    Examples
    --------
    >>> mix = build_mix(deployments.create_small())
    >>> [(kind.service, kind.urgency) for kind in mix][:2]
    [('voter-portal', 'urgent'), ('voter-portal', 'ordinary')]
    """
    rules_by_name = {rule['name']: rule for rule in deployment.rules}
    return tuple(
        load.QueryKind(
            rules_by_name[name]['when']['service'],
            kind,
            caller_class,
            _draw_texts(
                deployment.find_group(rules_by_name[name]['when']['service']),
                kind,
            ),
            share,
            rules_by_name[name]['then']['urgency'],
            rules_by_name[name]['then']['deadline_ms'],
            rules_by_name[name]['then']['coverage_percent'],
        )
        for share, name, kind, caller_class in _MIX_SHARES[deployment.name]
    )


def _draw_texts(group, kind):
    """Draw words to search for, or ids of existing documents."""
    generator = random.Random(f'texts {group.name} {kind}')
    if kind == 'search':
        return tuple(generator.sample(corpus.VOCABULARY, _TEXTS_PER_KIND))
    shards = deployments.build_layout(group)['shards']
    return tuple(
        f'{group.name}-{shard["name"]}-{generator.randrange(shard["weight"]):05d}'
        for shard in generator.choices(shards, k=_TEXTS_PER_KIND)
    )


def compute_capacity(deployment, mix):
    """Return the lowest rate of the mix that keeps all slots of a group busy.

    Parameters
    ----------
    deployment : Deployment
        Supplies servers, slots and mean service times.
    mix : sequence of QueryKind
        Kinds of requests; each queries every shard of its group once.

    Returns
    -------
    float
        Requests per second.

    Examples
    --------
    >>> small = deployments.create_small()
    >>> round(compute_capacity(small, build_mix(small)))
    267
    """
    total = sum(kind.weight for kind in mix)
    rates = []
    for group in deployment.groups:
        share = sum(k.weight for k in mix if k.service == group.name) / total
        slots = group.servers * group.slots
        queries = slots * 1000.0 / group.service_ms / group.shards
        if share:
            rates.append(queries / share)
    return min(rates)
