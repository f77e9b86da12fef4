"""Entry point of ``python -m hawthornfold.emulator``."""

import eventlet

eventlet.monkey_patch()

from hawthornfold.emulator import commands  # noqa: E402

if __name__ == '__main__':
    commands.main()
