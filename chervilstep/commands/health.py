"""Commands that record the health of upstreams and share load reports."""

from collections.abc import Iterable
from typing import Final, TypeAlias, final

from chervilstep.calls import Attempt, Ending, Outcome
from chervilstep.exceptions import PeerError
from chervilstep.fields import require_range, require_table, require_type
from chervilstep.hooks import (
    ATTEMPT_END_HOOKS,
    ATTEMPT_START_HOOKS,
    HANDLERS,
    MESSAGES,
    every,
)
from chervilstep.messages import Message
from chervilstep.node import Node
from chervilstep.queries.backoff import doubled_seconds
from chervilstep.queries.coldstart import cold_rate, cold_tokens
from chervilstep.queries.fleet import reachable_zone_peers
from chervilstep.queries.hedging import hedge_delay as late_after
from chervilstep.queries.outcomes import is_failure, is_good_answer
from chervilstep.queries.placement_probes import probe_tokens
from chervilstep.queries.soonest import SOONEST
from chervilstep.queries.throttling import active_throttle, describe_throttle
from chervilstep.reports import LoadReport
from chervilstep.services import Service, Upstream
from chervilstep.types import MS_PER_SECOND, Instant, new_deadline

HEALTH_RANK: Final = 20
#: Runs before the other commands, which change the state that is logged.
EVENT_RANK: Final = 5
#: The interval at which new reports are sent to peers.
UPDATE_PERIOD_SECONDS: Final = 0.05
#: How long a first failure closes an upstream; each further one doubles this.
FIRST_CLOSE_SECONDS: Final = 0.25
MAX_CLOSE_SECONDS: Final = 4.0
#: How long an upstream is closed when its address belongs to another one.
MOVED_CLOSE_SECONDS: Final = 30.0
#: The number of consecutive failures that close an upstream. A single failure
#: to connect is enough.
MAX_FAILURES: Final = 2
#: Older reports are not sent, since they no longer show the current load.
MAX_REPORT_AGE_SECONDS: Final = 2.0
#: The greatest number of requests or slots, slowdown and age that a peer may
#: report.
MAX_REPORTED_COUNT: Final = 10**9
MAX_REPORT_AGE_MS: Final = 10**9

_ENTRY_FIELDS: Final = 5
#: Running and waiting requests, slots, slowdown and age in milliseconds.
ReportEntry: TypeAlias = tuple[int, int, int, float, int]


@MESSAGES.register('loads')
@final
class LoadUpdate(Message):
    """A peer message with the newest load reports."""

    __slots__ = ('_reports',)

    kind = 'loads'
    fields = ('reports',)

    def __init__(self, reports: dict[str, ReportEntry]) -> None:
        """Creates a message of reports by the upstream's name."""
        self._reports = require_table(reports)

    @property
    def reports(self) -> dict[str, ReportEntry]:
        """The reports by the upstream's name."""
        return self._reports


@ATTEMPT_START_HOOKS.register(HEALTH_RANK)
def spend_cold_token(node: Node, attempt: Attempt) -> None:
    """Spends the token of a call to a cold upstream."""
    service = node.snapshot.services.get(attempt.ticket.route.service)
    health = node.health.by_upstream.get(attempt.upstream.name)
    if service is None or service.cold_start is None or health is None:
        return
    now = attempt.started_at
    if not health.is_cold(now):
        return
    rate = cold_rate(node, service.cold_start, attempt.upstream)
    health.update_cold_tokens(cold_tokens(health, rate, now) - 1, now)


@ATTEMPT_END_HOOKS.register(EVENT_RANK)
def log_attempt(node: Node, attempt: Attempt, outcome: Outcome) -> None:
    """Logs attempts that failed, were late, repeated or within a limit."""
    seconds = outcome.ended_at - attempt.started_at
    late_seconds = late_after(node, attempt.ticket)
    is_late = late_seconds is not None and seconds > late_seconds
    is_first_success = is_good_answer(outcome) and attempt.number == 1
    throttle = active_throttle(node, attempt.upstream.name)
    if is_first_success and not is_late and throttle is None:
        return
    health = node.health.by_upstream.get(attempt.upstream.name)
    report = health.report if health else None
    node.events.add(
        'attempt_ended',
        request=attempt.ticket.call.request_id,
        number=attempt.number,
        upstream=attempt.upstream.name,
        zone=attempt.upstream.zone,
        ending=outcome.ending.value,
        verdict=outcome.verdict.value,
        fault=outcome.fault,
        seconds=round(seconds, 4),
        in_flight=node.loads.in_flight(attempt.upstream.name),
        report_age=round(outcome.ended_at - report.measured_at, 3)
        if report
        else None,
        slowdown=report.slowdown if report else None,
        cold=bool(health and health.is_cold(attempt.started_at)),
        limit=describe_throttle(throttle, outcome.ended_at)
        if throttle
        else None,
    )


@ATTEMPT_END_HOOKS.register(HEALTH_RANK)
def record_attempt_health(
    node: Node, attempt: Attempt, outcome: Outcome
) -> None:
    """Updates the health of an upstream with the outcome of an attempt."""
    service = node.snapshot.services.get(attempt.ticket.route.service)
    if service is None or service.policy != SOONEST:
        return
    name = attempt.upstream.name
    health = node.health.upstream_health(name)
    now = outcome.ended_at
    if outcome.report is not None:
        record_report(node, service, name, outcome.report)
        node.health.queue_report(name, outcome.report)
    if outcome.ending is Ending.MOVED:
        record_moved_address(node, name, now)
    elif is_failure(outcome):
        health.record_outcome(now, has_failed=True)
        _close_after_failure(node, service, name, outcome.ending, now)
    elif outcome.ending is Ending.ANSWERED:
        health.record_outcome(now, has_failed=False)


def record_report(
    node: Node, service: Service, upstream: str, report: LoadReport
) -> None:
    """Stores a report, unless a newer one is known."""
    health = node.health.upstream_health(upstream)
    if (
        health.report is not None
        and health.report.measured_at >= report.measured_at
    ):
        return
    own = node.loads.in_flight(upstream)
    other_in_flight = max(0, report.running + report.waiting - own)
    health.record_report(report, other_in_flight)
    node.health.service_means(
        service.name, is_limited=active_throttle(node, upstream) is not None
    ).record_report(report.slowdown, other_in_flight)


@every(UPDATE_PERIOD_SECONDS, 'loads')
def send_load_update(node: Node, now: Instant) -> None:
    """Sends the newest reports to the peers of this zone.

    Peers of other zones get none: traffic between zones is billed, and most
    calls stay in their zone.
    """
    unsent = node.health.unsent_reports
    if not unsent:
        return
    reports = {
        name: _encode_report(report, now)
        for name, report in unsent.items()
        if now - report.measured_at < MAX_REPORT_AGE_SECONDS
    }
    node.health.clear_unsent_reports()
    if reports:
        message = LoadUpdate(reports)
        for peer in reachable_zone_peers(node):
            node.outbox.put(peer, message)


@HANDLERS.register('loads')
def handle_load_update(
    node: Node, peer: str, message: Message, now: Instant
) -> None:
    """Stores the reports that a peer has sent."""
    assert isinstance(message, LoadUpdate)
    services = {
        upstream.name: service
        for service in node.snapshot.services.values()
        for upstream in service.upstreams
        if upstream.name in message.reports
    }
    for name, service in services.items():
        report = _decode_report(message.reports[name], now)
        record_report(node, service, name, report)


def spend_probe_tokens(
    node: Node, upstreams: Iterable[Upstream], now: Instant
) -> None:
    """Spends the tokens of the placement probes that precede a call."""
    for upstream in upstreams:
        tokens = probe_tokens(node, upstream, now)
        node.health.upstream_health(upstream.name).update_probe_tokens(
            tokens - 1, now
        )


def record_health_check(
    node: Node,
    service: Service,
    upstream: str,
    report: LoadReport | None,
    cold_seconds: float | None,
    now: Instant,
) -> None:
    """Records the answer of an upstream to a health check."""
    if report is not None:
        record_report(node, service, upstream, report)
        node.health.queue_report(upstream, report)
    if not cold_seconds:
        return
    health = node.health.upstream_health(upstream)
    if not health.is_cold(now):
        node.events.add(
            'upstream_cold', upstream=upstream, seconds=round(cold_seconds, 2)
        )
    health.mark_cold(new_deadline(now, cold_seconds))


def record_failed_check(
    node: Node, service: Service, upstream: str, now: Instant
) -> None:
    """Records that a health check could not reach an upstream."""
    node.health.upstream_health(upstream).record_outcome(now, has_failed=True)
    _close_after_failure(node, service, upstream, Ending.CONNECT_FAILED, now)


def record_broken_check(
    node: Node, service: Service, upstream: str, fault: str, now: Instant
) -> None:
    """Records that a health check got a malformed answer.

    The upstream can be reached, so it has not just started.
    """
    node.counters.add('checks_broken', service=service.name)
    if node.throttles.may_log_unreadable(now):
        node.throttles.record_unreadable_log(now)
        node.events.add('check_broken', upstream=upstream, fault=fault)
    node.health.upstream_health(upstream).record_outcome(now, has_failed=True)
    _close_after_failure(node, service, upstream, Ending.BAD_ANSWER, now)


def record_moved_address(node: Node, upstream: str, now: Instant) -> None:
    """Records that the address of an upstream belongs to another one."""
    health = node.health.upstream_health(upstream)
    health.record_outcome(now, has_failed=True)
    health.close(new_deadline(now, MOVED_CLOSE_SECONDS))


def _close_after_failure(
    node: Node, service: Service, upstream: str, ending: Ending, now: Instant
) -> None:
    health = node.health.upstream_health(upstream)
    is_unreachable = ending is Ending.CONNECT_FAILED
    if health.failures < MAX_FAILURES and not is_unreachable:
        return
    seconds = doubled_seconds(
        FIRST_CLOSE_SECONDS, health.failures - 1, MAX_CLOSE_SECONDS
    )
    closed_until = new_deadline(now, seconds)
    health.close(closed_until)
    node.events.add(
        'upstream_closed',
        upstream=upstream,
        ending=ending.value,
        failures=health.failures,
        seconds=seconds,
    )
    if is_unreachable and service.cold_start is not None:
        # A server that answers at this address afterwards has just started.
        cold_until = new_deadline(closed_until.at, service.cold_start.seconds)
        health.mark_cold(cold_until.later(health.cold_until))


def _encode_report(report: LoadReport, now: Instant) -> ReportEntry:
    age_ms = int(max(0, now - report.measured_at) * MS_PER_SECOND)
    return (
        report.running,
        report.waiting,
        report.slots,
        round(report.slowdown, 2),
        age_ms,
    )


def _decode_report(entry: ReportEntry, now: Instant) -> LoadReport:
    if not isinstance(entry, (list, tuple)) or len(entry) != _ENTRY_FIELDS:
        raise PeerError('load report is not a list of five fields')
    *counts, slowdown, age_ms = entry
    running, waiting, slots = (
        require_range(require_type(count, int), MAX_REPORTED_COUNT)
        for count in counts
    )
    require_range(slowdown, MAX_REPORTED_COUNT)
    require_range(require_type(age_ms, int), MAX_REPORT_AGE_MS)
    measured_at = now - age_ms / MS_PER_SECOND
    return LoadReport(running, waiting, slots, slowdown, measured_at)
