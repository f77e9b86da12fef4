"""Reads the settings file that the platform writes for each node."""

import tomllib

import msgspec

from hawthornfold.gateway.settings import GatewaySettings

# The port of the metrics address in deploy/system.toml.
METRICS_PORT = 9100


class _Listen(msgspec.Struct):
    # Address on which callers are served.
    Front: str
    ReadyAddr: str
    # Address on which other nodes connect to this one.
    Control: str = ''


class _Bounds(msgspec.Struct):
    # Repeat attempts allowed per request.
    RetryBudgetRatio: float
    # Repeat attempts allowed in addition to the ratio, in total for all nodes.
    BudgetSlack: float
    # Length of the window in which both are counted.
    BudgetWindowS: float
    # Time from SIGTERM to SIGKILL.
    GraceS: float
    DrainMs: float = 3_000.0
    # In one second all nodes together may send a cold server its rate times
    # the overage, plus the slack.
    WarmupOverage: float = 1.0
    WarmupSlack: float = 0.0
    EvacuateMs: float = 5_000.0


class _Limits(msgspec.Struct):
    # The VM has CpuShare of a core that is CpuCores times as fast as a
    # reference core.
    CpuShare: float = 1.0
    CpuCores: float = 1.0
    LinkMbps: float = 1_000.0
    MemoryMb: float = 300.0


class _Platform(msgspec.Struct):
    # Address of the metadata store.
    Address: str


class _NodeFile(msgspec.Struct):
    NodeName: str
    # The data centre.
    Zone: str
    Listen: _Listen
    Bounds: _Bounds
    platform: _Platform
    # Control addresses of other nodes.
    SeedNodes: list[str] = []
    Limits: _Limits = msgspec.field(default_factory=_Limits)
    # Region of the node, and of each data centre.
    Region: str = ''
    Zones: dict[str, str] = {}


def parse_settings(data):
    """Decode the bytes of a settings file to `GatewaySettings`.

    Raises
    ------
    ValueError
        If they are not TOML, or a field is missing or of the wrong type.
    """
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
        memory_bytes=int(node.Limits.MemoryMb * (1 << 20)),
        region=node.Region,
        regions=node.Zones,
        drain_ms=node.Bounds.DrainMs,
        warmup_overage=node.Bounds.WarmupOverage,
        warmup_slack=node.Bounds.WarmupSlack,
        evacuate_ms=node.Bounds.EvacuateMs,
    )
