import copy
import pathlib
import tempfile
import tomllib
import unittest

import tomli_w

from tools.vary_site import SHAPES
from tools.vary_site import write_site

CAPACITY = {
    'cpu_share': 0.7,
    'cores': 3,
    'memory_mb': 552,
    'fds': 8192,
    'link_mbps': 140.0,
}
SITE = {
    'name': 'small',
    'wire': 'wire.json',
    'zones': [{'name': 'a'}, {'name': 'b'}],
    'machines': [
        {'zone': 'a', 'count': 3, **CAPACITY},
        {'zone': 'b', 'count': 2, **CAPACITY, 'cpu_share': 0.5},
    ],
    'traffic': [{'zone': 'a', 'per_s': 9.0}, {'zone': 'b', 'per_s': 3.0}],
    'services': [
        {
            'name': 'portal',
            'copies': 4,
            'servers': [{'zone': 'a', 'count': 1}, {'zone': 'b', 'count': 1}],
            'conn_cap': 26,
        },
        {'name': 'desk', 'servers': [{'zone': 'a', 'count': 1}]},
    ],
    'net': {'cross_zone_ms': 0.5},
    'bounds': {'budget_ratio': 0.2},
}


class WriteSiteTest(unittest.TestCase):
    def test_each_shape_is_written_and_differs(self):
        # Guards against a shape that leaves the deployment unchanged.
        with tempfile.TemporaryDirectory() as name:
            directory = pathlib.Path(name)
            source = directory / 'small.toml'
            source.write_text(tomli_w.dumps(copy.deepcopy(SITE)))
            (directory / 'wire.json').write_text('{}')
            for shape in SHAPES:
                target = write_site(source, shape, directory / 'out')
                site = tomllib.loads(target.read_text())
                self.assertNotEqual(site, {**SITE, 'name': site['name']})
                self.assertEqual(site['services'][1], SITE['services'][1])
                self.assertTrue((target.parent / 'wire.json').exists())
