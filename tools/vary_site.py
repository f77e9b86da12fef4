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
    for service in _list_sharded_services(site):
        service['conn_cap'] = 6


def use_slow_links(site):
    """Set the network delay between data centres to 6 ms."""
    site['net']['cross_zone_ms'] = 6.0


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
    'few-connections': use_few_connections,
    'slow-links': use_slow_links,
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
