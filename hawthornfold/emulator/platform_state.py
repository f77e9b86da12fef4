"""State of the emulated platform: revisions of keys, and the VM list.

Every change is kept, so that a stale replica can answer as the state was at
an earlier revision.
"""

import typing

import msgspec


class KeyChange(typing.NamedTuple):
    """A key's value from a revision on; None when it was deleted."""

    revision: int
    name: str
    value: str | None


class Vm(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A VM as the platform lists it.

    The address of an entry VM is that of its peer link; a backend server's VM
    is listed under the server's name.
    """

    name: str
    address: str
    data_centre: str
    state: typing.Literal['live', 'leaving'] = 'live'
    role: typing.Literal['entry', 'backend'] = 'entry'


class PlatformFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the platform; the defaults are a healthy one.

    Parameters
    ----------
    down : bool
        Connections are closed without an answer.
    hang : bool
        Requests are read and never answered.
    stale_revision : int or None
        Keys are answered as they were at this revision.
    delay_ms : float
        Added to each response.
    vm_lag_ms : float
        The VM list is this old.
    """

    down: bool = False
    hang: bool = False
    stale_revision: int | None = None
    delay_ms: float = 0.0
    vm_lag_ms: float = 0.0


class PlatformState:
    """Keys and VMs with their history."""

    def __init__(self, now_ms):
        self._changes = []
        self._vm_lists = [(now_ms, ())]

    @property
    def revision(self):
        """Global revision; grows by one with each change of a key."""
        return len(self._changes)

    def put_key(self, name, value):
        """Set the value of `name`; None deletes it."""
        self._changes.append(KeyChange(self.revision + 1, name, value))

    def put_vms(self, vms, now_ms):
        """Replace the VM list."""
        self._vm_lists.append((now_ms, tuple(vms)))

    def read_keys(self, since, stale_revision=None):
        """Return the keys changed after revision `since`.

        Returns
        -------
        dict
            ``{"revision", "keys": {name: {"revision", "value"}}}``. A key
            deleted after `since` has the value None; with `since` 0 it is
            left out.
        """
        limit = self.revision
        if stale_revision is not None:
            limit = min(limit, stale_revision)
        latest = {}
        for change in self._changes[since:limit]:
            latest[change.name] = change
        return {
            'revision': limit,
            'keys': {
                change.name: {
                    'revision': change.revision,
                    'value': change.value,
                }
                for change in latest.values()
                if since or change.value is not None
            },
        }

    def read_vms(self, now_ms, lag_ms=0.0):
        """Return ``{"revision", "vms"}`` as it was `lag_ms` ago."""
        index = len(self._vm_lists) - 1
        while index > 0 and self._vm_lists[index][0] > now_ms - lag_ms:
            index -= 1
        return {'revision': index, 'vms': self._vm_lists[index][1]}


def create_platform_state(now_ms=0.0):
    """Create the state of a platform without keys and VMs.

    Examples
    --------
    >>> state = create_platform_state()
    >>> state.put_key('rules', '{}')
    >>> state.read_keys(0)
    {'revision': 1, 'keys': {'rules': {'revision': 1, 'value': '{}'}}}
    """
    return PlatformState(now_ms)
