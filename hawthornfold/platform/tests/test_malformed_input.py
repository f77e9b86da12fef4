"""Malformed bytes at every port of a node's process.

Guards against failure 4 of docs/design/server-signals.md, R7: one malformed
message ends the process or one of its loops.
"""

import json
import math
import random
import re
import socket
import typing

import msgspec
import zmq

from hawthornfold import delegation
from hawthornfold import directory
from hawthornfold.gateway import fleet
from hawthornfold.gateway.tests import support as gateway_support
from hawthornfold.peers import codec
from hawthornfold.peers import messages
from hawthornfold.platform.tests.test_node import NodeTestCase

# Types of messages whose contents a node has to believe if they are well
# formed. They are sent with bodies of other types only.
BELIEVED = (directory.StoreNews, directory.StoreSnapshot, fleet.StoreRevision)
TYPES = (
    delegation.Delegate,
    delegation.DelegateCancel,
    delegation.Delegated,
    delegation.GatherCancel,
    delegation.GatherParts,
    delegation.PartsReply,
    delegation.RoomQuery,
    delegation.RoomReply,
    delegation.ServerNotice,
    directory.SnapshotQuery,
    messages.Ping,
    messages.PingReq,
    messages.Ack,
    messages.Join,
    messages.Sync,
    messages.SyncRecords,
    *BELIEVED,
)
NUMBERS = (0, 1, -1, 255, 2**53, 2**63 - 1, -(2**63), 2**64 - 1)
FLOATS = (0.0, -1.0, 50.0, 1e308, -1e308, math.inf, -math.inf, math.nan)
TEXTS = ('', 'a', 'GET', 'search', 'nonsense', 'a:b', '127.0.0.1:0', 'x' * 300)
DEEP = b'\x91' * 1_000 + b'\xc0'


def create_value(kind, rng):
    """Return an absurd value of an annotated type."""
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if origin is tuple:
        if arguments[-1] is not ...:
            return tuple(create_value(x, rng) for x in arguments)
        count = rng.randrange(3)
        return tuple(create_value(arguments[0], rng) for _ in range(count))
    if arguments:
        return create_value(rng.choice(arguments), rng)
    if kind is type(None):
        return None
    if hasattr(kind, '_fields'):
        hints = typing.get_type_hints(kind)
        return tuple(create_value(hints[x], rng) for x in kind._fields)
    choices = {
        int: NUMBERS,
        float: FLOATS,
        str: TEXTS,
        bytes: (b'', b'\xff' * 20, b'{', b'GET / HTTP/1.1\r\n'),
        bool: (False, True),
    }
    return rng.choice(choices.get(kind, ((), {}, None)))


class MalformedInputTest(NodeTestCase):
    def setUp(self):
        super().setUp()
        self.node = self.start_node_and_servers()

    def check_node(self):
        """Check that the node answers, sees others and stops cleanly."""
        for path in ('/s/1', '/f/1'):
            response = self.node.query(path, 'r1')
            self.assertEqual(response.status, 200, self.node.read_log())
        self.start_node(number=2, seeds=[self.node.control])
        self.node.wait_until(lambda: 'subject=node-2' in self.node.read_log())
        self.node.terminate()
        self.assertEqual(self.node.wait_for_exit(), 0)
        log = self.node.read_log()
        self.assertIn('event=stopped cut_requests=0', log)
        self.assertNotIn('loop_failed', log)
        self.assertNotIn('Traceback', log)

    def test_peer_messages(self):
        rng = random.Random(7)
        context = zmq.Context()
        self.addCleanup(context.term)
        peer = context.socket(zmq.DEALER)
        self.addCleanup(peer.close, 0)
        peer.connect(f'tcp://{self.node.control}')
        encode = msgspec.msgpack.encode
        for number in range(2_000):
            body_type = TYPES[number % len(TYPES)]
            kind = rng.randrange(4)
            if kind == 0 or body_type in BELIEVED:
                body = encode(
                    [create_value(rng.choice((int, str, dict)), rng)]
                    * rng.randrange(8)
                )
            elif kind == 1:
                body = DEEP
            else:
                body = encode(create_value(body_type, rng))
            name = rng.choice(('peer', 'other', 'x' * 200))
            frame = (
                b'\x97'
                + encode(fleet.CLUSTER)
                + encode(codec.PROTOCOL_VERSION)
                + encode(name)
                + encode(rng.choice((1, 2)))
                + encode(rng.choice(('127.0.0.1:9', 'nonsense', 'a:b:c')))
                + encode(codec.derive_message_type(body_type))
                + body
            )
            if rng.random() < 0.1:
                frame = frame[: rng.randrange(len(frame))]
            peer.send_multipart([frame] * rng.choice((1, 1, 1, 3)))
        self.node.wait_until(
            lambda: (
                b'hawthornfold_peer_invalid_total'
                in self.node.send_request('/metrics', port='ready').data
            )
        )
        # The loop that probes members is alive, although the addresses of
        # these are malformed. It probes one member a second in random order,
        # so that any of the three that sent messages may be removed first.
        removal = re.compile('subject=(other|peer|x{200}) .*after=removed')
        self.node.wait_until(lambda: removal.search(self.node.read_log()))
        # Bytes that are not of the protocol, on a plain connection.
        for data in (b'GET / HTTP/1.1\r\n\r\n', b'\xff' * 100, b'\xff\0\0'):
            self.send_bytes('control', data)
        self.check_node()

    def send_bytes(self, port, data):
        """Send bytes and end the connection; return what came back."""
        with socket.create_connection(
            (self.node.ip, self.node.ports[port]), gateway_support.HANG_S
        ) as connection:
            reply = b''
            try:
                connection.sendall(data)
                connection.shutdown(socket.SHUT_WR)
                while received := connection.recv(65_536):
                    reply += received
            except OSError:
                pass
            return reply

    def test_callers_and_readiness_checks(self):
        head = b'POST /p/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r\r\n'
        chunked = head + b'Transfer-Encoding: chunked\r\n\r\n'
        digits = b'9' * 5_000
        for data in (
            b'\xff\xfe\0' * 100,
            b'GET',
            b'GET / HTTP/1.1\r\n' + b'a: b\r\n' * 500 + b'\r\n',
            b'GET /f/\xff HTTP/1.1\r\nHost: a.example\r\n\r\n',
            b'GET http://[:::/f/1 HTTP/1.1\r\nHost: [\r\n\r\n',
            b'GET //[/ HTTP/1.1\r\nHost: a.example\r\n\r\n',
            b'GET /%zz%ff?%% HTTP/1.1\r\nHost: \xff\r\n\r\n',
            head + b'Content-Length: %b\r\n\r\n' % digits,
            head + b'Content-Length: -1\r\n\r\n',
            head + b'X-Deadline-Ms: %b\r\n\r\n' % digits,
            head + b'X-Deadline-Ms: \xb2\r\n\r\n',
            head + b'Content-Length: 10\r\n\r\nabc',
            chunked + b'-5\r\nabcde\r\n0\r\n\r\n',
            chunked + b'zz\r\n',
            chunked + b'f' * 40 + b'\r\nabc',
            chunked + b'1_0\r\n' + b'a' * 16 + b'\r\n0\r\n\r\n',
            head + b'Expect: nonsense\r\nContent-Length: 1\r\n\r\na',
            head + b'Connection: \xff, close\r\n\r\n',
        ):
            for port in ('front', 'ready'):
                with self.subTest(port=port, data=data[:80]):
                    reply = self.send_bytes(port, data)
                    if reply:
                        self.assertRegex(reply, rb'\AHTTP/1\.1 \d{3} ')
        self.check_node()

    def test_replies_of_the_store(self):
        # The store's reply is replaced by each of these in turn, as the end
        # of a long poll; the node has to go on with the next valid one.
        position = {'events': [], 'CurrentRev': 0}
        bodies = [
            b'',
            b'\xff\xfe',
            b'[' * 100_000,
            b'{"events":' + b'[' * 100_000,
            json.dumps({**position, 'CurrentRev': 10**30}).encode(),
            json.dumps({**position, 'events': [{'Key': 5}]}).encode(),
            json.dumps(
                {**position, 'events': [{'Key': 'servers/x', 'Value': '!'}]}
            ).encode(),
        ]
        heads = [
            b'HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n',
            b'HTTP/1.1 200 OK\r\nContent-Length: '
            + b'9' * 5_000
            + b'\r\n\r\n',
            b'HTTP/1.1 abc\r\n\r\n',
            b'HTTP/1.1 302 Found\r\nLocation: http://[\r\n\r\n',
            b'HTTP/1.1 200 OK\r\n' + b'a: b\r\n' * 200 + b'\r\n',
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\nab',
            b'HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n'
            b'Content-Length: 3\r\n\r\nabc',
            b'\0\xff\r\n\r\n',
        ]
        replies = heads + [
            b'HTTP/1.1 200 OK\r\nStore-Era: \xff\r\nContent-Length: %d\r\n\r\n'
            % len(body)
            + body
            for body in bodies
        ]
        pending = list(replies)
        original = self.store._handle_request

        def reply(handler):
            if not pending or 'kv-watch' not in handler.path:
                original(handler)
                return
            handler.wfile.write(pending.pop(0))
            handler.close_connection = True

        self.store._handle_request = reply
        # Ends the long poll that is running.
        self.store.put('other', {})
        self.node.wait_until(lambda: not pending)
        self.routes[1]['Prefix'] = '/new/'
        self.publish_configuration()
        self.node.wait_until(
            lambda: self.node.query('/new/1', 'r1').status == 200
        )
        self.assertNotIn('loop_failed', self.node.read_log())
