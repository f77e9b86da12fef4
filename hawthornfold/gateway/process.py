"""Runs a gateway node as a process until a stop signal."""

import gc
import os

import logbook

from hawthornfold.clock import create_system_clock
from hawthornfold.gateway.node import GatewayNode
from hawthornfold.logs import setup_logs

_LOG = logbook.Logger('gateway')

# Intervals at which signals and the settings file are checked.
_SIGNAL_POLL_INTERVAL_MS = 100.0
_SETTINGS_POLL_INTERVAL_MS = 1_000.0


def run_gateway(
    load_settings, open_store, names, ready_path, settings_path, signals
):
    """Run a gateway node until a stop is requested.

    Parameters
    ----------
    settings_path : str
        Path of the settings file, which is read again when it changes.
    signals : ReceivedSignals
        The signals that the process has received and will receive.

    Returns
    -------
    int
        Exit status: 0 after a graceful stop, 1 if requests were aborted.
    """
    node = GatewayNode(load_settings, open_store, names, ready_path)
    # Modules and their objects stay until the process ends. Without this, each
    # full collection examines all of them, which takes 10 ms and more.
    gc.freeze()
    with setup_logs(node.settings.node_name):
        if signals.is_stop_requested:
            # No port is open and no other node knows of this one.
            _LOG.notice('event=stopped cut_requests=0 phase=start')
            return 0
        with node.open() as stop_accepting:
            _LOG.notice(
                'event=started callers={}', node.settings.caller_address
            )
            _wait_for_stop_signal(node, signals, settings_path)
            cut = node.stop(stop_accepting)
        _LOG.notice('event=stopped cut_requests={}', cut)
    return 1 if cut else 0


def _wait_for_stop_signal(node, signals, settings_path):
    clock = create_system_clock()
    file_state = _read_file_state(settings_path)
    next_check_ms = clock.now_ms() + _SETTINGS_POLL_INTERVAL_MS
    while True:
        clock.sleep_ms(_SIGNAL_POLL_INTERVAL_MS)
        if signals.is_stop_requested:
            return
        if signals.is_reload_requested:
            signals.begin_reload()
            node.reload('SIGHUP')
            file_state = _read_file_state(settings_path)
        if clock.now_ms() >= next_check_ms:
            next_check_ms = clock.now_ms() + _SETTINGS_POLL_INTERVAL_MS
            current = _read_file_state(settings_path)
            if current != file_state:
                file_state = current
                node.reload('file')


def _read_file_state(path):
    """Return modification time, inode and size of a file, None if missing.

    At least one of them changes when the file is written.
    """
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_ino, status.st_size
