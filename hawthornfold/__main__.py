"""Entry point of the ``hawthornfold`` command."""

import sys


def main():
    """Run the command line; return the exit status."""
    if sys.argv[1:2] == ['serve']:
        return _serve()
    from hawthornfold import commands

    return commands.main()


def _serve():
    # Importing takes most of the start. A signal that arrives meanwhile must
    # not end the process.
    from hawthornfold.process_signals import receive_signals

    with receive_signals(can_reload=False) as signals:
        # Patch before any import that keeps a reference to the blocking
        # functions. Other commands use no green threads.
        import eventlet

        eventlet.monkey_patch()
        from hawthornfold import commands

        return commands.main(signals=signals)


if __name__ == '__main__':
    sys.exit(main())
