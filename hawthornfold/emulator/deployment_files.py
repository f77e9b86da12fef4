"""Builds a deployment's configuration keys and its nodes' settings."""

import json

from hawthornfold.emulator import deployments


def build_group_document(
    deployment, group, addresses, snapshots=(deployments.FIRST_SNAPSHOT,)
):
    """Build the value of the key ``services/<group>``.

    Parameters
    ----------
    deployment : Deployment
        Supplies the data centres, which are assigned round-robin.
    group : GroupSpec
        Group of the deployment.
    addresses : dict
        ``host:port`` at which nodes reach each server, by server name.
    snapshots : tuple of str
        Names of the snapshots, oldest first.
    """
    servers = [
        {
            'name': name,
            'address': addresses[name],
            'data_centre': deployments.assign_data_centre(deployment, index),
            'slots': group.slots,
            'connections': group.connections,
        }
        for index, name in enumerate(deployments.server_names(group))
    ]
    return {
        'servers': servers,
        'snapshots': [
            deployments.build_layout(group, name) for name in snapshots
        ],
    }


def build_rules_document(deployment):
    """Build the value of the key ``rules``.

    Examples
    --------
    >>> len(build_rules_document(deployments.create_lipovec())['rules'])
    5
    """
    return {'default': None, 'rules': list(deployment.rules)}


def build_keys(deployment, addresses, snapshots=(deployments.FIRST_SNAPSHOT,)):
    """Return the text of every configuration key, by name."""
    keys = {'rules': json.dumps(build_rules_document(deployment))}
    for group in deployment.groups:
        document = build_group_document(
            deployment, group, addresses, snapshots
        )
        keys[f'services/{group.name}'] = json.dumps(document)
    return keys


def build_settings(deployment, index, ports, platform_port, keys=(), **extra):
    """Build a node's settings document (design 8.2).

    Parameters
    ----------
    deployment : Deployment
        Supplies the names of the cluster and the data centres.
    index : int
        Number of the node, from 0.
    ports : tuple of int
        Ports for callers, operators and peers.
    platform_port : int
        Port of the platform's configuration service.
    keys : sequence of tuple
        CURVE key pairs (public, secret) as z85 text; encryption is on when
        at least one is given.
    **extra
        Sections whose fields replace or extend the ones built here.

    Examples
    --------
    >>> settings = build_settings(deployments.create_small(), 0, (1, 2, 3), 4)
    >>> settings['node']['name'], settings['peers']['port']
    ('entry-1', 3)
    """
    callers, operators, peers = ports
    settings = {
        'cluster': deployment.name,
        'node': {
            'name': deployments.node_name(index),
            'data_centre': deployments.assign_data_centre(deployment, index),
            'host': '127.0.0.1',
        },
        'callers': {
            'port': callers,
            # All callers of an experiment connect from one address.
            'max_connections_per_address': 4096,
        },
        'operators': {'port': operators},
        'peers': {
            'port': peers,
            'encryption': bool(keys),
            'keys': [{'public': p, 'secret': s} for p, s in keys],
        },
        'platform': {'addresses': [f'127.0.0.1:{platform_port}']},
    }
    for section, values in extra.items():
        settings[section] = settings.get(section, {}) | values
    return settings
