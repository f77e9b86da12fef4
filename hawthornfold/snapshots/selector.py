"""Chooses the snapshot that new queries pin.

Servers report which snapshots they hold with every answer and health report.
The selector moves to a newer snapshot once the weight that can be reached in
it is at least the weight that can be reached in the current one, and that has
held for a while, so that a rolling upgrade switches once and not at every
server that restarts.
"""

import typing

# A newer snapshot must be reachable for this long before queries pin it.
CUTOVER_HOLD_MS = 500.0


class _ServerView(typing.NamedTuple):
    incarnation: str
    held: frozenset[str]
    usable: bool


class SnapshotSelector:
    """Tracks reachable weight per snapshot of one service group."""

    def __init__(self, group, hold_ms):
        self._group = group
        self._hold_ms = hold_ms
        self._views = {}
        self._current = None
        self._candidate = None
        self._candidate_since_ms = 0.0

    @property
    def current(self):
        """Name of the snapshot new queries pin, or None before `choose`."""
        return self._current

    def replace_group(self, group):
        """Take over a changed service group; known servers are kept."""
        self._group = group
        self._views = {
            name: view
            for name, view in self._views.items()
            if name in group.servers
        }
        if group.find_layout(self._current) is None:
            self._current = None

    def observe(self, server, incarnation, held):
        """Record the snapshots that `server` reports to hold."""
        self._views[server] = _ServerView(incarnation, frozenset(held), True)

    def set_usable(self, server, usable):
        """Record whether `server` takes work (drain, breaker)."""
        view = self._views.get(server)
        if view is None:
            view = _ServerView('', frozenset(), usable)
            if usable:
                return
        self._views[server] = view._replace(usable=usable)

    def holds(self, server, snapshot):
        """Return True, False, or None when `server` has not reported."""
        view = self._views.get(server)
        if view is None or not view.incarnation:
            return None
        return snapshot in view.held

    def reachable_weight(self, layout):
        """Return the weight of `layout` with at least one usable replica."""
        return sum(
            shard.weight
            for shard in layout.shards
            if any(self._serves(name, layout) for name in shard.replicas)
        )

    def _serves(self, server, layout):
        view = self._views.get(server)
        if view is None:
            # Before any report the oldest layout is taken at its word, so
            # that the first queries after start have a snapshot to pin.
            return layout is self._group.layouts[0]
        if not view.usable:
            return False
        if not view.incarnation:
            return layout is self._group.layouts[0]
        return layout.snapshot in view.held

    def advance(self, now_ms):
        """Re-evaluate the choice; a cutover needs `hold_ms` of evidence."""
        best = self._find_best()
        if best == self._current:
            self._candidate = None
            return
        current = self._group.find_layout(self._current)
        if current is None or self.reachable_weight(current) == 0:
            self._switch(best)
            return
        if best != self._candidate:
            self._candidate = best
            self._candidate_since_ms = now_ms
        if now_ms - self._candidate_since_ms >= self._hold_ms:
            self._switch(best)

    def list_alternatives(self, excluded):
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
        ranked = sorted(layouts, key=self._share, reverse=True)
        return [x.snapshot for x in ranked if self.reachable_weight(x)]

    def _share(self, layout):
        """Return the reachable part of the layout, between 0 and 1."""
        return self.reachable_weight(layout) / layout.total_weight

    def _switch(self, snapshot):
        self._current = snapshot
        self._candidate = None

    def _find_best(self):
        """Return the newest snapshot that reaches as much as any older one.

        Shares are compared, not weights, because a repartitioned or grown
        index has another total.
        """
        best = self._group.layouts[0]
        best_share = self._share(best)
        for layout in self._group.layouts[1:]:
            share = self._share(layout)
            if share > 0 and share >= best_share:
                best, best_share = layout, share
        return best.snapshot


def create_snapshot_selector(group, hold_ms=CUTOVER_HOLD_MS):
    """Create the selector of one service group."""
    return SnapshotSelector(group, hold_ms)
