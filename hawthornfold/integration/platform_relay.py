"""Relays the emulated platform and lists backend servers as VMs.

The emulated platform lists entry VMs only. The relay adds VMs with the role
``backend`` to its list and passes everything else on, faults included.
"""

import contextlib
import http.server
import json
import threading

import urllib3

# Above the longest wait of a watch.
_TIMEOUT_S = 70.0


class PlatformRelay:
    """Answers reads with what the platform says, and more VMs."""

    def __init__(self):
        self._platform_port = None
        self._backends = ()
        self._changes = 0
        self._pool = urllib3.PoolManager(maxsize=32, retries=False)

    def connect(self, platform_port):
        """Name the platform's port, before any node reads."""
        self._platform_port = platform_port

    def list_backends(self, states):
        """Replace the backend servers listed: name to (address, state)."""
        self._backends = tuple(
            {
                'name': name,
                'address': address,
                'data_centre': '',
                'state': state,
                'role': 'backend',
            }
            for name, (address, state) in states.items()
        )
        self._changes += 1

    def fetch(self, path):
        """Return status and body of a read; HTTPError when it fails."""
        # Read first: a list that is replaced meanwhile keeps its revision.
        changes, backends = self._changes, self._backends
        response = self._pool.request(
            'GET',
            f'http://127.0.0.1:{self._platform_port}{path}',
            timeout=_TIMEOUT_S,
            retries=False,
        )
        if not path.startswith('/v1/vms') or response.status != 200:
            return response.status, response.data
        document = response.json()
        document['revision'] += changes
        document['vms'] += backends
        return 200, json.dumps(document).encode()


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    block_on_close = False

    def handle_error(self, request, client_address):
        """Ignore readers that were killed."""


@contextlib.contextmanager
def open_platform_relay():
    """Run a relay; yield it and its port."""
    relay = PlatformRelay()

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = 'HTTP/1.1'

        def do_GET(self):  # noqa: N802
            try:
                status, body = relay.fetch(self.path)
            except urllib3.exceptions.HTTPError:
                self.close_connection = True
                return
            self.send_response(status)
            self.send_header('Content-Length', str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *arguments):
            pass

    server = _Server(('127.0.0.1', 0), Handler)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        yield relay, server.server_address[1]
    finally:
        server.shutdown()
        server.server_close()
