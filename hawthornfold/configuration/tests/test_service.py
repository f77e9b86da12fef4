import types
import unittest
from unittest import mock

import eventlet
import eventlet.event

from hawthornfold.clock import create_manual_clock
from hawthornfold.clock import create_system_clock
from hawthornfold.configuration import choose_watchers
from hawthornfold.configuration import create_configuration_service
from hawthornfold.configuration import service as services
from hawthornfold.configuration import simulated_platform
from hawthornfold.configuration import simulation
from hawthornfold.sources import VM

MEMBER = simulation.SimulatedMember('n', '127.0.0.1:7000', 'dc', 1, 'alive')
ENTRY_VM = VM('n', '127.0.0.1:7000', 'dc', 'live')


class FakeReader(simulated_platform.SimulatedReader):
    """Blocks a long poll for 10 ms when there is nothing newer."""

    def read_keys(self, since, wait_ms):
        if wait_ms and self.platform.revision <= since:
            eventlet.sleep(0.01)
        return super().read_keys(since, wait_ms)


def create_parts(clock):
    """Return a service without peers, its platform and its membership."""
    platform = simulated_platform.SimulatedPlatform([ENTRY_VM])
    membership = simulation.SimulatedMembership()
    membership.replace_members([MEMBER])
    settings = types.SimpleNamespace(
        node=types.SimpleNamespace(name='n', data_centre='dc'),
        platform=types.SimpleNamespace(watch_wait_ms=10_000.0),
    )
    service = create_configuration_service(
        settings,
        clock,
        mock.Mock(),
        membership,
        FakeReader(platform),
        (),
        simulation.ListAudit(),
        simulation.CountingMetrics(),
    )
    return service, platform, membership


class ServiceTest(unittest.TestCase):
    def test_reads_the_platform_before_there_are_members(self):
        # Guards against a first node that waits for peers and never starts.
        clock = create_manual_clock()
        service, platform, membership = create_parts(clock)
        platform.write('rules', b'r')
        platform.write('services/a', b's')
        service.read_vms()
        service.read_keys()
        self.assertEqual((ENTRY_VM,), membership.listed_vms)
        self.assertEqual(b'r', service.value('rules'))
        self.assertEqual(2, service.revision('services/a'))
        self.assertEqual(('rules', 'services/a', 'vms'), service.keys())
        self.assertEqual(0, service.revision('none'))
        self.assertIsNone(service.value('none'))
        clock.advance(3_000.0)
        service.step()
        self.assertTrue(service.is_ready)
        self.assertEqual(3_000.0, service.age_ms(clock.now_ms()))

    def test_node_without_rules_is_not_ready(self):
        # Guards against a node that accepts requests without a
        # configuration.
        clock = create_manual_clock()
        service, platform, _ = create_parts(clock)
        platform.write('services/a', b's')
        service.read_vms()
        service.read_keys()
        clock.advance(60_000.0)
        service.step()
        self.assertFalse(service.is_ready)

    def test_reads_back_off_while_the_platform_is_down(self):
        # Guards against 7,200 nodes whose reads overload a platform that
        # recovers.
        service, platform, _ = create_parts(create_manual_clock())
        platform.down = True
        delays_ms = [service.read_keys() for _ in range(20)]
        self.assertLess(delays_ms[0], 2 * services.MIN_BACKOFF_MS)
        longest_ms = services.MAX_BACKOFF_MS
        self.assertTrue(all(0 < x <= longest_ms for x in delays_ms))
        self.assertTrue(all(x >= longest_ms / 2 for x in delays_ms[10:]))

    def test_reads_are_delayed_when_long_polls_return_at_once(self):
        # Guards against reading a platform without long polls in a tight
        # loop.
        service, platform, _ = create_parts(create_manual_clock())
        platform.write('rules', b'r')
        self.assertTrue(all(service.read_keys() > 0.0 for _ in range(2)))

    def test_subscribers_are_notified_of_objects_in_force_only(self):
        # Guards against consumers that rebuild for a refused document, and
        # against a membership that applies an invalid VM list.
        service, platform, membership = create_parts(create_manual_clock())
        changed_keys = []
        service.subscribe(changed_keys.append)
        service.read_vms()
        platform.vms, platform.vms_revision = (), 2
        service.read_vms()
        self.assertIn('vms', service.refusals)
        self.assertEqual(['vms'], changed_keys)
        self.assertEqual((ENTRY_VM,), membership.listed_vms)

    def test_run_reads_and_stops_its_green_threads(self):
        # Guards against loops that block each other or outlive the service.
        service, platform, _ = create_parts(create_system_clock())
        changed = eventlet.event.Event()
        service.subscribe(lambda key: key == 'rules' and changed.send(key))
        platform.write('rules', b'r')
        thread = eventlet.spawn(service.run)
        self.assertEqual('rules', changed.wait())
        thread.kill()
        eventlet.sleep(0)
        reads = platform.reads
        eventlet.sleep(0.1)
        self.assertEqual(reads, platform.reads)


class WatchersTest(unittest.TestCase):
    def test_only_the_failed_watcher_is_replaced(self):
        # Guards against a failure that replaces both watchers at once, and
        # against watchers from another data centre.
        names = {f'm{i}': 'ab'[i % 2] for i in range(100)}
        members = [
            MEMBER._replace(name=x, data_centre=names[x]) for x in names
        ]
        first, second = choose_watchers(members, 'a')
        rest = [x for x in members if x.name != first]
        chosen = choose_watchers(reversed(rest), 'a')
        self.assertEqual(second, chosen[0])
        self.assertEqual({'a'}, {names[x] for x in (first, *chosen)})
        self.assertEqual((), choose_watchers(members, 'c'))
