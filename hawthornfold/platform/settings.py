"""Reads the settings file that the platform writes for each process."""

import tomllib

import msgspec

from hawthornfold.gateway.settings import GatewaySettings

# The port of the deploy file's metrics address.
METRICS_PORT = 9100


class _Listen(msgspec.Struct):
    Front: str
    ReadyAddr: str
    Control: str = ''


class _Bounds(msgspec.Struct):
    RetryBudgetRatio: float
    # Repeats allowed besides the ratio, for all nodes together.
    BudgetSlack: float
    BudgetWindowS: float
    # From SIGTERM to SIGKILL.
    GraceS: float


class _Limits(msgspec.Struct):
    # The VM has CpuShare of a core that is CpuCores times as fast.
    CpuShare: float = 1.0
    CpuCores: float = 1.0
    LinkMbps: float = 1_000.0


class _Platform(msgspec.Struct):
    # The store's address.
    Address: str


class _NodeFile(msgspec.Struct):
    NodeName: str
    Zone: str
    Listen: _Listen
    Bounds: _Bounds
    platform: _Platform
    SeedNodes: list[str] = []
    Limits: _Limits = msgspec.field(default_factory=_Limits)


def load_settings(path):
    """Read a settings file.

    Returns
    -------
    GatewaySettings

    Raises
    ------
    OSError
        If the file cannot be read.
    ValueError
        If it is not TOML, or a field is missing or of the wrong type.
    """
    with open(path, 'rb') as file:
        data = file.read()
    return parse_settings(data)


def parse_settings(data):
    """Decode the bytes of a settings file; raises ValueError on a fault."""
    table = tomllib.loads(data.decode())
    node = msgspec.convert(table, _NodeFile, strict=False)
    return GatewaySettings(
        node_name=node.NodeName,
        data_centre=node.Zone,
        caller_address=node.Listen.Front,
        ready_address=node.Listen.ReadyAddr,
        peer_address=node.Listen.Control,
        seed_addresses=tuple(node.SeedNodes),
        metrics_port=METRICS_PORT,
        store_address=node.platform.Address,
        repeat_ratio=node.Bounds.RetryBudgetRatio,
        repeat_slack=node.Bounds.BudgetSlack,
        repeat_window_ms=node.Bounds.BudgetWindowS * 1000.0,
        stop_grace_ms=node.Bounds.GraceS * 1000.0,
        link_mbps=node.Limits.LinkMbps,
        cores=node.Limits.CpuShare * node.Limits.CpuCores,
    )
