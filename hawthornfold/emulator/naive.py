"""A naive version of the tier, the baseline of the benchmarks.

It has the HTTP interface for callers, the rules and the configuration of the
tier. It sends one request per shard to a random replica, waits for the replies
until the rule's deadline and answers with those that have arrived. It has no
hedges, no retries, no owners and no queues.
"""

import dataclasses
import itertools
import random
import signal
import sys
import typing

import cappa
import eventlet
from eventlet import wsgi
import msgspec
import urllib3

from hawthornfold import rules
from hawthornfold import snapshots
from hawthornfold.clock import create_system_clock
from hawthornfold.codes import ResultCode

_SERVICES = 'services/'
_MAX_BODY_BYTES = 65_536
# Idle connections kept per server; further ones are opened when all are in
# use. Six nodes that keep four each stay below the 25 connections that a small
# server accepts.
_POOLED_CONNECTIONS = 4
_JSON = [('Content-Type', 'application/json')]


def merge_answers(answers, limit):
    """Merge the answers of shards by sorting all hits.

    Differential tests compare the merge of the tier with this one.

    Parameters
    ----------
    answers : sequence of dict
        ``{"shard", "total", "hits": [{"id", "score", "text"}]}`` each.
    limit : int
        Maximum number of hits.

    Returns
    -------
    tuple of (int, list of dict)
        Sum of the totals, and the best hits by descending score, then by id.

    Examples
    --------
    >>> one = {'total': 1, 'hits': [{'id': 'b', 'score': 2}]}
    >>> two = {'total': 3, 'hits': [{'id': 'a', 'score': 2}]}
    >>> merge_answers([one, two], 1)
    (4, [{'id': 'a', 'score': 2}])
    """
    hits = [hit for answer in answers for hit in answer['hits']]
    hits.sort(key=lambda hit: (-hit['score'], hit['id']))
    return sum(answer['total'] for answer in answers), hits[:limit]


class ShardOutcome(typing.NamedTuple):
    """Outcome of the request to one shard.

    Parameters
    ----------
    shard : str
        Name of the shard.
    answer : dict or None
        The answer of the shard; None without a usable reply.
    is_refused : bool
        Whether the server replied that it ran nothing.
    """

    shard: str
    answer: dict | None
    is_refused: bool


class NaiveConfiguration:
    """Rules and service groups as last polled from the platform."""

    def __init__(self, address, pool):
        self._address = address
        self._pool = pool
        self._revision = 0
        self._rules = None
        self._groups = {}

    @property
    def is_ready(self):
        """Whether rules have been received."""
        return self._rules is not None

    @property
    def revision(self):
        """Platform revision of the last poll."""
        return self._revision

    @property
    def rules(self):
        """The `RuleSet` in force."""
        return self._rules

    def find_group(self, name):
        """Return the `ServiceGroup` called `name`, or None."""
        return self._groups.get(name)

    def poll_changes(self, wait_ms):
        """Apply changes from the platform; wait up to `wait_ms` for one."""
        response = self._pool.request(
            'GET',
            f'http://{self._address}/v1/keys'
            f'?since={self._revision}&wait_ms={wait_ms}',
            timeout=wait_ms / 1000.0 + 5.0,
            retries=False,
        )
        document = response.json()
        for name, entry in document['keys'].items():
            if entry['value'] is not None:
                self._apply_key(name, entry['value'].encode())
        self._revision = document['revision']

    def _apply_key(self, name, value):
        if name == 'rules':
            self._rules = rules.compile_rules(value).unwrap()
        elif name.startswith(_SERVICES):
            group = name.removeprefix(_SERVICES)
            parsed = snapshots.parse_service_group(group, value)
            self._groups[group] = parsed.unwrap()


class NaiveNode:
    """An entry node of the naive version."""

    def __init__(self, name, data_centre, configuration, pool, clock):
        self._name = name
        self._data_centre = data_centre
        self._configuration = configuration
        self._pool = pool
        self._clock = clock
        # The start time keeps the request ids of two incarnations of a node
        # distinct.
        self._request_id_prefix = f'{name}-{clock.wall_ms():x}'
        self._request_numbers = itertools.count(1)
        self._random = random.Random(self._request_id_prefix)

    def handle_request(self, environ, start_response):
        """Serve one HTTP request as a WSGI application."""
        path = environ['PATH_INFO']
        if path == '/readyz':
            is_ready = self._configuration.is_ready
            status = '200 OK' if is_ready else '503 Service Unavailable'
            start_response(status, _JSON)
            return [b'{}']
        if path != '/v1/query':
            start_response('404 Not Found', _JSON)
            return [b'{}']
        try:
            body = environ['wsgi.input'].read(_MAX_BODY_BYTES)
            query = msgspec.json.decode(body)
            headers = {
                name[5:].replace('_', '-').lower(): value
                for name, value in environ.items()
                if name.startswith('HTTP_')
            }
            answer = self.run_query(query, headers)
        except (msgspec.DecodeError, KeyError, TypeError) as error:
            start_response('400 Bad Request', _JSON)
            code = ResultCode.REQUEST_MALFORMED
            failure = {'outcome': 'refused', 'code': code, 'ran': 'no'}
            return [msgspec.json.encode(failure | {'detail': str(error)})]
        is_answer = answer['outcome'] in ('complete', 'partial')
        status = '200 OK' if is_answer else '503 Service Unavailable'
        start_response(status, _JSON)
        return [msgspec.json.encode(answer)]

    def run_query(self, query, headers):
        """Run one query; return the answer document."""
        start_ms = self._clock.now_ms()
        request_id = f'{self._request_id_prefix}-{next(self._request_numbers)}'
        facts = rules.RequestFacts(
            query['service'],
            query['kind'],
            headers.get('x-caller-class', ''),
            'POST',
            '/v1/query',
            headers,
            self._data_centre,
        )
        decision = self._configuration.rules.match(facts)
        if decision is None:
            code = ResultCode.RULE_NOT_MATCHED
            return self._refuse(request_id, code, start_ms)
        group = self._configuration.find_group(query['service'])
        if group is None:
            code = ResultCode.SERVICE_UNKNOWN
            return self._refuse(request_id, code, start_ms)
        layout = group.layouts[-1]
        end_ms = start_ms + decision.deadline_ms
        outcomes = self._query_shards(request_id, group, layout, query, end_ms)
        return self._build_answer(
            request_id, decision, layout, outcomes, query, start_ms
        )

    def _query_shards(self, request_id, group, layout, query, end_ms):
        """Query all shards; return the outcomes that arrive until `end_ms`."""
        outcomes = []
        greenlets = [
            eventlet.spawn(
                self._query_shard,
                group.servers[self._random.choice(shard.replicas)],
                {
                    'request_id': request_id,
                    'attempt': 1,
                    'snapshot': layout.snapshot,
                    'deadline_ms': max(end_ms - self._clock.now_ms(), 0.0),
                    'shards': [shard.name],
                    'kind': query['kind'],
                    'text': query['text'],
                    'limit': query['limit'],
                },
                outcomes,
            )
            for shard in layout.shards
        ]
        remaining_s = max(end_ms - self._clock.now_ms(), 0.0) / 1000.0
        with eventlet.Timeout(remaining_s, False):
            for greenlet in greenlets:
                greenlet.wait()
        for greenlet in greenlets:
            greenlet.kill()
        return outcomes

    def _query_shard(self, server, body, outcomes):
        shard = body['shards'][0]
        try:
            response = self._pool.request(
                'POST',
                f'http://{server.address}/v1/search',
                body=msgspec.json.encode(body),
                headers={'Content-Type': 'application/json'},
                timeout=body['deadline_ms'] / 1000.0 + 1.0,
                retries=False,
                redirect=False,
            )
            reply = msgspec.json.decode(response.data)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError):
            outcomes.append(ShardOutcome(shard, None, False))
            return
        if response.status == 200:
            outcomes.append(ShardOutcome(shard, reply['answers'][0], False))
        else:
            outcomes.append(
                ShardOutcome(shard, None, reply.get('ran') is False)
            )

    def _build_answer(
        self, request_id, decision, layout, outcomes, query, start_ms
    ):
        answers = [o.answer for o in outcomes if o.answer is not None]
        answered = {answer['shard'] for answer in answers}
        missing = [s.name for s in layout.shards if s.name not in answered]
        refused = sum(outcome.is_refused for outcome in outcomes)
        total, hits = merge_answers(answers, query['limit'])
        code = ResultCode.OK
        outcome, ran = 'complete', 'yes'
        if missing:
            code = ResultCode.PARTIAL
            outcome, ran = 'partial', 'unknown'
        if not answers:
            code = ResultCode.DEADLINE_EXCEEDED
            outcome = 'failed'
        if refused == len(layout.shards):
            code = ResultCode.BACKEND_REFUSED
            outcome, ran = 'refused', 'no'
        return {
            'request_id': request_id,
            'ticket': None,
            'outcome': outcome,
            'code': int(code),
            'detail': code.summary,
            'ran': ran,
            'snapshot': layout.snapshot,
            'coverage': {
                'answered_weight': sum(
                    s.weight for s in layout.shards if s.name in answered
                ),
                'total_weight': layout.total_weight,
                'missing_shards': missing,
            },
            'total': total,
            'hits': hits,
            'rule': decision.rule,
            'revision': self._configuration.revision,
            'latency_ms': self._clock.now_ms() - start_ms,
        }

    def _refuse(self, request_id, code, start_ms):
        return {
            'request_id': request_id,
            'outcome': 'refused',
            'code': int(code),
            'detail': code.summary,
            'ran': 'no',
            'latency_ms': self._clock.now_ms() - start_ms,
        }


def _poll_forever(configuration, clock):
    while True:
        try:
            configuration.poll_changes(wait_ms=10_000)
        except urllib3.exceptions.HTTPError:
            clock.sleep_ms(500)


def run_naive(settings_path):
    """Run a naive entry node until SIGTERM; return the exit status.

    Parameters
    ----------
    settings_path : path
        Settings file of a node of the tier, as JSON without comments.
    """
    with open(settings_path, 'rb') as file:
        settings = msgspec.json.decode(file.read())
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    clock = create_system_clock()
    pool = urllib3.PoolManager(
        num_pools=1000, maxsize=_POOLED_CONNECTIONS, retries=False
    )
    configuration = NaiveConfiguration(
        settings['platform']['addresses'][0], pool
    )
    eventlet.spawn(_poll_forever, configuration, clock)
    node = NaiveNode(
        settings['node']['name'],
        settings['node']['data_centre'],
        configuration,
        pool,
        clock,
    )
    address = (settings['node']['host'], settings['callers']['port'])
    wsgi.server(
        eventlet.listen(address, backlog=512),
        node.handle_request,
        log_output=False,
        max_size=10_000,
    )
    return 0


@cappa.command(name='naive')
@dataclasses.dataclass
class NaiveCommand:
    """Run an entry node of the naive version."""

    settings: typing.Annotated[str, cappa.Arg(long=True)]

    def __call__(self):
        """Serve until SIGTERM."""
        raise cappa.Exit(code=run_naive(self.settings))
