"""Chooses the snapshot that new queries pin.

Servers report which snapshots they hold with every answer and health report.
The selector switches to a newer snapshot after the reachable share of its
weight has been at least that of the current one for a while. The delay makes a
rolling upgrade switch once instead of at each server that restarts.
"""

import typing

# How long a newer snapshot must be preferable before queries pin it.
CUTOVER_DELAY_MS = 500.0
# Lifetime of a report that a server lacks a snapshot or refuses work. After
# it, the node asks the owner of the server again. The owner answers from its
# health checks, so this costs the server nothing.
NEGATIVE_REPORT_LIFETIME_MS = 3000.0


class _ServerView(typing.NamedTuple):
    """The last report of a server, and until when it counts as unusable."""

    held: frozenset[str]
    reported_ms: float
    unusable_until_ms: float


class SnapshotSelector:
    """Tracks reachable weight per snapshot of one service group."""

    def __init__(self, group, cutover_delay_ms):
        self._group = group
        self._cutover_delay_ms = cutover_delay_ms
        self._views = {}
        self._current_snapshot = None
        self._candidate = None
        self._candidate_since_ms = 0.0

    @property
    def current_snapshot(self):
        """Snapshot that new queries pin, None before the first choice."""
        return self._current_snapshot

    def replace_group(self, group):
        """Apply a changed service group; retain the reports of its servers."""
        self._group = group
        self._views = {
            name: view
            for name, view in self._views.items()
            if name in group.servers
        }
        if group.find_layout(self._current_snapshot) is None:
            self._current_snapshot = None

    def record_held_snapshots(self, server, held, now_ms):
        """Record the snapshots that `server` reported it holds."""
        self._views[server] = _ServerView(frozenset(held), now_ms, 0.0)

    def mark_unusable(self, server, now_ms):
        """Record that `server` refuses work at the moment."""
        until_ms = now_ms + NEGATIVE_REPORT_LIFETIME_MS
        view = self._views.get(server)
        if view is None:
            view = _ServerView(None, now_ms, until_ms)
        self._views[server] = view._replace(unusable_until_ms=until_ms)

    def holds(self, server, snapshot, now_ms):
        """Return whether `server` holds `snapshot`, or None if unknown.

        A report that a server lacks a snapshot expires. Otherwise no query
        would be sent to the server again and get a newer report.
        """
        view = self._views.get(server)
        if view is None or view.held is None:
            return None
        if snapshot in view.held:
            return True
        if now_ms - view.reported_ms > NEGATIVE_REPORT_LIFETIME_MS:
            return None
        return False

    def compute_reachable_weight(self, layout, now_ms):
        """Return the weight of the shards that have a usable replica."""
        return sum(
            shard.weight
            for shard in layout.shards
            if any(
                self._is_usable_replica(name, layout, now_ms)
                for name in shard.replicas
            )
        )

    def _is_usable_replica(self, server, layout, now_ms):
        view = self._views.get(server)
        # Without a report, a server counts as a usable replica of the oldest
        # layout, so that the first queries have a snapshot to pin.
        is_oldest = layout is self._group.layouts[0]
        if view is None:
            return is_oldest
        if now_ms < view.unusable_until_ms:
            return False
        if view.held is None:
            return is_oldest
        return layout.snapshot in view.held

    def update_choice(self, now_ms):
        """Re-evaluate which snapshot new queries pin.

        The switch to another one is delayed by `cutover_delay_ms` unless the
        current one is gone or unreachable.
        """
        best = self._find_best(now_ms)
        if best == self._current_snapshot:
            self._candidate = None
            return
        current = self._group.find_layout(self._current_snapshot)
        if (
            current is None
            or self.compute_reachable_weight(current, now_ms) == 0
        ):
            self._switch_to(best)
            return
        if best != self._candidate:
            self._candidate = best
            self._candidate_since_ms = now_ms
        if now_ms - self._candidate_since_ms >= self._cutover_delay_ms:
            self._switch_to(best)

    def list_alternatives(self, excluded, now_ms):
        """Return the snapshots a restarted query may pin, best first.

        Parameters
        ----------
        excluded : collection of str
            Snapshots that the query has already tried.
        """
        layouts = [
            layout
            for layout in self._group.layouts
            if layout.snapshot not in excluded
        ]
        ranked = sorted(
            (
                (self.compute_reachable_share(layout, now_ms), layout)
                for layout in layouts
            ),
            key=lambda entry: entry[0],
            reverse=True,
        )
        return [layout.snapshot for share, layout in ranked if share > 0]

    def compute_reachable_share(self, layout, now_ms):
        """Return the reachable share of the weight of `layout`, 0 to 1."""
        return (
            self.compute_reachable_weight(layout, now_ms) / layout.total_weight
        )

    def _switch_to(self, snapshot):
        self._current_snapshot = snapshot
        self._candidate = None

    def _find_best(self, now_ms):
        """Return the newest snapshot with at least the share of any older.

        Shares are compared, not weights, because a repartitioned or grown
        index has another total weight.
        """
        best = self._group.layouts[0]
        best_share = self.compute_reachable_share(best, now_ms)
        for layout in self._group.layouts[1:]:
            share = self.compute_reachable_share(layout, now_ms)
            if share > 0 and share >= best_share:
                best, best_share = layout, share
        return best.snapshot


def create_snapshot_selector(group, cutover_delay_ms=CUTOVER_DELAY_MS):
    """Create the selector of one service group."""
    return SnapshotSelector(group, cutover_delay_ms)
