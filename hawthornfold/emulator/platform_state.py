"""Keys and VM lists of the emulated platform, with their history.

The state keeps every change, so that the platform can answer like a stale
replica, with the state of an earlier revision.
"""

import typing

import msgspec


class KeyChange(typing.NamedTuple):
    """A change of a key at a revision; the value None deletes the key."""

    revision: int
    name: str
    value: str | None


class Vm(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A VM as the platform lists it.

    The address of an entry VM is its peer address. The VM of a backend server
    has the name of the server.
    """

    name: str
    address: str
    data_centre: str
    state: typing.Literal['live', 'leaving'] = 'live'
    role: typing.Literal['entry', 'backend'] = 'entry'


class PlatformFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the platform; the defaults mean a healthy platform.

    Parameters
    ----------
    down : bool
        The platform closes connections without an answer.
    hang : bool
        The platform reads requests and never answers them.
    stale_revision : int or None
        Reads return the keys as they were at this revision.
    delay_ms : float
        Delay before each response.
    vm_lag_ms : float
        Age of the VM list that reads return.
    """

    down: bool = False
    hang: bool = False
    stale_revision: int | None = None
    delay_ms: float = 0.0
    vm_lag_ms: float = 0.0


class PlatformState:
    """Keys and VM lists with their history."""

    def __init__(self, now_ms):
        self._changes = []
        self._vm_lists = [(now_ms, ())]

    @property
    def revision(self):
        """Global revision; each change of a key increases it by one."""
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
            deleted after `since` has the value None; if `since` is 0, deleted
            keys are left out.
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
        """Return ``{"revision", "vms"}`` as of `lag_ms` ago."""
        index = len(self._vm_lists) - 1
        while index > 0 and self._vm_lists[index][0] > now_ms - lag_ms:
            index -= 1
        return {'revision': index, 'vms': self._vm_lists[index][1]}


def create_platform_state(now_ms=0.0):
    """Create the state of a platform without keys or VMs.

    Examples
    --------
    >>> state = create_platform_state()
    >>> state.put_key('rules', '{}')
    >>> state.read_keys(0)
    {'revision': 1, 'keys': {'rules': {'revision': 1, 'value': '{}'}}}
    """
    return PlatformState(now_ms)
