"""Sends log lines to standard error in one structured format."""

import contextlib
import sys

import logbook

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
        Written on every line, because operators read several nodes at once.
    level_name : str
        Lowest level written, a logbook level name.
    """

    def add_node(record):
        record.extra['node'] = node_name

    handler = logbook.StreamHandler(
        sys.stderr, level=logbook.lookup_level(level_name.upper())
    )
    handler.format_string = LINE_FORMAT
    with logbook.Processor(add_node).applicationbound():
        with handler.applicationbound():
            yield
