"""Runs a gateway node on the users' platform."""

import functools
import os
import sys

import eventlet

from hawthornfold.gateway.process import run_gateway
from hawthornfold.platform import names
from hawthornfold.platform.settings import load_settings
from hawthornfold.platform.store import open_store


def main():
    """Run a node until a stop signal; return the exit status."""
    path = os.environ[names.SETTINGS_VARIABLE]
    return run_gateway(
        functools.partial(load_settings, path),
        open_store,
        names.HEADERS,
        names.READY_PATH,
        path,
    )


if __name__ == '__main__':
    eventlet.monkey_patch()
    sys.exit(main())
