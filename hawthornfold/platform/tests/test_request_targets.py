"""Unusual spellings of a request's target, against a node's process."""

import socket

from hawthornfold.gateway.tests import support as gateway_support
from hawthornfold.platform.tests.test_node import NodeTestCase
from hawthornfold.platform.tests.test_node import create_route


class TargetTest(NodeTestCase):
    """A request whose path is changed, or that takes another route by it.

    Rules that refuse or limit a prefix could be bypassed.
    """

    def setUp(self):
        super().setUp()
        self.routes = [
            create_route('all', '/', Backend='w'),
            create_route('fetch', '/f/', Backend='z'),
        ]
        self.publish_configuration()
        self.servers = {
            name: self.add_server(f'i-{name}', name) for name in 'wz'
        }
        self.node = self.start_node()

    def send(self, target, host='a.example', method='GET'):
        """Send a request as given; return the status."""
        with socket.create_connection(
            (self.node.ip, self.node.ports['front']), gateway_support.HANG_S
        ) as caller:
            caller.sendall(
                f'{method} {target} HTTP/1.1\r\nHost: {host}\r\n'
                'X-Request-Id: r\r\nX-Deadline-Ms: 2000\r\n'
                'Connection: close\r\n\r\n'.encode()
            )
            reply = b''.join(iter(lambda: caller.recv(4096), b''))
        return int(reply.split()[1])

    def take_requests(self):
        """Return the service, target and host of each request so far."""
        taken = []
        for name, server in self.servers.items():
            taken += [
                (name, request.target, request.headers['host'])
                for request in server.requests
                if request.target != '/health'
            ]
            server.requests.clear()
        return taken

    def test_path_is_kept_and_decides_the_route_as_it_was_sent(self):
        for target, service in (
            ('/f/1', 'z'),
            ('//f/1', 'w'),
            ('///f//1?q=//2', 'w'),
            ('//', 'w'),
            ('/f//1', 'z'),
            ('/./f/1', 'w'),
            ('/x/../f/1', 'w'),
            ('/f/../x/1', 'z'),
            ('/%66/1', 'w'),
            ('/f%2f1', 'w'),
            ('/f', 'w'),
            ('/f/1?to=http://b.example/', 'z'),
            ('/F/1', 'w'),
            ('/;/f/1', 'w'),
        ):
            with self.subTest(target):
                self.assertEqual(self.send(target), 200)
                self.assertEqual(
                    self.take_requests(), [(service, target, 'a.example')]
                )

    def test_absolute_form_names_host_and_path(self):
        # RFC 9112, section 3.2.2: the Host header does not count.
        for target, path, service in (
            ('http://a.example/f/1?q', '/f/1?q', 'z'),
            ('HTTP://A.example//f/1', '//f/1', 'w'),
            ('http://a.example', '/', 'w'),
            ('http://a.example?q', '/?q', 'w'),
        ):
            with self.subTest(target):
                self.assertEqual(self.send(target, 'other.example'), 200)
                ((taken_service, taken, host),) = self.take_requests()
                self.assertEqual((taken_service, taken), (service, path))
                self.assertEqual(host.lower(), 'a.example')
        self.assertEqual(self.send('http://other.example/f/1'), 404)

    def test_other_forms_are_refused(self):
        for target in (
            'f/1',
            '?q',
            'a.example:80',
            'http://',
            'http:///f/1',
            'http://user@a.example/f/1',
            'ftp://a.example/f/1',
            '*',
        ):
            with self.subTest(target):
                self.assertEqual(self.send(target), 400)
        self.assertEqual(self.send('*', method='OPTIONS'), 404)
        self.assertEqual(self.take_requests(), [])
