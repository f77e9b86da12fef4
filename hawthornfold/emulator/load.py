"""Open-loop load on the entry nodes, and what came of it.

Arrival times are drawn before the run from a seed, and a request's latency
counts from its intended arrival. A slow tier therefore cannot slow the load
down, and waiting behind the generator or a full node counts as latency.
"""

import json
import pathlib
import random
import typing

import eventlet
from hdrh import histogram
import urllib3

from hawthornfold.clock import create_system_clock
from hawthornfold.emulator import balancer as balancers

URGENCIES = ('urgent', 'ordinary', 'background')
_POLL_MS = 200
_HIGHEST_US = 60_000_000
_DIGITS = 3
# Longer than any rule's deadline: an answer that is still missing by then
# counts as lost.
_ANSWER_LIMIT_S = 8.0


class QueryKind(typing.NamedTuple):
    """One kind of request of a mix.

    Parameters
    ----------
    service, kind, caller_class : str
        Fields of the request.
    texts : tuple of str
        Texts to draw from.
    weight : float
        Share of the mix, relative to the others.
    urgency : str
        What the rule that matches gives to the request.
    deadline_ms : int
        Deadline of that rule.
    coverage_percent : int
        Coverage that rule asks for.
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
    """One request to send: ms after the start, index of kind, and text."""

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
        Length of the run.
    start_wall_ms : int
        Start of the run, in ms since the Unix epoch.
    lag_ms : float
        Lag of the load balancer stand-in.
    targets : tuple
        (name, port) of each entry node.
    mix : tuple of QueryKind
        Kinds of requests.
    output : str
        File for the results, JSON.
    """

    seed: int
    rate: float
    seconds: float
    start_wall_ms: int
    lag_ms: float
    targets: tuple
    mix: tuple[QueryKind, ...]
    output: str


def build_schedule(seed, rate, seconds, mix):
    """Draw the Poisson arrivals of a run.

    Parameters
    ----------
    seed : int
        The same seed gives the same schedule.
    rate : float
        Mean arrivals per second.
    seconds : float
        Length of the run.
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
    source = random.Random(f'load {seed}')
    weights = [kind.weight for kind in mix]
    arrivals = []
    at_ms = source.expovariate(rate) * 1000.0
    while at_ms < seconds * 1000.0:
        index = source.choices(range(len(mix)), weights)[0]
        text = source.choice(mix[index].texts)
        arrivals.append(Arrival(at_ms, index, text))
        at_ms += source.expovariate(rate) * 1000.0
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
    """Turn a `LoadSpec` into a document that `read_spec` reads."""
    return spec._asdict() | {'mix': [kind._asdict() for kind in spec.mix]}


def create_histogram():
    """Create a histogram of latencies in microseconds."""
    return histogram.HdrHistogram(1, _HIGHEST_US, _DIGITS)


class Recorder:
    """Collects the outcome of each request, by urgency."""

    def __init__(self):
        self._histograms = {name: create_histogram() for name in URGENCIES}
        self._counts = {name: _empty_counts() for name in URGENCIES}
        self._codes = {}
        self._claims = []
        self._drops = []
        self._late_us = create_histogram()

    def record_send(self, late_ms):
        """Note how late after its intended arrival a request was sent."""
        self._late_us.record_value(_to_us(late_ms))

    def record_answer(self, kind, answer, latency_ms):
        """Note an answer.

        Parameters
        ----------
        kind : QueryKind
            What was asked.
        answer : dict
            Decoded body.
        latency_ms : float
            From the intended arrival to the whole answer.
        """
        counts = self._counts[kind.urgency]
        self._histograms[kind.urgency].record_value(_to_us(latency_ms))
        coverage = answer.get('coverage') or {}
        total = coverage.get('total_weight') or 0
        share = coverage.get('answered_weight', 0) / total if total else 0.0
        outcome = answer.get('outcome') or 'failed'
        is_good = (
            outcome in ('complete', 'partial')
            and share * 100.0 >= kind.coverage_percent
            and latency_ms <= kind.deadline_ms
        )
        counts['sent'] += 1
        counts[outcome] += 1
        counts['good'] += is_good
        if outcome in ('complete', 'partial'):
            counts['answered'] += 1
            counts['full'] += share == 1.0
            counts['coverage_sum'] += share
        code = str(answer.get('code'))
        self._codes[code] = self._codes.get(code, 0) + 1
        self._claims.append((answer.get('request_id'), answer.get('ran')))

    def record_drop(self, kind, target, latency_ms, error):
        """Note a request that got no answer at all.

        Parameters
        ----------
        kind : QueryKind
            What was asked.
        target : str
            Entry node that was asked.
        latency_ms : float
            From the intended arrival to the failure.
        error : str
            What the HTTP client saw.
        """
        counts = self._counts[kind.urgency]
        self._histograms[kind.urgency].record_value(_to_us(latency_ms))
        counts['sent'] += 1
        counts['dropped'] += 1
        self._drops.append((target, error))

    def results(self):
        """Return everything recorded, as a JSON document."""
        return {
            'histograms': {
                name: value.encode().decode()
                for name, value in self._histograms.items()
            },
            'late': self._late_us.encode().decode(),
            'counts': self._counts,
            'codes': self._codes,
            'claims': self._claims,
            'drops': self._drops,
        }


def _empty_counts():
    names = (
        'sent',
        'good',
        'answered',
        'full',
        'coverage_sum',
        'complete',
        'partial',
        'refused',
        'failed',
        'dropped',
    )
    return dict.fromkeys(names, 0)


def _to_us(latency_ms):
    return min(max(int(latency_ms * 1000.0), 1), _HIGHEST_US)


def merge_results(documents):
    """Merge the results of several generator processes.

    Returns
    -------
    dict
        As written by one process, with ``histograms`` and ``late`` decoded.
    """
    merged = {
        'histograms': {name: create_histogram() for name in URGENCIES},
        'late': create_histogram(),
        'counts': {name: _empty_counts() for name in URGENCIES},
        'codes': {},
        'claims': [],
        'drops': [],
    }
    for document in documents:
        merged['late'].decode_and_add(document['late'].encode())
        for name in URGENCIES:
            merged['histograms'][name].decode_and_add(
                document['histograms'][name].encode()
            )
            counts = merged['counts'][name]
            for key, value in document['counts'][name].items():
                counts[key] += value
        for code, count in document['codes'].items():
            merged['codes'][code] = merged['codes'].get(code, 0) + count
        merged['claims'].extend(document['claims'])
        merged['drops'].extend(document['drops'])
    return merged


class LoadGenerator:
    """Sends the requests of one spec."""

    def __init__(self, spec, clock):
        self._spec = spec
        self._clock = clock
        self._recorder = Recorder()
        self._balancer = balancers.create_balancer(
            [balancers.Target(name, port) for name, port in spec.targets],
            spec.lag_ms,
        )
        # Idle connections wait in the pool; more are opened when all are in
        # use, so the pool never holds an arrival back.
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
        ahead_ms = spec.start_wall_ms - self._clock.wall_ms()
        start_ms = self._clock.now_ms() + max(ahead_ms, 0)
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
        self._recorder.record_send(self._clock.now_ms() - intended_ms)
        self._balancer.advance(self._clock.now_ms())
        target = self._balancer.peek()
        self._balancer.step()
        try:
            response = self._pools[target.name].request(
                'POST',
                '/v1/query',
                json={
                    'service': kind.service,
                    'kind': kind.kind,
                    'text': arrival.text,
                    'limit': 10,
                },
                headers={'X-Caller-Class': kind.caller_class},
                timeout=_ANSWER_LIMIT_S,
                redirect=False,
            )
            answer = response.json()
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            self._recorder.record_drop(
                kind,
                target.name,
                self._clock.now_ms() - intended_ms,
                type(error).__name__,
            )
            return
        latency_ms = self._clock.now_ms() - intended_ms
        self._recorder.record_answer(kind, answer, latency_ms)

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
        A `LoadSpec` as JSON.
    """
    eventlet.monkey_patch()
    spec = read_spec(spec_path)
    results = LoadGenerator(spec, create_system_clock()).run()
    pathlib.Path(spec.output).write_text(json.dumps(results))
    return 0
