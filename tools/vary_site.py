"""Writes a site file of another shape, to run days on an unseen deployment.

The bench's site files are not part of this repository. The tool applies a
shape to one of them::

    python tools/vary_site.py SITE.toml one-server DIRECTORY
"""

import pathlib
import shutil
import sys
import tomllib

import tomli_w

SPEEDS = [0.7, 1.0, 1.4]


def _list_sharded_services(site):
    """Return the services that each represent a shard."""
    return [service for service in site['services'] if 'copies' in service]


def use_one_server(site):
    """Reduce each shard to one server, so that no query can be hedged."""
    for service in _list_sharded_services(site):
        service['servers'] = [{**service['servers'][0], 'count': 1}]


def use_uneven_servers(site):
    """Give each shard three servers of uneven speed that report no load."""
    zones = [zone['name'] for zone in site['zones']]
    for service in _list_sharded_services(site):
        service['servers'] = [
            {'zone': zones[index % len(zones)], 'count': 1}
            for index in range(3)
        ]
        service['speeds'] = SPEEDS
        service['load_header'] = False


def use_few_connections(site):
    """Limit the connections to a server to fewer than there are nodes."""
    _limit_connections(site, 6)


def use_slow_links(site):
    """Set the network delay between data centres to 6 ms."""
    site['net']['cross_zone_ms'] = 6.0


def use_small_nodes(site):
    """Give all nodes the capacity of the smallest, so that none delegates."""
    machines = site['machines']
    smallest = min(machines, key=lambda machine: machine['cpu_share'])
    capacity = ('cpu_share', 'cores', 'memory_mb', 'fds', 'link_mbps')
    for machine in machines:
        machine.update({field: smallest[field] for field in capacity})


def use_narrow_links(site):
    """Limit the links of all nodes to 7 Mbit/s as played."""
    for machine in site['machines']:
        machine['link_mbps'] = 7.0 / site.get('thin', 1.0)


def use_small_budget(site):
    """Allow repeat attempts for 5 in 100 requests only."""
    site['bounds']['budget_ratio'] = 0.05


def use_limited_cold_servers(site):
    """Limit the requests that a cold server accepts to 6 a second."""
    for service in site['services']:
        service['cold_s'] = 4.0
        service['cold_per_s'] = 6.0


def use_medium_connections(site):
    """Limit the connections to a server of a shard to 25."""
    _limit_connections(site, 25)


def _limit_connections(site, limit):
    for service in _list_sharded_services(site):
        service['conn_cap'] = limit


def use_one_data_centre(site):
    """Move all machines, servers and callers to the first data centre."""
    first = site['zones'][0]['name']
    site['zones'] = site['zones'][:1]
    _move(site, first)


def use_five_data_centres(site):
    """Move the last machines and half of their callers to a new one."""
    source = site['zones'][-1]
    added = {**source, 'name': f'{source["name"]}-5'}
    site['zones'].append(added)
    for entries, field in _list_placed_entries(site):
        local = [e for e in entries if e['zone'] == source['name']]
        for entry in local:
            half = entry[field] / 2
            kept = half if field == 'per_s' else entry[field] // 2
            entries.append(
                {**entry, 'zone': added['name'], field: entry[field] - kept}
            )
            entry[field] = kept


def _list_placed_entries(site):
    """Return pairs of entries with a data centre and the field of amounts."""
    places = [(site['machines'], 'count'), (site['traffic'], 'per_s')]
    return places + [
        (day['traffic'], 'per_s')
        for day in site.get('day', ())
        if 'traffic' in day
    ]


def _move(value, data_centre):
    """Set the data centre of all entries in a value, at any depth."""
    if isinstance(value, dict):
        if isinstance(value.get('zone'), str):
            value['zone'] = data_centre
        for inner in value.values():
            _move(inner, data_centre)
    elif isinstance(value, list):
        for inner in value:
            _move(inner, data_centre)


def use_few_nodes(site):
    """Set the number of nodes to four."""
    _distribute_nodes(site, 4)


def use_many_nodes(site):
    """Set the number of nodes to fourteen."""
    _distribute_nodes(site, 14)


def _distribute_nodes(site, total):
    machines = site['machines']
    for index, machine in enumerate(machines):
        share = total // len(machines)
        machine['count'] = share + (index < total % len(machines))


SHAPES = {
    'one-server': use_one_server,
    'uneven-servers': use_uneven_servers,
    'cold-limits': use_limited_cold_servers,
    'few-connections': use_few_connections,
    'slow-links': use_slow_links,
    'small-nodes': use_small_nodes,
    'narrow-links': use_narrow_links,
    'small-budget': use_small_budget,
    'medium-connections': use_medium_connections,
    'one-data-centre': use_one_data_centre,
    'five-data-centres': use_five_data_centres,
    'four-nodes': use_few_nodes,
    'fourteen-nodes': use_many_nodes,
}


def write_site(source, shape, directory):
    """Write a site file of a shape and copy the file that it refers to.

    Parameters
    ----------
    source : pathlib.Path
        Site file of the bench.
    shape : str
        One of `SHAPES`.
    directory : pathlib.Path
        Directory of the new files, created if necessary.

    Returns
    -------
    pathlib.Path
        The site file.
    """
    site = tomllib.loads(source.read_text())
    SHAPES[shape](site)
    site['name'] = f'{site["name"]}-{shape}'
    directory.mkdir(parents=True, exist_ok=True)
    target = directory / f'{site["name"]}.toml'
    target.write_text(tomli_w.dumps(site))
    shutil.copy(source.parent / site['wire'], directory / site['wire'])
    return target


def main(arguments):
    """Write the site file for the arguments and print its path."""
    source, shape, directory = arguments
    print(write_site(pathlib.Path(source), shape, pathlib.Path(directory)))


if __name__ == '__main__':
    main(sys.argv[1:])
