"""Commands that eject outliers and open the slots of cold upstreams."""

from typing import Final

from chervilstep.calls import Attempt, Ending, Outcome
from chervilstep.commands.slowstart_updates import flush_updates
from chervilstep.hooks import ATTEMPT_END_HOOKS, every
from chervilstep.node import Node
from chervilstep.queries.assignment import max_in_flight
from chervilstep.queries.backoff import doubled_seconds
from chervilstep.queries.outcomes import is_failure, is_good_answer
from chervilstep.queries.slowstart import (
    is_outlier,
    is_slow,
    is_slow_start_leader,
    may_eject,
    total_open_slots,
)
from chervilstep.queries.soonest import SOONEST
from chervilstep.services import Service, Upstream
from chervilstep.slowstart import COLD_SLOTS, WARM_SLOTS
from chervilstep.types import Instant, new_deadline

#: The rank of the slow start among the commands that follow an attempt.
SLOW_START_RANK: Final = 30
#: The answers of normal latency after which one more slot is opened.
ANSWERS_PER_STEP: Final = 5
#: The slow answers in a row after which a cold upstream is ejected.
MAX_SLOW_ANSWERS: Final = 2
#: The shortest time between two steps of the slow start.
MIN_STEP_SECONDS: Final = 0.2
#: The length of the first ejection; each further one lasts twice as long.
BASE_EJECTION_SECONDS: Final = 0.25
MAX_EJECTION_SECONDS: Final = 30
#: A slow answer closes a cold upstream for this many times its latency.
CLOSE_LATENCY_FACTOR: Final = 5
#: How often requests in flight are checked for being overdue.
OVERDUE_PERIOD_SECONDS: Final = 0.1


@ATTEMPT_END_HOOKS.register(SLOW_START_RANK)
def update_slow_start(node: Node, attempt: Attempt, outcome: Outcome) -> None:
    """Opens or closes slots of an upstream after the outcome of an attempt."""
    service = node.snapshot.services.get(attempt.ticket.route.service)
    if service is None or outcome.ending is Ending.CANCELLED:
        return
    if service.policy == SOONEST:
        return
    upstream = attempt.upstream
    now = outcome.ended_at
    if (
        attempt.started_at
        < node.slow_start.get_or_create(upstream.name).epoch_started_at
    ):
        return
    if is_good_answer(outcome):
        seconds = now - attempt.started_at
        _record_latency(node, service, upstream, seconds, now)
    elif total_open_slots(node, upstream, now) < WARM_SLOTS:
        _eject_after_failure(node, upstream, outcome, now)
    _eject_if_outlier(node, service, upstream, now)
    flush_updates(node, now)


@every(OVERDUE_PERIOD_SECONDS, 'judge-overdue')
def eject_overdue(node: Node, now: Instant) -> None:
    """Ejects upstreams whose requests in flight are overdue."""
    for name, load in node.loads.by_service.items():
        service = node.snapshot.services.get(name)
        if service is None or service.policy == SOONEST:
            continue
        if load.in_flight:
            _eject_overdue_upstreams(node, service, now)
    flush_updates(node, now)


def _eject_overdue_upstreams(
    node: Node, service: Service, now: Instant
) -> None:
    for upstream in service.upstreams:
        if node.loads.in_flight(upstream.name):
            _eject_if_outlier(node, service, upstream, now)


def _record_latency(
    node: Node,
    service: Service,
    upstream: Upstream,
    seconds: float,
    now: Instant,
) -> None:
    slow = is_slow(node, service, seconds)
    load = node.loads.upstream_load(upstream.name)
    load.record_slowness(is_slow=slow)
    record = node.slow_start.get_or_create(upstream.name)
    if not slow:
        record.record_good_answer(now)
        _open_next_slot(node, service, upstream, now)
    elif record.open_slots(now) == COLD_SLOTS and not record.ejections:
        record.close(new_deadline(now, CLOSE_LATENCY_FACTOR * seconds))
    elif (
        record.open_slots(now) == COLD_SLOTS
        or load.slow_answers >= MAX_SLOW_ANSWERS
    ):
        _eject_if_cold(node, upstream, now)


def _open_next_slot(
    node: Node, service: Service, upstream: Upstream, now: Instant
) -> None:
    record = node.slow_start.get_or_create(upstream.name)
    if record.good_answers < ANSWERS_PER_STEP or not record.may_open_slot(now):
        return
    if record.open_slots(now) >= WARM_SLOTS:
        return
    if not is_slow_start_leader(node, service, upstream, now):
        return
    open_slots = record.open_slots(now) + 1
    if open_slots > max_in_flight(upstream):
        open_slots = WARM_SLOTS
        node.counters.add('upstreams_warmed', service=service.name)
    node.loads.upstream_load(upstream.name).move_to_back(
        node.loads.attempts_started
    )
    record.raise_open_slots(open_slots, new_deadline(now, MIN_STEP_SECONDS))
    node.slow_start.mark_unsent(upstream.name)


def _eject_if_cold(node: Node, upstream: Upstream, now: Instant) -> None:
    if total_open_slots(node, upstream, now) < WARM_SLOTS:
        _eject(node, upstream, now)


def _eject_after_failure(
    node: Node, upstream: Upstream, outcome: Outcome, now: Instant
) -> None:
    if outcome.ending is Ending.SHED or is_failure(outcome):
        _eject(node, upstream, now)


def _eject_if_outlier(
    node: Node, service: Service, upstream: Upstream, now: Instant
) -> None:
    if total_open_slots(node, upstream, now) < WARM_SLOTS:
        return
    if is_outlier(node, service, upstream, now) and may_eject(
        node, service, now
    ):
        _eject(node, upstream, now)
        node.counters.add('upstreams_ejected', service=service.name)


def _eject(node: Node, upstream: Upstream, now: Instant) -> None:
    node.loads.upstream_load(upstream.name).reset_counts()
    record = node.slow_start.get_or_create(upstream.name)
    seconds = doubled_seconds(
        BASE_EJECTION_SECONDS, record.ejections, MAX_EJECTION_SECONDS
    )
    record.eject(new_deadline(now, seconds), now)
    node.slow_start.mark_unsent(upstream.name)
