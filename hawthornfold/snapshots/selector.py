"""Chooses the snapshot that new queries pin.

Servers report which snapshots they hold with every answer and health report.
The selector moves to a newer snapshot once the weight that can be reached in
it is at least the weight that can be reached in the current one, and that has
held for a while, so that a rolling upgrade switches once and not at every
server that restarts.
"""

import typing

# A newer snapshot must be reachable for this long before queries pin it.
CUTOVER_DELAY_MS = 500.0
# How long a node believes that a server lacks a snapshot or takes no work
# without asking its owner again. The owner answers from its health checks,
# so the question costs the server nothing.
NEGATIVE_REPORT_LIFETIME_MS = 3000.0


class _ServerView(typing.NamedTuple):
    """What a server reported last, and until when it refuses work."""

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
        """Name of the snapshot new queries pin, or None before `choose`."""
        return self._current_snapshot

    def replace_group(self, group):
        """Take over a changed service group; known servers are kept."""
        self._group = group
        self._views = {
            name: view
            for name, view in self._views.items()
            if name in group.servers
        }
        if group.find_layout(self._current_snapshot) is None:
            self._current_snapshot = None

    def record_held_snapshots(self, server, held, now_ms):
        """Record the snapshots that `server` reports to hold."""
        self._views[server] = _ServerView(frozenset(held), now_ms, 0.0)

    def mark_unusable(self, server, now_ms):
        """Record that `server` takes no work at the moment."""
        until_ms = now_ms + NEGATIVE_REPORT_LIFETIME_MS
        view = self._views.get(server)
        if view is None:
            view = _ServerView(None, now_ms, until_ms)
        self._views[server] = view._replace(unusable_until_ms=until_ms)

    def holds(self, server, snapshot, now_ms):
        """Return True, False, or None when that is not known.

        That a server lacks a snapshot is believed for a short time only:
        nobody would ask it again and learn that it has changed.
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
        """Return the weight of `layout` with at least one usable replica."""
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
        # Before any report the oldest layout is taken at its word, so that
        # the first queries after start have a snapshot to pin.
        is_oldest = layout is self._group.layouts[0]
        if view is None:
            return is_oldest
        if now_ms < view.unusable_until_ms:
            return False
        if view.held is None:
            return is_oldest
        return layout.snapshot in view.held

    def update_choice(self, now_ms):
        """Re-evaluate which snapshot new queries pin."""
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
        """Return snapshot names a restarted query may pin, best first.

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
        """Return the reachable part of the layout, between 0 and 1."""
        return (
            self.compute_reachable_weight(layout, now_ms) / layout.total_weight
        )

    def _switch_to(self, snapshot):
        self._current_snapshot = snapshot
        self._candidate = None

    def _find_best(self, now_ms):
        """Return the newest snapshot that reaches as much as any older one.

        Shares are compared, not weights, because a repartitioned or grown
        index has another total.
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
