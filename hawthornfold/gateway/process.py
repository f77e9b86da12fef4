"""Runs a gateway node as a process until a stop signal."""

import gc

import logbook

from hawthornfold.clock import create_system_clock
from hawthornfold.gateway.node import GatewayNode
from hawthornfold.logs import setup_logs

_LOG = logbook.Logger('gateway')

# Intervals at which signals and the settings file are checked.
_SIGNAL_POLL_INTERVAL_MS = 100.0
_SETTINGS_POLL_INTERVAL_MS = 1_000.0
# Exit status if the node cannot start with its settings.
EXIT_INVALID = 2
# Written on log lines in place of the node's name, which the settings have.
_UNKNOWN_NODE = '-'


def run_gateway(settings_file, open_store, names, ready_path, signals):
    """Run a gateway node until a stop is requested.

    Parameters
    ----------
    settings_file : SettingsFile
        Read again when it changes.
    signals : ReceivedSignals
        The signals that the process has received and will receive.

    Returns
    -------
    int
        Exit status: 0 after a graceful stop, 1 if requests were aborted, 2 if
        the settings are not valid.
    """
    try:
        settings = settings_file.load()
    except (ValueError, OSError) as error:
        with setup_logs(_UNKNOWN_NODE):
            _LOG.error('event=settings_refused cause=start {}', error)
        return EXIT_INVALID
    node = GatewayNode(
        settings, settings_file.load, open_store, names, ready_path
    )
    # Modules and their objects stay until the process ends. Without this, each
    # full collection examines all of them, which takes 10 ms and more.
    gc.freeze()
    with setup_logs(settings.node_name):
        if signals.is_stop_requested:
            # No port is open and no other node knows of this one.
            _LOG.notice('event=stopped cut_requests=0 phase=start')
            return 0
        with node.open() as stop_accepting:
            _LOG.notice(
                'event=started callers={}', node.settings.caller_address
            )
            _wait_for_stop_request(node, signals, settings_file)
            cut = node.stop(stop_accepting)
        _LOG.notice('event=stopped cut_requests={}', cut)
    return 1 if cut else 0


def _wait_for_stop_request(node, signals, settings_file):
    clock = create_system_clock()
    next_check_ms = clock.now_ms() + _SETTINGS_POLL_INTERVAL_MS
    while True:
        clock.sleep_ms(_SIGNAL_POLL_INTERVAL_MS)
        if signals.is_stop_requested:
            return
        if signals.is_reload_requested:
            signals.begin_reload()
            node.reload('SIGHUP')
        if clock.now_ms() >= next_check_ms:
            next_check_ms = clock.now_ms() + _SETTINGS_POLL_INTERVAL_MS
            if settings_file.has_changed():
                node.reload('file')
