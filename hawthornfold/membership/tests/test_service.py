import contextlib
import typing
import unittest

import eventlet

from hawthornfold.clock import create_system_clock
from hawthornfold.membership import ListedVM
from hawthornfold.membership import create_membership_service
from hawthornfold.peers import Sender
from hawthornfold.peers import messages
from hawthornfold.peers import open_peer_links
from hawthornfold.peers.tests import fakes

LIMIT_S = 20


class Times(typing.NamedTuple):
    probe_interval_ms: float = 200
    probe_timeout_ms: float = 80
    suspect_timeout_ms: float = 400


class Settings(typing.NamedTuple):
    cluster: str
    node: fakes.NodeSettings
    peers: fakes.PeerSettings
    membership: Times = Times()


class Links:
    def __init__(self):
        self.sent = []
        self.handlers = {}

    def send(self, name, address, body):
        self.sent.append((name, address, body))
        return True

    def register(self, body_type, handler):
        self.handlers[body_type] = handler


class Audit:
    def __init__(self):
        self.entries = []

    def record(self, kind, subject, before, after, cause):
        self.entries.append((kind, subject, before, after, cause))


def create_settings(name, port):
    return Settings(
        'lipovec', fakes.NodeSettings(name), fakes.PeerSettings(port)
    )


class ServiceTest(unittest.TestCase):
    def test_changes_reach_subscribers_and_the_audit_trail(self):
        # Guards against owners that are not recomputed after a member change,
        # and against changes that are missing from the audit trail.
        links, audit, calls = Links(), Audit(), []
        service = create_membership_service(
            create_settings('a', 7000),
            1,
            create_system_clock(),
            links,
            audit,
            fakes.Metrics(),
        )
        service.set_listed_vms((ListedVM('b', '127.0.0.1:7001', 'z', 'live'),))
        service.subscribe(lambda: calls.append(len(service.members)))
        version = service.version
        handle = links.handlers[messages.Ping]
        sender = Sender('b', 3, '127.0.0.1:7001')
        handle(sender, messages.Ping(1, 'z', 0, ()))
        self.assertIsInstance(links.sent[-1][2], messages.Ack)
        thread = eventlet.spawn(service.run)
        with eventlet.Timeout(LIMIT_S):
            while not calls:
                eventlet.sleep(0)
        thread.kill()
        self.assertEqual(calls, [2])
        self.assertGreater(service.version, version)
        self.assertEqual(service.members[1].incarnation, 3)
        self.assertIn(
            ('member-joined', 'b', '', 'live', 'message'), audit.entries
        )
        service.leave()
        self.assertIsInstance(links.sent[-1][2], messages.Leave)
        self.assertEqual(service.members[0].state, 'leaving')

    def test_fleet_converges_over_sockets(self):
        # Guards against messages that work in the simulation but fail over
        # the links.
        clock = create_system_clock()
        ports = [fakes.find_free_port() for _ in range(3)]
        vms = [
            ListedVM(f'n{index}', f'127.0.0.1:{port}', 'zilina-1', 'live')
            for index, port in enumerate(ports)
        ]
        with contextlib.ExitStack() as stack:
            services, close_functions = [], []
            for vm, port in zip(vms, ports, strict=True):
                settings = create_settings(vm.name, port)
                metrics = fakes.Metrics()
                links = open_peer_links(settings, 5, clock, metrics)
                node = stack.enter_context(contextlib.ExitStack())
                service = create_membership_service(
                    settings,
                    5,
                    clock,
                    node.enter_context(links),
                    Audit(),
                    metrics,
                )
                service.set_listed_vms(vms)
                node.callback(eventlet.spawn(service.run).kill)
                services.append(service)
                close_functions.append(node.close)
            self.wait_for_members(services, 3)
            close_functions[0]()
            self.wait_for_members(services[1:], 2)

    def wait_for_members(self, services, count):
        clock = create_system_clock()
        with eventlet.Timeout(LIMIT_S):
            while not all(
                len(service.members) == count
                and service.is_confirmed(clock.now_ms())
                for service in services
            ):
                eventlet.sleep(0.02)
