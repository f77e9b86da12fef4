"""Runs a node with the settings of a file."""

import errno

import zmq.error

from hawthornfold.codes import Failure
from hawthornfold.codes import ResultCode
from hawthornfold.commands import output
from hawthornfold.settings import load_settings

_BIND_ERRORS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES)


def serve(path, signals):
    """Run a node until it stops; return the exit status.

    Parameters
    ----------
    path : str
        Path of the settings file.
    signals : ReceivedSignals
        The signals that the process has received and will receive.
    """
    loaded = load_settings(path)
    if loaded.is_err():
        for failure in loaded.err_value:
            output.print_error(output.format_failure(failure))
        return output.EXIT_INVALID
    # Imported here because it loads modules that need green threads, which
    # only a running node uses.
    from hawthornfold import nodes

    try:
        status = nodes.run_node(loaded.ok_value, signals)
    except (OSError, zmq.error.ZMQError) as error:
        if error.errno not in _BIND_ERRORS:
            raise
        failure = Failure(ResultCode.ADDRESS_UNAVAILABLE, str(error))
        output.print_error(output.format_failure(failure))
        return output.EXIT_INVALID
    return output.EXIT_DONE if status is None else status
