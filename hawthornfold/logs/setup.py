"""Writes log lines to standard output in one structured format."""

import contextlib
import sys

import logbook

from hawthornfold.clock import create_system_clock
from hawthornfold.logs.writer import create_bounded_handler

LINE_FORMAT = (
    'time={record.time:%Y-%m-%dT%H:%M:%S.%f} level={record.level_name} '
    'node={record.extra[node]} logger={record.channel} {record.message}'
)


@contextlib.contextmanager
def setup_logs(node_name, level_name='info'):
    """Install the log handler while the context is active.

    Parameters
    ----------
    node_name : str
        Written on every line, because operators read the logs of several
        nodes together.
    level_name : str
        Name of the lowest logbook level that is written.
    """

    def add_node(record):
        record.extra['node'] = node_name

    sys.stdout.flush()
    handler = create_bounded_handler(
        sys.stdout.fileno(),
        logbook.lookup_level(level_name.upper()),
        create_system_clock(),
        LINE_FORMAT,
    )
    with logbook.Processor(add_node).applicationbound():
        with handler.applicationbound():
            yield
    handler.flush()
