"""The command that runs a node."""

from hawthornfold.commands import output
from hawthornfold.settings import load_settings


def serve(path):
    """Run a node until it is told to stop; return the exit status.

    Parameters
    ----------
    path : str
        The settings file.
    """
    loaded = load_settings(path)
    if loaded.is_err():
        for failure in loaded.err_value:
            output.print_error(output.format_failure(failure))
        return output.EXIT_INVALID
    # Only a node needs the modules that need green threads.
    from hawthornfold import nodes

    status = nodes.run_node(loaded.ok_value)
    return output.EXIT_DONE if status is None else status
