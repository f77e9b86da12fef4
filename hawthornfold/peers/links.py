"""Links to other nodes: one ROUTER to receive, one DEALER per peer."""

import contextlib
import math

import eventlet
from eventlet.green import zmq
import logbook
import zmq as plain_zmq
from zmq.utils.monitor import recv_monitor_message

from hawthornfold.peers import codec
from hawthornfold.peers import keys
from hawthornfold.peers.receiver import Receiver

LOG = logbook.Logger('peers')

_HEARTBEAT_INTERVAL_MS = 500
# A connection that is silent for this long is closed and replaced. It must be
# shorter than the 2 s after which a suspect is removed.
_HEARTBEAT_TIMEOUT_MS = 1500
_RECONNECT_INTERVAL_MS = 100
# libzmq doubles the interval up to this one, and adds up to the first one. A
# node that starts waits 1 s for replies, so attempts must be less than that
# apart. With 2 s, messages to a node that had been away for 2 s came later.
_MAX_RECONNECT_INTERVAL_MS = 400
_MAX_KEY_RETRY_INTERVAL_MS = 2000
_CONNECT_TIMEOUT_MS = 1500
_SEND_QUEUE_LENGTH = 512
# Messages of one peer that wait while the node is busy. Messages may have 1.2
# MB, and a node as little as 200 MB; 1,024 of them exceed it. Further ones
# wait in the kernel's buffers and in the sender's queue.
_RECEIVE_QUEUE_LENGTH = 32
_IDLE_TIMEOUT_MS = 60_000
# With at most this many peers in the last minute, idle links stay open for
# `_IDLE_TIMEOUT_MS`, otherwise for `_SHORT_IDLE_TIMEOUT_MS`. In a large fleet
# a node probes another member every second and rarely the same one again,
# and each idle link costs up to 156 B/s of heartbeats.
_MAX_LONG_IDLE_PEERS = 16
_SHORT_IDLE_TIMEOUT_MS = 1_000
_IDLE_CHECK_INTERVAL_MS = 1_000
# The default of libzmq, 1,023 sockets, is too low for a fleet of 7,200 nodes.
_MAX_SOCKETS = 32_768
# Maximum number of frames retained until the handshake succeeds. If it fails,
# they are sent again on a connection with the next key.
_MAX_UNCONFIRMED_FRAMES = 64
# Maximum number of senders whose incarnation is stored. It limits the memory
# that frames with forged sender names can take.
_MAX_SENDERS = 32_768
# Interval between two log lines about handlers that fail. A peer can send
# thousands of messages per second that cause the same fault.
_ERROR_LOG_INTERVAL_MS = 1_000.0
_WATCHED_EVENTS = (
    zmq.EVENT_HANDSHAKE_SUCCEEDED
    | zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_HANDSHAKE_FAILED_AUTH
)


class _Link:
    """The DEALER socket of one peer.

    If several keys are configured, `unconfirmed_frames` holds the frames
    sent before the handshake succeeded, and `handshake_watcher` is the green
    thread that reads the handshake events from `monitor`.
    """

    def __init__(self, address, key_index):
        self.address = address
        self.key_index = key_index
        self.socket = None
        self.monitor = None
        self.unconfirmed_frames = None
        self.handshake_watcher = None
        self.kept_until_ms = 0.0


class PeerLinks:
    """Sends messages to and receives them from other nodes of the cluster.

    A node replies over its own link, so each connection carries messages in
    one direction only.
    """

    def __init__(self, settings, incarnation, clock, metrics):
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        peers = settings.peers
        self._keys = tuple(peers.keys) if peers.encryption else ()
        if peers.encryption and not self._keys:
            raise ValueError('peers.encryption needs at least one key')
        host = settings.node.host
        sender = codec.Sender(
            settings.node.name, incarnation, f'{host}:{peers.port}'
        )
        self._encoder = codec.FrameEncoder(settings.cluster, sender)
        self._decoder = codec.FrameDecoder(settings.cluster)
        self._handlers = {}
        self._links = {}
        self._last_used_ms = {}
        self._key_indexes = {}
        self._incarnations = {}
        self._error_logged_ms = -math.inf
        self._threads = []
        # Context.term() blocks the process until every socket is closed.
        self._sockets = set()
        self._context = zmq.Context(io_threads=1)
        self._context.set(zmq.MAX_SOCKETS, _MAX_SOCKETS)

    def send(self, name, address, body, keeps_open=False):
        """Send `body` to a node without blocking.

        Parameters
        ----------
        name : str
            Name of the receiving node.
        address : str
            Its ``ip:port``.
        body : NamedTuple
            Message body of a type that the receiver has registered.
        keeps_open : bool
            Whether the link stays open for `_IDLE_TIMEOUT_MS` in any fleet,
            because a later message must not wait until it is open.

        Returns
        -------
        bool
            False if the message was dropped because it is too large, cannot
            be encoded, the address is malformed or the queue of the link is
            full. True does not imply delivery.
        """
        try:
            frame = self._encoder.encode(body)
        except codec.FrameError as error:
            self._metrics.count('peer_dropped', reason=str(error))
            return False
        link = self._links.get(name)
        if link is None or link.address != address:
            try:
                link = self._open_link(name, address)
            except zmq.ZMQError:
                # Addresses come from other nodes. One that is malformed must
                # not end the loop that sends to all members.
                self.close_link(name)
                self._metrics.count('peer_dropped', reason='address')
                return False
        now_ms = self._last_used_ms[name] = self._clock.now_ms()
        if keeps_open:
            link.kept_until_ms = now_ms + _IDLE_TIMEOUT_MS
        if link.unconfirmed_frames is not None:
            link.unconfirmed_frames.append(frame)
            del link.unconfirmed_frames[:-_MAX_UNCONFIRMED_FRAMES]
        try:
            link.socket.send(frame, zmq.NOBLOCK)
        except zmq.Again:
            self._metrics.count('peer_dropped', reason='queue')
            return False
        self._metrics.count(
            'peer_sent_bytes', len(frame), type=type(body).__name__
        )
        return True

    def register(self, body_type, handler):
        """Call ``handler(sender, body)`` for each message of a type.

        `sender` is a `Sender`. The message type on the wire is derived from
        the class name of `body_type`. Handlers must not block.
        """
        name = codec.derive_message_type(body_type)
        if any(name == codec.derive_message_type(t) for t in self._handlers):
            raise ValueError(f'message type {name} is registered already')
        self._decoder.register(body_type)
        self._handlers[body_type] = handler

    def has_newer_process(self, sender):
        """Return whether a newer process of a sender's node has sent a frame.

        Its address is that of the newer process then.
        """
        return self._incarnations.get(sender.name, 0) > sender.incarnation

    def close_link(self, name):
        """Close the link to a node; queued messages are discarded."""
        link = self._links.pop(name, None)
        if link is not None:
            self._close(link)

    def _start(self):
        if self._keys:
            authenticator = self._create_socket(zmq.REP)
            authenticator.bind(keys.ZAP_ENDPOINT)
            self._spawn(
                keys.run_authenticator,
                authenticator,
                [pair.public for pair in self._keys],
                lambda: self._metrics.count('peer_refused'),
            )
        receiver = Receiver(
            self._open_router,
            self._close_socket,
            self._handle_frame,
            _HEARTBEAT_TIMEOUT_MS,
            self._clock,
            self._metrics,
        )
        self._spawn(receiver.receive)
        self._spawn(receiver.watch_pauses)
        self._spawn(self._run_idle_check)

    def _open_router(self):
        """Return a new ROUTER socket that is bound to the node's port."""
        peers = self._settings.peers
        router = plain_zmq.Socket(self._context, zmq.ROUTER)
        self._register(router)
        router.rcvhwm = _RECEIVE_QUEUE_LENGTH
        router.maxmsgsize = codec.MAX_FRAME_BYTES
        router.handshake_ivl = _HEARTBEAT_TIMEOUT_MS
        if self._keys:
            router.curve_server = True
            router.curve_secretkey = self._keys[0].secret.encode()
            router.curve_publickey = self._keys[0].public.encode()
        # With a domain, libzmq refuses the protocols before ZMTP 3. The first
        # one has no greeting, so that it accepts most bytes as messages.
        router.zap_domain = keys.ZAP_DOMAIN
        try:
            router.bind(f'tcp://{self._settings.node.host}:{peers.port}')
        except zmq.ZMQError:
            self._close_socket(router)
            raise
        return router

    def _stop(self):
        for name in tuple(self._links):
            self.close_link(name)
        for thread in self._threads:
            thread.kill()
        for socket in tuple(self._sockets):
            self._close_socket(socket)
        self._context.term()

    def _spawn(self, function, *arguments):
        self._threads.append(eventlet.spawn(function, *arguments))

    def _open_link(self, name, address):
        self.close_link(name)
        key_index = self._key_indexes.get(name, 0)
        link = self._links[name] = _Link(address, key_index)
        self._metrics.count('peer_links_opened')
        try:
            self._connect(link)
        except BaseException:
            # Without its socket the link would fail each later message.
            self.close_link(name)
            raise
        if link.monitor is not None:
            link.unconfirmed_frames = []
            link.handshake_watcher = eventlet.spawn(
                self._watch_handshakes, name, link
            )
        return link

    def _connect(self, link):
        socket = link.socket = self._create_socket(zmq.DEALER)
        socket.sndhwm = _SEND_QUEUE_LENGTH
        socket.reconnect_ivl = _RECONNECT_INTERVAL_MS
        socket.reconnect_ivl_max = _MAX_RECONNECT_INTERVAL_MS
        socket.connect_timeout = _CONNECT_TIMEOUT_MS
        socket.handshake_ivl = _HEARTBEAT_TIMEOUT_MS
        # Only the sending side needs to detect a silent connection; the
        # time to live makes the receiving side close it as well.
        socket.heartbeat_ivl = _HEARTBEAT_INTERVAL_MS
        socket.heartbeat_timeout = _HEARTBEAT_TIMEOUT_MS
        socket.heartbeat_ttl = _HEARTBEAT_TIMEOUT_MS
        if self._keys:
            pair = self._keys[link.key_index]
            socket.curve_secretkey = pair.secret.encode()
            socket.curve_publickey = pair.public.encode()
            socket.curve_serverkey = pair.public.encode()
        if len(self._keys) > 1:
            link.monitor = socket.get_monitor_socket(_WATCHED_EVENTS)
            self._sockets.add(link.monitor)
        socket.connect(f'tcp://{link.address}')

    def _watch_handshakes(self, name, link):
        """Reconnect with the next key whenever a handshake fails.

        During a key rollover the peer may use another of the configured
        keys. Only a failed handshake reveals that.
        """
        failures = 0
        while True:
            event = recv_monitor_message(link.monitor)['event']
            if event == zmq.EVENT_HANDSHAKE_SUCCEEDED:
                failures = 0
                link.unconfirmed_frames = None
                self._key_indexes[name] = link.key_index
                continue
            failures += 1
            self._metrics.count('peer_key_retries')
            if failures % len(self._keys) == 0:
                # No configured key worked, so the cause is not a rollover;
                # wait before the next attempt.
                delay_ms = min(
                    failures * _RECONNECT_INTERVAL_MS,
                    _MAX_KEY_RETRY_INTERVAL_MS,
                )
                self._clock.sleep_ms(delay_ms)
            self._close_link_sockets(link)
            link.key_index = (link.key_index + 1) % len(self._keys)
            self._connect(link)
            link.unconfirmed_frames = link.unconfirmed_frames or []
            for frame in link.unconfirmed_frames:
                link.socket.send(frame, zmq.NOBLOCK)

    def _close(self, link):
        if link.handshake_watcher is not None:
            link.handshake_watcher.kill()
        self._close_link_sockets(link)

    def _close_link_sockets(self, link):
        if link.monitor is not None:
            link.socket.disable_monitor()
            self._close_socket(link.monitor)
        if link.socket is not None:
            self._close_socket(link.socket)

    def _create_socket(self, socket_type):
        socket = self._context.socket(socket_type)
        self._register(socket)
        return socket

    def _register(self, socket):
        """Have a new socket closed with the links."""
        socket.linger = 0
        self._sockets.add(socket)

    def _close_socket(self, socket):
        self._sockets.discard(socket)
        socket.close(linger=0)

    def _handle_frame(self, parts):
        try:
            if len(parts) != 2:
                raise codec.FrameError('malformed')
            sender, body = self._decoder.decode(parts[1])
            self._check_incarnation(sender)
        except codec.FrameError as error:
            self._metrics.count('peer_invalid', reason=str(error))
            return
        try:
            self._handlers[type(body)](sender, body)
        except Exception:
            # A faulty handler must not stop the other handlers' messages.
            self._metrics.count('peer_handler_errors')
            now_ms = self._clock.now_ms()
            if now_ms - self._error_logged_ms >= _ERROR_LOG_INTERVAL_MS:
                self._error_logged_ms = now_ms
                LOG.exception('handler of {} failed', type(body).__name__)

    def _check_incarnation(self, sender):
        latest_incarnation = self._incarnations.get(sender.name)
        if latest_incarnation == sender.incarnation:
            return
        if (
            latest_incarnation is not None
            and sender.incarnation < latest_incarnation
        ):
            raise codec.FrameError('incarnation')
        if latest_incarnation is not None:
            # The link may wait up to `_MAX_RECONNECT_INTERVAL_MS` for its
            # next attempt. What is queued in it was for the former process.
            self.close_link(sender.name)
        elif len(self._incarnations) >= _MAX_SENDERS:
            del self._incarnations[next(iter(self._incarnations))]
        self._incarnations[sender.name] = sender.incarnation

    def _run_idle_check(self):
        while True:
            self._clock.sleep_ms(_IDLE_CHECK_INTERVAL_MS)
            now_ms = self._clock.now_ms()
            for name, last_used_ms in tuple(self._last_used_ms.items()):
                if now_ms - last_used_ms > _IDLE_TIMEOUT_MS:
                    del self._last_used_ms[name]
            has_few_peers = len(self._last_used_ms) <= _MAX_LONG_IDLE_PEERS
            limit_ms = (
                _IDLE_TIMEOUT_MS if has_few_peers else _SHORT_IDLE_TIMEOUT_MS
            )
            for name, link in tuple(self._links.items()):
                idle_ms = now_ms - self._last_used_ms.get(name, 0.0)
                if idle_ms > limit_ms and now_ms > link.kept_until_ms:
                    self.close_link(name)
            self._metrics.set_gauge('peer_links', len(self._links))


@contextlib.contextmanager
def open_peer_links(settings, incarnation, clock, metrics):
    """Bind the node's peer port and yield its `PeerLinks`.

    Parameters
    ----------
    settings : Settings
        `cluster`, `node` and `peers` are used.
    incarnation : int
        Start time of this process, milliseconds since the epoch.
    clock : Clock
        The node's clock.
    metrics : Metrics
        Receives the counters ``peer_dropped``, ``peer_invalid``,
        ``peer_refused`` and ``peer_handler_errors``.

    Raises
    ------
    zmq.ZMQError
        The port cannot be bound.
    """
    links = PeerLinks(settings, incarnation, clock, metrics)
    try:
        links._start()
        yield links
    finally:
        links._stop()
