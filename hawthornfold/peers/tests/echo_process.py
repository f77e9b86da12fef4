"""A process with a peer port that returns each note to its sender.

Run as ``python -m hawthornfold.peers.tests.echo_process PORT BLOCK_S``.
SIGUSR1 blocks its event loop for ``BLOCK_S`` seconds.
"""

import signal
import sys
import time

import eventlet

from hawthornfold.peers.tests.fakes import open_endpoint


def main(port, block_s):
    """Serve until the process is killed."""
    with open_endpoint('echo', port=int(port)) as endpoint:

        def block(number, frame):
            print('blocked', flush=True)
            time.sleep(float(block_s))

        signal.signal(signal.SIGUSR1, block)
        print('ready', flush=True)
        while True:
            # Not to be blocked for long, so that signals are handled.
            while not endpoint.received.empty():
                sender, body = endpoint.received.get()
                endpoint.links.send(sender.name, sender.address, body)
            eventlet.sleep(0.01)


if __name__ == '__main__':
    main(*sys.argv[1:])
