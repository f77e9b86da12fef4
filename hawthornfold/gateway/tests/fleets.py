"""Messages between nodes in simulated time."""

import functools
import types

from hawthornfold.gateway.tests import loads
from hawthornfold.membership import Member


class SimulatedFleet:
    """One node's view of a fleet; delivers messages unless nodes are cut off.

    Parameters
    ----------
    fleets : dict of str to SimulatedFleet
        All nodes by name; the creator adds this one.
    simulation : Simulation
        Delivers the messages.
    name : str
        The node.
    """

    def __init__(self, fleets, simulation, name):
        self._fleets = fleets
        self._simulation = simulation
        self.own_name = name
        self.handlers = {}
        self.version = 1
        self.is_cut = False
        # Bodies of the messages that this node has sent.
        self.sent = []
        self._live_names = None
        self._live = {}

    def list_live(self):
        names = self._live_names or self._fleets
        if len(self._live) != len(names):
            self._live = {x: Member(x, x, 'dc', 1, 'live') for x in names}
        return list(self._live.values())

    def set_live(self, names):
        """Set the names that this node regards as live; all by default."""
        self.version += 1
        self._live_names, self._live = names, {}

    def list_others(self):
        self.list_live()
        others = dict(self._live)
        others.pop(self.own_name, None)
        return list(others.values())

    def register(self, body_type, handler):
        self.handlers[body_type] = handler

    def send(self, name, address, body, keeps_open=False):
        self.sent.append(body)
        sender = types.SimpleNamespace(
            name=self.own_name, address=self.own_name
        )
        receiver = self._fleets[name]
        if self.is_cut != receiver.is_cut:
            return
        handler = receiver.handlers[type(body)]
        self._simulation.schedule(
            loads.NETWORK_MS, functools.partial(handler, sender, body)
        )
