"""Generates open-loop load on the entry nodes and measures the answers.

Arrival times are drawn from a seed before the run, and a request's latency
counts from its intended arrival. A slow tier therefore does not slow down the
load, and time spent waiting in the generator or at a full node counts as
latency.
"""

import dataclasses
import json
import pathlib
import random
import typing

import cappa
import eventlet
import urllib3

from hawthornfold.clock import create_system_clock
from hawthornfold.emulator import balancer as balancers
from hawthornfold.emulator import recorder as recorders

_POLL_MS = 200
# Timeout for an answer, longer than any rule's deadline. A request without an
# answer by then counts as lost.
_ANSWER_LIMIT_S = 8.0
_TICKET_REQUIRED = 428


class QueryKind(typing.NamedTuple):
    """One kind of request in a mix.

    Parameters
    ----------
    service, kind, caller_class : str
        Fields of the request.
    texts : tuple of str
        Query texts to choose from at random.
    weight : float
        Share of the mix, relative to the others.
    urgency : str
        Urgency that the matching rule assigns.
    deadline_ms : int
        Deadline that the rule assigns, in ms.
    coverage_percent : int
        Coverage that the rule requires.
    """

    service: str
    kind: str
    caller_class: str
    texts: tuple[str, ...]
    weight: float
    urgency: str
    deadline_ms: int
    coverage_percent: int


class Arrival(typing.NamedTuple):
    """A request to send: ms after the start, index of its kind, and text."""

    at_ms: float
    kind: int
    text: str


class LoadSpec(typing.NamedTuple):
    """Spec of one generator process.

    Parameters
    ----------
    seed : int
        Seed of arrivals, kinds and texts.
    rate : float
        Mean arrivals per second of this process.
    seconds : float
        Length of the run in seconds.
    start_wall_ms : int
        Start of the run, in ms since the Unix epoch.
    lag_ms : float
        Lag of the emulated load balancer in ms.
    targets : tuple
        (name, port) of each entry node.
    mix : tuple of QueryKind
        Kinds of requests.
    output : str
        Path of the JSON file for the results.
    warm_up_ms : float
        Requests that arrive before this time are sent but not measured.
    """

    seed: int
    rate: float
    seconds: float
    start_wall_ms: int
    lag_ms: float
    targets: tuple
    mix: tuple[QueryKind, ...]
    output: str
    warm_up_ms: float = 0.0


def build_schedule(seed, rate, seconds, mix):
    """Draw the Poisson arrivals of a run.

    Parameters
    ----------
    seed : int
        The same seed gives the same schedule.
    rate : float
        Mean arrivals per second.
    seconds : float
        Length of the run in seconds.
    mix : sequence of QueryKind
        Kinds of requests.

    Returns
    -------
    list of Arrival
        Ordered by time.

    Examples
    --------
    >>> kind = QueryKind('s', 'search', 'c', ('a',), 1, 'urgent', 400, 95)
    >>> schedule = build_schedule(7, 100, 2.0, [kind])
    >>> schedule == build_schedule(7, 100, 2.0, [kind])
    True
    >>> schedule[-1].at_ms < 2000
    True
    """
    generator = random.Random(f'load {seed}')
    weights = [kind.weight for kind in mix]
    arrivals = []
    at_ms = generator.expovariate(rate) * 1000.0
    while at_ms < seconds * 1000.0:
        index = generator.choices(range(len(mix)), weights)[0]
        text = generator.choice(mix[index].texts)
        arrivals.append(Arrival(at_ms, index, text))
        at_ms += generator.expovariate(rate) * 1000.0
    return arrivals


def read_spec(path):
    """Read a `LoadSpec` from a JSON file."""
    document = json.loads(pathlib.Path(path).read_text())
    mix = tuple(
        QueryKind(**(kind | {'texts': tuple(kind['texts'])}))
        for kind in document['mix']
    )
    return LoadSpec(**(document | {'mix': mix}))


def dump_spec(spec):
    """Return a `LoadSpec` as a document that `read_spec` can load."""
    return spec._asdict() | {'mix': [kind._asdict() for kind in spec.mix]}


def send_query(pool, url, kind, text, limit=10):
    """Send a query as a caller does; return status and answer.

    A node refuses a request that must run at most once if it carries no
    ticket, and issues one. The request is then sent again with that ticket.

    Parameters
    ----------
    pool : urllib3.HTTPConnectionPool or urllib3.PoolManager
        Connections to use.
    url : str
        URL of the query endpoint.
    kind : QueryKind
        Supplies the service, kind and caller class.
    text : str
        Text of the query.
    limit : int
        Maximum number of hits to return.

    Raises
    ------
    urllib3.exceptions.HTTPError
        When no answer arrives.
    ValueError
        When the answer is not JSON.
    """
    headers = {'X-Caller-Class': kind.caller_class}
    query = {
        'service': kind.service,
        'kind': kind.kind,
        'text': text,
        'limit': limit,
    }
    while True:
        response = pool.request(
            'POST',
            url,
            json=query,
            headers=headers,
            timeout=_ANSWER_LIMIT_S,
            retries=False,
            redirect=False,
        )
        answer = response.json()
        needs_ticket = response.status == _TICKET_REQUIRED
        if not needs_ticket or 'X-Ticket' in headers:
            return response.status, answer
        headers['X-Ticket'] = answer['ticket']


class LoadGenerator:
    """Sends the requests of one `LoadSpec`."""

    def __init__(self, spec, clock):
        self._spec = spec
        self._clock = clock
        self._recorder = recorders.Recorder()
        self._balancer = balancers.create_balancer(
            [balancers.Target(name, port) for name, port in spec.targets],
            spec.lag_ms,
        )
        # The pool keeps idle connections and opens more when all are in use,
        # so it never delays a request.
        self._pools = {
            target.name: urllib3.HTTPConnectionPool(
                '127.0.0.1', target.port, maxsize=256, retries=False
            )
            for target in self._balancer.targets
        }

    def run(self):
        """Send all requests; return the results as a JSON document."""
        spec = self._spec
        schedule = build_schedule(spec.seed, spec.rate, spec.seconds, spec.mix)
        pollers = [
            eventlet.spawn(self._poll, target)
            for target in self._balancer.targets
        ]
        until_start_ms = spec.start_wall_ms - self._clock.wall_ms()
        start_ms = self._clock.now_ms() + max(until_start_ms, 0)
        workers = eventlet.GreenPool(size=100_000)
        for arrival in schedule:
            wait_ms = start_ms + arrival.at_ms - self._clock.now_ms()
            if wait_ms > 0:
                self._clock.sleep_ms(wait_ms)
            workers.spawn_n(self._send, arrival, start_ms + arrival.at_ms)
        workers.waitall()
        for poller in pollers:
            poller.kill()
        return self._recorder.results()

    def _send(self, arrival, intended_ms):
        kind = self._spec.mix[arrival.kind]
        sent_ms = self._clock.now_ms()
        is_measured = arrival.at_ms >= self._spec.warm_up_ms
        if is_measured:
            self._recorder.record_send(sent_ms - intended_ms)
        self._balancer.apply_polls(sent_ms)
        target = self._balancer.next_target()
        self._balancer.advance_turn()
        try:
            _, answer = send_query(
                self._pools[target.name], '/v1/query', kind, arrival.text
            )
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            if is_measured:
                latency_ms = self._clock.now_ms() - intended_ms
                self._recorder.record_drop(
                    kind, target.name, latency_ms, type(error).__name__
                )
            return
        now_ms = self._clock.now_ms()
        self._recorder.record_claim(answer, now_ms - sent_ms)
        if is_measured:
            self._recorder.record_answer(kind, answer, now_ms - intended_ms)

    def _poll(self, target):
        pool = urllib3.HTTPConnectionPool('127.0.0.1', target.port)
        while True:
            try:
                response = pool.request(
                    'GET', '/readyz', timeout=1.0, retries=False
                )
                is_ready = response.status == 200
            except urllib3.exceptions.HTTPError:
                is_ready = False
            self._balancer.record_poll(
                target.name, is_ready, self._clock.now_ms()
            )
            self._clock.sleep_ms(_POLL_MS)


def run_load(spec_path):
    """Run one generator process; return its exit status.

    Parameters
    ----------
    spec_path : path
        File with a `LoadSpec` as JSON.
    """
    spec = read_spec(spec_path)
    results = LoadGenerator(spec, create_system_clock()).run()
    pathlib.Path(spec.output).write_text(json.dumps(results))
    return 0


@cappa.command(name='load')
@dataclasses.dataclass
class LoadCommand:
    """Send open-loop load to entry nodes."""

    spec: typing.Annotated[str, cappa.Arg(long=True)]

    def __call__(self):
        """Run one generator process."""
        raise cappa.Exit(code=run_load(self.spec))
