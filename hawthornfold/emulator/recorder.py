"""Records the outcomes and latencies of a load generator's requests."""

import resource

from hdrh import histogram

URGENCIES = ('urgent', 'ordinary', 'background')
_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 3


def create_histogram():
    """Create an empty histogram of latencies in microseconds."""
    return histogram.HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)


class Recorder:
    """Collects the outcome of each request, by urgency."""

    def __init__(self):
        self._histograms = {name: create_histogram() for name in URGENCIES}
        self._counts = {name: _empty_counts() for name in URGENCIES}
        self._codes = {}
        self._claims = []
        self._drops = []
        # Processor time spent on loading modules does not count.
        self._started_seconds = _read_processor_time()
        self._send_delays_us = create_histogram()

    def record_send(self, late_ms):
        """Record by how much a request was sent after its scheduled time."""
        self._send_delays_us.record_value(_to_us(late_ms))

    def record_claim(self, answer, latency_ms):
        """Record what an answer claims, for a comparison with the ledger.

        Parameters
        ----------
        answer : dict
            Decoded body.
        latency_ms : float
            From sending the request to the end of the answer.
        """
        self._claims.append(
            (
                answer.get('request_id'),
                answer.get('ran'),
                answer.get('outcome'),
                round(latency_ms, 3),
                answer.get('latency_ms'),
            )
        )

    def record_answer(self, kind, answer, latency_ms):
        """Count an answer by outcome, code and coverage.

        Parameters
        ----------
        kind : QueryKind
            Kind of the query.
        answer : dict
            Decoded body.
        latency_ms : float
            From the scheduled time of the request to the end of the answer.
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
            counts['full'] += share == 1.0
            counts['coverage_sum'] += share
        codes = self._codes.setdefault(kind.service, {})
        code = str(answer.get('code'))
        codes[code] = codes.get(code, 0) + 1

    def record_drop(self, kind, target, latency_ms, error):
        """Count a request that received no answer.

        Parameters
        ----------
        kind : QueryKind
            Kind of the query.
        target : str
            Entry node that the request was sent to.
        latency_ms : float
            From the scheduled time of the request to the failure.
        error : str
            Error of the HTTP client.
        """
        counts = self._counts[kind.urgency]
        self._histograms[kind.urgency].record_value(_to_us(latency_ms))
        counts['sent'] += 1
        counts['dropped'] += 1
        self._drops.append((target, error))

    def results(self):
        """Return all records and counts as a document for JSON."""
        return {
            'histograms': {
                name: value.encode().decode()
                for name, value in self._histograms.items()
            },
            'late': self._send_delays_us.encode().decode(),
            'counts': self._counts,
            'codes': self._codes,
            'claims': self._claims,
            'drops': self._drops,
            'processor_seconds': _read_processor_time()
            - self._started_seconds,
        }


def _read_processor_time():
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _empty_counts():
    names = (
        'sent',
        'good',
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
    return min(max(int(latency_ms * 1000.0), 1), _MAX_LATENCY_US)


def merge_results(documents):
    """Merge the results of several generator processes.

    Returns
    -------
    dict
        The fields of `Recorder.results`, with ``histograms`` and ``late`` as
        `HdrHistogram` objects.
    """
    merged = {
        'histograms': {name: create_histogram() for name in URGENCIES},
        'late': create_histogram(),
        'counts': {name: _empty_counts() for name in URGENCIES},
        'codes': {},
        'claims': [],
        'drops': [],
        'processor_seconds': 0.0,
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
        for service, found in document['codes'].items():
            codes = merged['codes'].setdefault(service, {})
            for code, count in found.items():
                codes[code] = codes.get(code, 0) + count
        merged['processor_seconds'] += document['processor_seconds']
        merged['claims'].extend(document['claims'])
        merged['drops'].extend(document['drops'])
    return merged
