"""Applies what responses say about their servers.

Servers announce that they leave, request pauses and name rate limits.
"""

import logbook
import result

from hawthornfold.eligibility import MAX_PAUSE_MS
from hawthornfold.eligibility import PauseFault
from hawthornfold.eligibility import parse_rate_limit
from hawthornfold.eligibility import parse_retry_after_ms

_LOG = logbook.Logger('gateway')

# Minimum time between two log lines of one kind about a server. A server that
# requests short pauses, or sends invalid values, does so hundreds of times a
# second under load; the counters cover all of them.
LOG_INTERVAL_MS = 1_000.0
# Maximum number of characters of a header in a log line.
MAX_LOGGED_TEXT = 40


class ServerSignalHandler:
    """Applies signals to what the node knows of its servers, and reports them.

    Parameters
    ----------
    directory : ServerDirectory
        The servers.
    pauses : ServerPauses
        The pauses that servers have requested.
    rate_limits : RateLimitRegister
        The limits that servers have named.
    on_servers : callable
        Called with a list of `DirectoryEvent` after servers changed.
    clock, metrics : object
        The node's clock and metrics registry.
    """

    def __init__(
        self, directory, pauses, rate_limits, on_servers, clock, metrics
    ):
        self._directory = directory
        self._pauses = pauses
        self._rate_limits = rate_limits
        self._on_servers = on_servers
        self._clock = clock
        self._metrics = metrics
        # When a line was last logged, by event and server id, for at most
        # `LOG_INTERVAL_MS`.
        self._logged_ms = {}

    def requests_pause(self, signals):
        """Return whether the signals of a response request a pause."""
        return signals.is_full and self._parse(signals.retry_after).is_ok()

    def handle_leaving(self, record, now_ms):
        """Handle a response that announces that its server leaves.

        Parameters
        ----------
        record : ServerRecord
            The record that the request was sent by.
        now_ms : float
            Current time on the node's clock.
        """
        directory = self._directory
        if directory.has_announced(record):
            return
        events = directory.record_leaving(record, now_ms)
        if not directory.has_announced(record):
            return
        self._metrics.count('server_leaving_announcements')
        _LOG.notice(
            'event=server_leaving server={} service={} born_ms={}',
            record.server_id,
            record.service,
            record.born_ms,
        )
        self._set_gauges()
        self._on_servers(events)

    def handle_full(self, record, retry_after, now_ms):
        """Handle a response with status 503.

        Parameters
        ----------
        record : ServerRecord
            The record that the request was sent by.
        retry_after : str
            Its Retry-After, '' if it is missing.
        now_ms : float
            Current time on the node's clock.
        """
        current = self._directory.get(record.server_id)
        if current is None or record.is_replaced_by(current):
            self._metrics.count('server_pause_requests', outcome='obsolete')
            return
        parsed = self._parse(retry_after)
        if isinstance(parsed, result.Err):
            self._report_fault(record, retry_after, parsed.err_value, now_ms)
            return
        pause_ms = parsed.ok_value
        is_capped = pause_ms > MAX_PAUSE_MS
        outcome = 'capped' if is_capped else 'applied'
        self._metrics.count('server_pause_requests', outcome=outcome)
        was_paused = self._pauses.refuses(current, now_ms)
        self._pauses.record_pause(record, pause_ms, now_ms)
        self._set_gauges()
        if not was_paused and self._may_log('paused', record, now_ms):
            _LOG.notice(
                'event=server_paused server={} service={} pause_ms={:.0f} '
                'capped={} retry_after="{}"',
                record.server_id,
                record.service,
                min(pause_ms, MAX_PAUSE_MS),
                is_capped,
                _quote(retry_after),
            )

    def handle_limit(self, record, text, now_ms):
        """Handle a response that names a rate limit.

        Parameters
        ----------
        record : ServerRecord
            The record that the request was sent by.
        text : str
            The value of the header.
        now_ms : float
            Current time on the node's clock.
        """
        current = self._directory.get(record.server_id)
        if current is None or record.is_replaced_by(current):
            self._metrics.count('server_rate_limits', outcome='obsolete')
            return
        parsed = parse_rate_limit(text)
        if isinstance(parsed, result.Err):
            fault = parsed.err_value.value
            self._metrics.count('server_rate_limits', outcome=fault)
            if self._may_log('limit-ignored', record, now_ms):
                _LOG.warning(
                    'event=server_limit_ignored server={} service={} cause={} '
                    'limit="{}"',
                    record.server_id,
                    record.service,
                    fault,
                    _quote(text),
                )
            return
        self._metrics.count('server_rate_limits', outcome='applied')
        is_new = self._rate_limits.get(record.server_id) is None
        self._rate_limits.record_limit(record, parsed.ok_value, now_ms)
        if is_new:
            self._set_gauges()
            if self._may_log('limited', record, now_ms):
                _LOG.notice(
                    'event=server_limited server={} service={} '
                    'limit_per_s={:.2f}',
                    record.server_id,
                    record.service,
                    parsed.ok_value,
                )

    def handle_no_limit(self, record, sent_ms, now_ms):
        """Handle a response that names no rate limit.

        Parameters
        ----------
        record : ServerRecord
            The record that the request was sent by.
        sent_ms : float
            When the request was sent, on the node's clock.
        now_ms : float
            Current time on the node's clock.
        """
        if self._rate_limits.record_absence(record, sent_ms):
            self._report_unlimited(record, 'response', now_ms)

    def expire(self, now_ms):
        """End what is due; to be called at regular intervals."""
        for record in self._pauses.take_ended(now_ms):
            if self._may_log('ended', record, now_ms):
                _LOG.notice(
                    'event=server_pause_ended server={} service={}',
                    record.server_id,
                    record.service,
                )
        for record in self._rate_limits.take_expired(now_ms):
            self._report_unlimited(record, 'silence', now_ms)
        self._set_gauges()
        if self._logged_ms:
            self._logged_ms = {
                key: logged_ms
                for key, logged_ms in self._logged_ms.items()
                if now_ms - logged_ms < LOG_INTERVAL_MS
            }

    def _parse(self, retry_after):
        return parse_retry_after_ms(retry_after, self._clock.wall_ms())

    def _report_fault(self, record, retry_after, fault, now_ms):
        self._metrics.count('server_pause_requests', outcome=fault.value)
        # A 503 without the header is an ordinary failure.
        if fault is not PauseFault.MISSING and self._may_log(
            'ignored', record, now_ms
        ):
            _LOG.warning(
                'event=server_pause_ignored server={} service={} cause={} '
                'retry_after="{}"',
                record.server_id,
                record.service,
                fault.value,
                _quote(retry_after),
            )

    def _report_unlimited(self, record, cause, now_ms):
        self._set_gauges()
        if self._may_log('unlimited', record, now_ms):
            _LOG.notice(
                'event=server_unlimited server={} service={} cause={}',
                record.server_id,
                record.service,
                cause,
            )

    def _may_log(self, event, record, now_ms):
        """Return whether a line may be logged, and record that it is."""
        key = (event, record.server_id)
        logged_ms = self._logged_ms.get(key)
        if logged_ms is not None and now_ms - logged_ms < LOG_INTERVAL_MS:
            return False
        self._logged_ms[key] = now_ms
        return True

    def _set_gauges(self):
        self._metrics.set_gauge(
            'servers_announced_leaving', self._directory.announced_count
        )
        self._metrics.set_gauge('servers_paused', self._pauses.count)
        self._metrics.set_gauge('servers_limited', self._rate_limits.count)


def _quote(text):
    """Return a server's text for a log line, without quotes, shortened."""
    text = text[:MAX_LOGGED_TEXT].replace('"', '%22').replace('\\', '%5C')
    return ''.join(x if x.isprintable() else '?' for x in text)


def create_server_signal_handler(
    directory, pauses, rate_limits, on_servers, clock, metrics
):
    """Create the handler of the signals of a node's servers."""
    return ServerSignalHandler(
        directory, pauses, rate_limits, on_servers, clock, metrics
    )
