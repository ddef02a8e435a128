"""Learns the health and the load of upstreams, and tells peers of it."""

from collections.abc import Iterable
from typing import Final, TypeAlias, final

from chervilstep.calls import Attempt, Ending, Outcome
from chervilstep.exceptions import PeerError
from chervilstep.fields import checked_table
from chervilstep.hooks import (
    ATTEMPT_END_HOOKS,
    ATTEMPT_START_HOOKS,
    HANDLERS,
    MESSAGES,
    every,
)
from chervilstep.messages import Message
from chervilstep.node import Node
from chervilstep.queries.coldness import cold_rate, cold_tokens
from chervilstep.queries.fleet import zone_peers
from chervilstep.queries.hedging import patience as late_after
from chervilstep.queries.outcomes import is_failure, is_good_answer
from chervilstep.queries.scouting import question_tokens
from chervilstep.queries.soonest import SOONEST
from chervilstep.reports import LoadReport
from chervilstep.services import Service, Upstream
from chervilstep.types import MS_PER_SECOND, Instant, new_deadline

VITALS_RANK: Final = 20
#: Before the others, which change what decided the attempt.
EVENT_RANK: Final = 5
#: How often peers hear the newest reports.
NEWS_SECONDS: Final = 0.05
#: How long an upstream is left alone after its first failure in a row.
FIRST_CLOSE_SECONDS: Final = 0.25
MAX_CLOSE_SECONDS: Final = 4.0
#: How long the address of an upstream is left alone that another one has.
MOVED_SECONDS: Final = 30.0
#: Failures in a row after which nothing is sent for a while; one that could
#: not be connected to counts at once.
MAX_FAILURES: Final = 2
#: An older report says nothing any more.
MAX_AGE_SECONDS: Final = 2.0

_ENTRY_FIELDS: Final = 5
#: Running and waiting requests, slots, slowdown, and the age in ms.
Entry: TypeAlias = tuple[int, int, int, float, int]


@MESSAGES.register('loads')
@final
class Loads(Message):
    """The newest reports of upstreams by name."""

    __slots__ = ('_reports',)

    kind = 'loads'
    fields = ('reports',)

    def __init__(self, reports: dict[str, Entry]) -> None:
        """Creates a message of reports; see ``Entry``."""
        self._reports = checked_table(reports)

    @property
    def reports(self) -> dict[str, Entry]:
        """The reports by the upstream's name."""
        return self._reports


@ATTEMPT_START_HOOKS.register(VITALS_RANK)
def spend_cold(node: Node, attempt: Attempt) -> None:
    """Takes the token of a call to a cold upstream."""
    service = node.snapshot.services.get(attempt.ticket.route.service)
    vitals = node.vitals.by_upstream.get(attempt.upstream.name)
    if service is None or service.cold_start is None or vitals is None:
        return
    now = attempt.started_at
    if not vitals.is_cold(now):
        return
    rate = cold_rate(node, service.cold_start, attempt.upstream)
    vitals.count_cold(cold_tokens(vitals, rate, now) - 1, now)


@ATTEMPT_END_HOOKS.register(EVENT_RANK)
def note_attempt(node: Node, attempt: Attempt, outcome: Outcome) -> None:
    """Notes attempts that failed, came late or were not the first ones."""
    seconds = outcome.ended_at - attempt.started_at
    patience = late_after(node, attempt.ticket)
    is_late = patience is not None and seconds > patience
    is_plain = is_good_answer(outcome) and attempt.number == 1
    if is_plain and not is_late:
        return
    vitals = node.vitals.by_upstream.get(attempt.upstream.name)
    report = vitals.report if vitals else None
    node.events.add(
        'attempt_ended',
        request=attempt.ticket.call.request_id,
        number=attempt.number,
        upstream=attempt.upstream.name,
        zone=attempt.upstream.zone,
        ending=outcome.ending.value,
        verdict=outcome.verdict.value,
        seconds=round(seconds, 4),
        in_flight=node.board.in_flight(attempt.upstream.name),
        report_age=round(outcome.ended_at - report.at, 3) if report else None,
        slowdown=report.slowdown if report else None,
        cold=bool(vitals and vitals.is_cold(attempt.started_at)),
    )


@ATTEMPT_END_HOOKS.register(VITALS_RANK)
def judge_vitals(node: Node, attempt: Attempt, outcome: Outcome) -> None:
    """Takes in what an attempt says of the health of its upstream."""
    service = node.snapshot.services.get(attempt.ticket.route.service)
    if service is None or service.policy != SOONEST:
        return
    name = attempt.upstream.name
    vitals = node.vitals.of(name)
    now = outcome.ended_at
    if outcome.report is not None:
        take_report(node, service, name, outcome.report)
        node.vitals.publish(name, outcome.report)
    if outcome.ending is Ending.MOVED:
        move_away(node, name, now)
    elif is_failure(outcome):
        vitals.note(now, has_failed=True)
        _close(node, service, name, outcome.ending, now)
    elif outcome.ending is Ending.ANSWERED:
        vitals.note(now, has_failed=False)


def take_report(
    node: Node, service: Service, upstream: str, report: LoadReport
) -> None:
    """Takes in a report, unless a newer one is known."""
    vitals = node.vitals.of(upstream)
    if vitals.report is not None and vitals.report.at >= report.at:
        return
    own = node.board.in_flight(upstream)
    others = max(0, report.running + report.waiting - own)
    vitals.hear(report, others)
    node.vitals.means(service.name).note(report.slowdown, others)


@every(NEWS_SECONDS, 'loads')
def tell_loads(node: Node, now: Instant) -> None:
    """Tells the peers of this zone of the newest reports.

    Traffic between zones is billed, and most work stays in its zone.
    """
    fresh = node.vitals.fresh
    if not fresh:
        return
    reports = {
        name: _entry_of(report, now)
        for name, report in fresh.items()
        if now - report.at < MAX_AGE_SECONDS
    }
    node.vitals.clear_fresh()
    if reports:
        message = Loads(reports)
        for peer in zone_peers(node):
            node.outbox.put(peer, message)


@HANDLERS.register('loads')
def take_loads(node: Node, peer: str, message: Message, now: Instant) -> None:
    """Takes in the reports that a peer got."""
    assert isinstance(message, Loads)
    services = {
        upstream.name: service
        for service in node.snapshot.services.values()
        for upstream in service.upstreams
        if upstream.name in message.reports
    }
    for name, service in services.items():
        report = _report_of(message.reports[name], now)
        take_report(node, service, name, report)


def spend_questions(
    node: Node, upstreams: Iterable[Upstream], now: Instant
) -> None:
    """Takes the tokens of questions that are put before a call."""
    for upstream in upstreams:
        tokens = question_tokens(node, upstream, now)
        node.vitals.of(upstream.name).count_questions(tokens - 1, now)


def take_health(
    node: Node,
    service: Service,
    upstream: str,
    report: LoadReport | None,
    cold_seconds: float | None,
    now: Instant,
) -> None:
    """Takes in the answer of an upstream to a health check."""
    if report is not None:
        take_report(node, service, upstream, report)
        node.vitals.publish(upstream, report)
    if not cold_seconds:
        return
    vitals = node.vitals.of(upstream)
    if not vitals.is_cold(now):
        node.events.add(
            'upstream_cold', upstream=upstream, seconds=round(cold_seconds, 2)
        )
    vitals.chill(new_deadline(now, cold_seconds))


def miss_health(
    node: Node, service: Service, upstream: str, now: Instant
) -> None:
    """Notes that an upstream could not be reached for a health check."""
    node.vitals.of(upstream).note(now, has_failed=True)
    _close(node, service, upstream, Ending.CONNECT_FAILED, now)


def move_away(node: Node, upstream: str, now: Instant) -> None:
    """Notes that another upstream has the address of this one."""
    vitals = node.vitals.of(upstream)
    vitals.note(now, has_failed=True)
    vitals.close(new_deadline(now, MOVED_SECONDS))


def _close(
    node: Node, service: Service, upstream: str, ending: Ending, now: Instant
) -> None:
    vitals = node.vitals.of(upstream)
    is_unreachable = ending is Ending.CONNECT_FAILED
    if vitals.failures < MAX_FAILURES and not is_unreachable:
        return
    doublings = vitals.failures - 1
    seconds = min(MAX_CLOSE_SECONDS, FIRST_CLOSE_SECONDS * 2**doublings)
    until = new_deadline(now, seconds)
    vitals.close(until)
    node.events.add(
        'upstream_closed',
        upstream=upstream,
        ending=ending.value,
        failures=vitals.failures,
        seconds=seconds,
    )
    if is_unreachable and service.cold_start is not None:
        # Whatever listens there next has just started.
        cold_until = new_deadline(until.at, service.cold_start.seconds)
        vitals.chill(cold_until.later(vitals.cold_until))


def _entry_of(report: LoadReport, now: Instant) -> Entry:
    age_ms = int(max(0, now - report.at) * MS_PER_SECOND)
    return (
        report.running,
        report.waiting,
        report.slots,
        round(report.slowdown, 2),
        age_ms,
    )


def _report_of(entry: Entry, now: Instant) -> LoadReport:
    if not isinstance(entry, (list, tuple)) or len(entry) != _ENTRY_FIELDS:
        raise PeerError('not a report of a load')
    *counts, slowdown, age_ms = entry
    is_proper = all(isinstance(found, int) for found in (*counts, age_ms))
    if not is_proper or not isinstance(slowdown, (int, float)):
        raise PeerError('a report of a load is not of numbers')
    at = now - int(age_ms) / MS_PER_SECOND
    running, waiting, slots = counts
    return LoadReport(running, waiting, slots, slowdown, at)
