"""Entry point of the ``hawthornfold`` command."""

import sys


def main():
    """Run the command line; return the exit status."""
    if sys.argv[1:2] == ['serve']:
        # Patch before any import that keeps a reference to the blocking
        # functions. Other commands use no green threads.
        import eventlet

        eventlet.monkey_patch()
    from hawthornfold import commands

    return commands.main()


if __name__ == '__main__':
    sys.exit(main())
