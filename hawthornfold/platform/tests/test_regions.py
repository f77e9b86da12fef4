"""Routes with allowed regions, on nodes in their own processes."""

import signal
import time

from hawthornfold.platform.tests.test_node import NodeTestCase
from hawthornfold.platform.tests.test_node import create_route

REGIONS = 'hall-a = "north"\nhall-b = "south"\nhall-c = "east"'
SHARDS = tuple(f'shard-{number}' for number in range(16))


class ForwardingTest(NodeTestCase):
    def test_requests_reach_servers_in_the_allowed_regions_only(self):
        # Guards against requests, also repeated ones, that leave the regions
        # of their route.
        self.routes = [
            create_route('any', '/any/', Backend='z'),
            create_route(
                'south', '/south/', Backend='z', AllowedRegions=['south']
            ),
            create_route(
                'west', '/west/', Backend='z', AllowedRegions=['west']
            ),
        ]
        self.publish_configuration()
        servers = {
            zone: self.add_server(f'i-{zone}', 'z', Zone=zone)
            for zone in ('hall-a', 'hall-b', 'hall-x')
        }
        node = self.start_node(region='north', regions=REGIONS)
        self.assertIn('event=regions_unknown rule=west', node.read_log())
        for number in range(20):
            response = node.query('/south/', f'r{number}')
            self.assertEqual(response.status, 200)
        self.assertEqual(len(servers['hall-b'].requests), 20)
        started = time.monotonic()
        response = node.query('/west/', 'r', deadline_ms=10_000)
        self.assertLess(time.monotonic() - started, 1.0)
        self.assertEqual(response.status, 503)
        self.assertIn('Retry-After', response.headers)
        for zone in ('hall-a', 'hall-x'):
            self.assertEqual(len(servers[zone].requests), 0)
        self.assertEqual(node.query('/any/', 'r').status, 200)
        metrics = node.send_request('/metrics', port='ready').data.decode()
        self.assertIn('hawthornfold_region_limited_rules 2', metrics)
        # The settings are read again.
        node.write_settings(regions='hall-x = "west"')
        node.send_signal(signal.SIGHUP)
        node.wait_until(lambda: node.query('/west/', 'r').status == 200)
        self.assertGreater(len(servers['hall-x'].requests), 0)
        self.assertEqual(node.query('/south/', 'r').status, 503)


class OtherNodesTest(NodeTestCase):
    def start_nodes(self, allowed_regions):
        """Start a small node in the north and a large one in the east."""
        self.routes = [
            create_route(
                'wide',
                '/w/',
                FanoutServices=list(SHARDS),
                TopK=5,
                TargetLatencyMs=60,
                TimeoutMs=1000,
                AllowedRegions=allowed_regions,
            )
        ]
        self.publish_configuration()
        self.servers = {
            zone: [
                self.add_server(f'i-{zone}-{name}', name, Zone=zone)
                for name in SHARDS
            ]
            for zone in ('hall-a', 'hall-b', 'hall-c')
        }
        large = self.start_node(
            number=1,
            cores=4.0,
            link_mbps=100.0,
            zone='hall-c',
            region='east',
            regions=REGIONS,
        )
        return self.start_node(
            number=2,
            cores=0.3,
            link_mbps=3.0,
            seeds=[large.control],
            region='north',
            regions=REGIONS,
        )

    def query(self, small):
        """Send queries for some time; return whether another node ran one."""
        end = time.monotonic() + 6.0
        number = 0
        while time.monotonic() < end:
            number += 1
            small.query('/w/1', f'q-{number}', 1000)
            log = small.read_log()
            if 'outcome=answered' in log or 'helpers="n' in log:
                return True
            time.sleep(0.02)
        return False

    def count_requests(self, zone):
        return sum(len(server.requests) for server in self.servers[zone])

    def test_body_is_sent_to_no_node_outside_the_regions(self):
        # Guards against a delegate node, or one that gathers a group, in a
        # region that the route excludes.
        small = self.start_nodes(['south'])
        self.assertFalse(self.query(small))
        self.assertGreater(self.count_requests('hall-b'), 0)
        self.assertEqual(self.count_requests('hall-a'), 0)
        self.assertEqual(self.count_requests('hall-c'), 0)

    def test_other_node_in_the_regions_stays_in_them_as_well(self):
        small = self.start_nodes(['south', 'east'])
        self.assertTrue(self.query(small))
        self.assertEqual(self.count_requests('hall-a'), 0)
