"""Decodes the items of the platform's store that evacuate data centres."""

from hawthornfold.directory import EvacuationChange
from hawthornfold.platform.names import EVACUATIONS_PREFIX

# Maximum length of the name of a data centre. Names are sent to other nodes
# and logged.
MAX_NAME_LENGTH = 100
# Stands for bytes that are not UTF-8.
_REPLACEMENT = '\N{REPLACEMENT CHARACTER}'


def decode_evacuation(item):
    """Decode an item below ``op/evacuate/`` to an `EvacuationChange`.

    The value is not read: an evacuation that the operator meant to write
    applies also if its value is not ``{}``.

    Parameters
    ----------
    item : Item
        The item, or the event that it was deleted.

    Raises
    ------
    ValueError
        If its key does not name a data centre.
    """
    name = item.Key[len(EVACUATIONS_PREFIX) :]
    if not name:
        raise ValueError('the data centre has no name')
    if '/' in name:
        raise ValueError('the name of the data centre contains a slash')
    if len(name) > MAX_NAME_LENGTH:
        raise ValueError(
            f'the name of the data centre is longer than {MAX_NAME_LENGTH}'
        )
    if not name.isprintable() or _REPLACEMENT in name:
        raise ValueError(
            'the name of the data centre is not UTF-8 or not printable'
        )
    return EvacuationChange(name, not item.Deleted, item.Revision)
