"""Entry point of a gateway node on the users' platform."""

import sys

from hawthornfold.process_signals import receive_signals


def main():
    """Run a node until a stop signal; return the exit status."""
    with receive_signals(can_reload=True) as signals:
        # Importing takes most of the start. A signal that arrives meanwhile
        # must not end the process.
        import eventlet

        from hawthornfold.platform.process import run_node

        eventlet.monkey_patch()
        return run_node(signals)


if __name__ == '__main__':
    sys.exit(main())
