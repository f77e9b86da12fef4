"""Runs a gateway node on the users' platform."""

import functools
import os

from hawthornfold.gateway.process import run_gateway
from hawthornfold.platform import names
from hawthornfold.platform.settings import load_settings
from hawthornfold.platform.store import open_store


def run_node(signals):
    """Run a node until a stop signal; return the exit status.

    Parameters
    ----------
    signals : ReceivedSignals
        The signals that the process has received and will receive.
    """
    path = os.environ[names.SETTINGS_VARIABLE]
    return run_gateway(
        functools.partial(load_settings, path),
        open_store,
        names.HEADERS,
        names.READY_PATH,
        path,
        signals,
    )
