import copy
import pathlib
import tempfile
import tomllib
import unittest

import tomli_w

from tools.vary_site import SHAPES
from tools.vary_site import write_site

SITE = {
    'name': 'small',
    'wire': 'wire.json',
    'zones': [{'name': 'a'}, {'name': 'b'}],
    'machines': [{'zone': 'a', 'count': 3}, {'zone': 'b', 'count': 2}],
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
