"""Describes how a server of the directory has changed."""

import typing

from hawthornfold.directory.records import ServerRecord


class DirectoryEvent(typing.NamedTuple):
    """A change of a server in the directory.

    Parameters
    ----------
    kind : str
        ``added``, ``draining``, ``ready``, ``restarted``, ``moved`` or
        ``removed``.
    record : ServerRecord
        The server's latest record.
    """

    kind: str
    record: ServerRecord


def classify_change(before, record, was_leaving, is_leaving):
    """Return the kind of event that a received record causes, or None.

    Parameters
    ----------
    before : ServerRecord or None
        The record that it replaces.
    record : ServerRecord
        The record, of the same start of the server or a later one.
    was_leaving, is_leaving : bool
        Whether the server was leaving before, and is leaving now.

    Examples
    --------
    >>> record = ServerRecord('s1', 'portal', '127.0.0.1:1', 'dc-a', 2)
    >>> classify_change(None, record, False, False)
    'added'
    >>> classify_change(record, record, False, True)
    'draining'
    """
    if before is None:
        return 'added'
    if record.born_ms > before.born_ms > 0:
        return 'restarted'
    if (record.address, record.service) != (before.address, before.service):
        return 'moved'
    if is_leaving != was_leaving:
        return 'draining' if is_leaving else 'ready'
    return None
