"""Sends the queries of a trial and records the responses."""

import concurrent.futures
import itertools
import typing

import urllib3

from hawthornfold import clock as clocks
from hawthornfold.emulator import processes

# Far above every rule's deadline, so that the node answers before the caller
# times out; the trial checks the node's answer.
TIMEOUT_S = 8.0


class TrialQuery(typing.NamedTuple):
    """The fields of a query and the class of its caller."""

    service: str
    kind: str = 'search'
    text: str = 'a'
    limit: int = 10
    caller_class: str = 'resident'


class Claim(typing.NamedTuple):
    """The response to one query: what the tier claims happened to it.

    Parameters
    ----------
    query : TrialQuery
        The query.
    node : str
        The node that received the query.
    ticket : str or None
        The ticket that was sent with the query.
    status : int
        HTTP status, 0 when the connection was cut.
    document : dict
        The body of the response, empty when the connection was cut.
    began_ms, ended_ms : float
        When the caller sent the query and received the response, in ms on
        the machine's monotonic clock, which the backends' ledger also uses.
    """

    query: TrialQuery
    node: str
    ticket: str | None
    status: int
    document: dict
    began_ms: float
    ended_ms: float

    @property
    def request_id(self):
        """The request id under which the ledger records runs of the query."""
        return self.document.get('request_id') or self.ticket

    @property
    def ran(self):
        """``yes``, ``no`` or ``unknown``; ``unknown`` after a cut."""
        return self.document.get('ran', 'unknown')


class TrialCaller:
    """Sends queries to the nodes of a fleet and records their claims."""

    def __init__(self, fleet, workers):
        self._fleet = fleet
        self._clock = clocks.create_system_clock()
        self._pool = urllib3.PoolManager(
            num_pools=32, maxsize=workers, retries=False
        )
        self._executor = concurrent.futures.ThreadPoolExecutor(workers)
        self._claims = []
        self._query_numbers = itertools.count()

    @property
    def claims(self):
        """All claims so far, in the order of their responses."""
        return list(self._claims)

    def obtain_ticket(self, node):
        """Request a ticket from a node; return None when it issues none."""
        _, document = self._exchange(node, '/v1/tickets', None, {})
        return document.get('ticket')

    def send_query(self, node, query, ticket=None):
        """Send a query to a node, wait, and return its `Claim`."""
        headers = {'X-Caller-Class': query.caller_class}
        if ticket is not None:
            headers['X-Ticket'] = ticket
        body = {
            'service': query.service,
            'kind': query.kind,
            'text': query.text,
            'limit': query.limit,
        }
        began_ms = self._clock.now_ms()
        status, document = self._exchange(node, '/v1/query', body, headers)
        claim = Claim(
            query,
            node,
            ticket,
            status,
            document,
            began_ms,
            self._clock.now_ms(),
        )
        self._claims.append(claim)
        return claim

    def submit_query(self, node, query, ticket=None):
        """Send a query without waiting; return a future of its `Claim`."""
        return self._executor.submit(self.send_query, node, query, ticket)

    def submit_function(self, function, *arguments):
        """Run a function in a thread of the callers; return its future."""
        return self._executor.submit(function, *arguments)

    def submit_round_robin(self, nodes, queries):
        """Submit queries to nodes in turn; return futures of their claims."""
        return [
            self.submit_query(
                nodes[next(self._query_numbers) % len(nodes)], query
            )
            for query in queries
        ]

    def close(self):
        """Wait for queries in progress to end and close the connections."""
        self._executor.shutdown()
        self._pool.clear()

    def _exchange(self, node, path, body, headers):
        port = self._fleet.plan.nodes[node].callers
        try:
            response = self._pool.request(
                'POST',
                f'http://127.0.0.1:{port}{path}',
                json=body if body is not None else {},
                headers=headers,
                timeout=TIMEOUT_S,
                retries=False,
            )
            return response.status, response.json()
        except (urllib3.exceptions.HTTPError, OSError):
            return 0, {}


def create_trial_caller(fleet, workers=16):
    """Create a caller that runs up to `workers` queries at once."""
    return TrialCaller(fleet, workers)


def read_operator_page(fleet, node, path):
    """Return a page of a node's operators' port as a document.

    Returns None when the node does not answer or refuses the request.
    """
    port = fleet.plan.nodes[node].operators
    pool = processes.create_pool(1)
    try:
        status, document = processes.call_json(
            pool, 'GET', port, f'/v1/operator/{path}'
        )
    except (urllib3.exceptions.HTTPError, OSError):
        return None
    return document if status == 200 else None
