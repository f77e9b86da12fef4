"""Defines what may keep a node from sending requests to a server."""

import abc

# Returned by a restriction that doesn't concern a server's share of the load.
NO_SHARE = None


class SendRestriction(abc.ABC):
    """A reason for which a healthy server receives no request for now.

    A restriction is not a fault of the server: it neither blocks the server
    nor makes it more expensive to choose once it ends.
    """

    # Whether other nodes are refused for the same reason. A request that needs
    # the server is then not divided among them, but refused at once.
    concerns_all_nodes = False

    @abc.abstractmethod
    def refuses(self, record, now_ms):
        """Return whether no request may be sent to a server now.

        Parameters
        ----------
        record : ServerRecord
            The server.
        now_ms : float
            Current time on the node's clock.
        """

    @abc.abstractmethod
    def free_ms(self, record, now_ms):
        """Return when a refused server is expected to be allowed again.

        Returns
        -------
        float or None
            A time on the node's clock; None if it is unknown.
        """

    def estimate_share(self, record, now_ms):
        """Return the share of its load that suits a server that is allowed.

        Returns
        -------
        float or None
            From 0 to 1; None if the restriction doesn't concern the server.
        """
        return NO_SHARE

    @abc.abstractmethod
    def record_send(self, record, now_ms):
        """Record that a request is written to a server."""

    @abc.abstractmethod
    def remove_server(self, server_id):
        """Remove what is known of a server that left or restarted."""
