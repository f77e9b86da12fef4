"""Entry point of the ``hawthornfold`` command."""

import sys


def main():
    """Run the command line; return the exit status."""
    if sys.argv[1:2] == ['serve']:
        # Patching must come before any import that keeps a reference to the
        # blocking versions; other commands have no use for green threads.
        import eventlet

        eventlet.monkey_patch()
    from hawthornfold import commands

    return commands.main()


if __name__ == '__main__':
    sys.exit(main())
