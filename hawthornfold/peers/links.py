"""Links to other nodes: one ROUTER that receives, one DEALER a peer."""

import contextlib

import eventlet
from eventlet.green import zmq
import logbook
from zmq.utils.monitor import recv_monitor_message

from hawthornfold.peers import codec
from hawthornfold.peers import keys

LOG = logbook.Logger('peers')

# A silent connection is closed and replaced after this many milliseconds;
# it has to be shorter than the 2 s after which a suspect is removed.
_HEARTBEAT_INTERVAL_MS = 500
_HEARTBEAT_TIMEOUT_MS = 1500
_RECONNECT_MS = 100
_RECONNECT_MAX_MS = 2000
_CONNECT_TIMEOUT_MS = 1500
_SEND_QUEUE_LENGTH = 512
_RECEIVE_QUEUE_LENGTH = 1024
_IDLE_MS = 60_000
# A node of a large fleet probes another member every second and hardly ever
# returns to the same one. An idle link costs up to 156 B/s of heartbeats,
# so it is closed soon once more peers than these were used in a minute.
_FEW_PEERS = 16
_SHORT_IDLE_MS = 1_000
_SWEEP_MS = 1_000
# libzmq's default of 1,023 sockets is below the 7,200 nodes of a fleet.
_MAX_SOCKETS = 32_768
# Messages kept until the handshake, to repeat them under the next key.
_MAX_UNCONFIRMED = 64
# After this many messages in a row the receiver yields to other work.
_RECEIVE_BATCH = 64
# Bounds the memory that frames with invented sender names can take.
_MAX_SENDERS = 32_768
_WATCHED_EVENTS = (
    zmq.EVENT_HANDSHAKE_SUCCEEDED
    | zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_HANDSHAKE_FAILED_AUTH
)


class _Link:
    """The DEALER socket of one peer.

    While several keys are listed, `unconfirmed` holds the frames sent
    before the handshake and `watcher` waits for its outcome on `monitor`.
    """

    def __init__(self, address, key_index):
        self.address = address
        self.key_index = key_index
        self.socket = None
        self.monitor = None
        self.unconfirmed = None
        self.watcher = None


class PeerLinks:
    """Sends to and receives from the other nodes of the cluster.

    Replies travel over the replying node's own link, so every connection
    carries messages one way only.
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
        self._used_ms = {}
        self._key_indexes = {}
        self._incarnations = {}
        self._threads = []
        # Context.term() blocks the process until every socket is closed.
        self._sockets = set()
        self._context = zmq.Context(io_threads=1)
        self._context.set(zmq.MAX_SOCKETS, _MAX_SOCKETS)

    def send(self, name, address, body):
        """Send `body` to a node without blocking.

        Parameters
        ----------
        name : str
            Name of the receiving node.
        address : str
            Its ``ip:port``.
        body : NamedTuple
            Any message body that the receiver has registered.

        Returns
        -------
        bool
            False when the message was dropped: too large, or the queue of
            the link is full. True does not mean that it arrived.
        """
        try:
            frame = self._encoder.encode(body)
        except codec.FrameError:
            self._metrics.count('peer_dropped', reason='size')
            return False
        link = self._links.get(name)
        if link is None or link.address != address:
            link = self._open_link(name, address)
        self._used_ms[name] = self._clock.now_ms()
        if link.unconfirmed is not None:
            link.unconfirmed.append(frame)
            del link.unconfirmed[:-_MAX_UNCONFIRMED]
        try:
            link.socket.send(frame, zmq.NOBLOCK)
        except zmq.Again:
            self._metrics.count('peer_dropped', reason='queue')
            return False
        return True

    def register(self, body_type, handler):
        """Call ``handler(sender, body)`` for each message of a type.

        The type's name on the wire follows from the class name; `sender`
        is a `Sender`. Handlers must not block.
        """
        name = codec.message_type_of(body_type)
        if any(name == codec.message_type_of(t) for t in self._handlers):
            raise ValueError(f'message type {name} is registered already')
        self._decoder.register(body_type)
        self._handlers[body_type] = handler

    def close_link(self, name):
        """Close the link to a node; queued messages are discarded."""
        link = self._links.pop(name, None)
        if link is not None:
            self._discard(link)

    def _start(self):
        peers = self._settings.peers
        router = self._create_socket(zmq.ROUTER)
        router.rcvhwm = _RECEIVE_QUEUE_LENGTH
        router.maxmsgsize = codec.MAX_FRAME_BYTES
        router.handshake_ivl = _HEARTBEAT_TIMEOUT_MS
        if self._keys:
            authenticator = self._create_socket(zmq.REP)
            authenticator.bind(keys.ZAP_ENDPOINT)
            self._spawn(
                keys.run_authenticator,
                authenticator,
                [pair.public for pair in self._keys],
                lambda: self._metrics.count('peer_refused'),
            )
            router.curve_server = True
            router.curve_secretkey = self._keys[0].secret.encode()
            router.curve_publickey = self._keys[0].public.encode()
            router.zap_domain = keys.ZAP_DOMAIN
        router.bind(f'tcp://{self._settings.node.host}:{peers.port}')
        self._spawn(self._receive, router)
        self._spawn(self._sweep)

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
        self._connect(link)
        if link.monitor is not None:
            link.unconfirmed = []
            link.watcher = eventlet.spawn(self._watch, name, link)
        return link

    def _connect(self, link):
        socket = link.socket = self._create_socket(zmq.DEALER)
        socket.sndhwm = _SEND_QUEUE_LENGTH
        socket.reconnect_ivl = _RECONNECT_MS
        socket.reconnect_ivl_max = _RECONNECT_MAX_MS
        socket.connect_timeout = _CONNECT_TIMEOUT_MS
        socket.handshake_ivl = _HEARTBEAT_TIMEOUT_MS
        # Only the sending side has to notice a silent connection; the
        # time to live makes the other side forget it as well.
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

    def _watch(self, name, link):
        """Connect with the next key whenever a handshake has failed.

        During a rollover the peer may be bound with another of the listed
        keys, which only the failure of the handshake shows.
        """
        failures = 0
        while True:
            event = recv_monitor_message(link.monitor)['event']
            if event == zmq.EVENT_HANDSHAKE_SUCCEEDED:
                failures = 0
                link.unconfirmed = None
                self._key_indexes[name] = link.key_index
                continue
            failures += 1
            self._metrics.count('peer_key_retries')
            if failures % len(self._keys) == 0:
                # No listed key worked, so the fault is another one.
                delay_ms = min(failures * _RECONNECT_MS, _RECONNECT_MAX_MS)
                self._clock.sleep_ms(delay_ms)
            self._disconnect(link)
            link.key_index = (link.key_index + 1) % len(self._keys)
            self._connect(link)
            link.unconfirmed = link.unconfirmed or []
            for frame in link.unconfirmed:
                link.socket.send(frame, zmq.NOBLOCK)

    def _discard(self, link):
        if link.watcher is not None:
            link.watcher.kill()
        self._disconnect(link)

    def _disconnect(self, link):
        if link.monitor is not None:
            link.socket.disable_monitor()
            self._close_socket(link.monitor)
        self._close_socket(link.socket)

    def _create_socket(self, socket_type):
        socket = self._context.socket(socket_type)
        socket.linger = 0
        self._sockets.add(socket)
        return socket

    def _close_socket(self, socket):
        self._sockets.discard(socket)
        socket.close(linger=0)

    def _receive(self, router):
        while True:
            self._accept(router.recv_multipart())
            with contextlib.suppress(zmq.Again):
                for _ in range(_RECEIVE_BATCH):
                    self._accept(router.recv_multipart(zmq.NOBLOCK))
            eventlet.sleep(0)

    def _accept(self, parts):
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
            # One faulty handler must not stop the others' messages.
            self._metrics.count('peer_handler_errors')
            LOG.exception('handler of {} failed', type(body).__name__)

    def _check_incarnation(self, sender):
        seen = self._incarnations.get(sender.name)
        if seen == sender.incarnation:
            return
        if seen is not None and sender.incarnation < seen:
            raise codec.FrameError('incarnation')
        if seen is None and len(self._incarnations) >= _MAX_SENDERS:
            del self._incarnations[next(iter(self._incarnations))]
        self._incarnations[sender.name] = sender.incarnation

    def _sweep(self):
        while True:
            self._clock.sleep_ms(_SWEEP_MS)
            now_ms = self._clock.now_ms()
            for name, used_ms in tuple(self._used_ms.items()):
                if now_ms - used_ms > _IDLE_MS:
                    del self._used_ms[name]
            is_small = len(self._used_ms) <= _FEW_PEERS
            limit_ms = _IDLE_MS if is_small else _SHORT_IDLE_MS
            for name in tuple(self._links):
                if now_ms - self._used_ms.get(name, 0.0) > limit_ms:
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
