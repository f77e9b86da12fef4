"""Runs a gateway node on the users' platform."""

import os

from hawthornfold.gateway.process import run_gateway
from hawthornfold.gateway.settings_file import SettingsFile
from hawthornfold.platform import names
from hawthornfold.platform.settings import parse_settings
from hawthornfold.platform.store import open_store


def run_node(signals):
    """Run a node until a stop signal; return the exit status.

    Parameters
    ----------
    signals : ReceivedSignals
        The signals that the process has received and will receive.
    """
    return run_gateway(
        SettingsFile(os.environ[names.SETTINGS_VARIABLE], parse_settings),
        open_store,
        names.HEADERS,
        names.READY_PATH,
        signals,
    )
