"""Service groups and the layouts of their snapshots.

A service group is published by the platform under ``services/<group>``. It
lists the backend servers and, per snapshot, the shards with their weights and
replicas. The layout of a snapshot never changes: repartitioning publishes a
new snapshot with other shards.
"""

import typing

import msgspec
from result import Err
from result import Ok

from hawthornfold.codes import Failure
from hawthornfold.codes import ResultCode

MAX_SHARDS = 10_000
MAX_SERVERS = 20_000


class BackendServer(typing.NamedTuple):
    """A search backend server.

    Parameters
    ----------
    name : str
        Unique over all service groups.
    address : str
        ``host:port`` with an IP address.
    data_centre : str
        Data centre that the server runs in.
    slots : int
        Requests the server executes at the same time.
    connections : int
        TCP connections the server accepts from all its clients together.
    """

    name: str
    address: str
    data_centre: str
    slots: int
    connections: int


class Shard(typing.NamedTuple):
    """One shard of a snapshot: its weight in documents and its servers."""

    name: str
    weight: int
    replicas: tuple[str, ...]


class Layout(typing.NamedTuple):
    """The shards of one snapshot."""

    snapshot: str
    shards: tuple[Shard, ...]

    @property
    def total_weight(self):
        """Sum of the weights of all shards, in documents."""
        return sum(shard.weight for shard in self.shards)


class ServiceGroup(typing.NamedTuple):
    """A named group of backend servers and its snapshots, oldest first."""

    name: str
    servers: dict[str, BackendServer]
    layouts: tuple[Layout, ...]

    def find_layout(self, snapshot):
        """Return the layout of `snapshot`, or None."""
        for layout in self.layouts:
            if layout.snapshot == snapshot:
                return layout
        return None


class _ServerEntry(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    address: str
    data_centre: str
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=10_000)]
    connections: typing.Annotated[int, msgspec.Meta(ge=1, le=100_000)]


class _ShardEntry(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    weight: typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
    replicas: typing.Annotated[list[str], msgspec.Meta(min_length=1)]


class _SnapshotEntry(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    shards: typing.Annotated[
        list[_ShardEntry], msgspec.Meta(min_length=1, max_length=MAX_SHARDS)
    ]


class _GroupEntry(msgspec.Struct, forbid_unknown_fields=True):
    servers: typing.Annotated[
        list[_ServerEntry], msgspec.Meta(min_length=1, max_length=MAX_SERVERS)
    ]
    snapshots: typing.Annotated[
        list[_SnapshotEntry], msgspec.Meta(min_length=1, max_length=16)
    ]


_DECODER = msgspec.json.Decoder(_GroupEntry)


def _refuse(name, detail):
    return Err(Failure(ResultCode.PLATFORM_BAD_VALUE, detail, name))


def _find_duplicate(names):
    seen = set()
    for name in names:
        if name in seen:
            return name
        seen.add(name)
    return None


def _check_snapshot(entry, servers):
    """Return a description of the first fault of a snapshot, or None."""
    duplicate = _find_duplicate(shard.name for shard in entry.shards)
    if duplicate is not None:
        return f'snapshot {entry.name} lists shard {duplicate} twice'
    for shard in entry.shards:
        for replica in shard.replicas:
            if replica not in servers:
                return f'shard {shard.name} names unknown server {replica}'
    if not any(shard.weight for shard in entry.shards):
        return f'snapshot {entry.name} has no weight'
    return None


def parse_service_group(name, data):
    """Parse and check one service group document.

    Parameters
    ----------
    name : str
        Name of the group, from its configuration key.
    data : bytes
        JSON as published by the platform.

    Returns
    -------
    result.Result
        Ok with a `ServiceGroup`, or Err with one `Failure`.
    """
    try:
        entry = _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return _refuse(name, str(error))
    duplicate = _find_duplicate(server.name for server in entry.servers)
    if duplicate is not None:
        return _refuse(name, f'server {duplicate} is listed twice')
    duplicate = _find_duplicate(snap.name for snap in entry.snapshots)
    if duplicate is not None:
        return _refuse(name, f'snapshot {duplicate} is listed twice')
    servers = {
        server.name: BackendServer(
            server.name,
            server.address,
            server.data_centre,
            server.slots,
            server.connections,
        )
        for server in entry.servers
    }
    for snapshot in entry.snapshots:
        fault = _check_snapshot(snapshot, servers)
        if fault is not None:
            return _refuse(name, fault)
    layouts = tuple(
        Layout(
            snapshot.name,
            tuple(
                Shard(shard.name, shard.weight, tuple(shard.replicas))
                for shard in snapshot.shards
            ),
        )
        for snapshot in entry.snapshots
    )
    return Ok(ServiceGroup(name, servers, layouts))
