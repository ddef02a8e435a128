"""Commands that eject outliers and warm cold upstreams along a ramp."""

from typing import Final

from chervilstep.calls import Attempt, Ending, Outcome
from chervilstep.commands.warmth_news import flush_news
from chervilstep.hooks import ATTEMPT_END_HOOKS, every
from chervilstep.node import Node
from chervilstep.queries.assignment import max_in_flight
from chervilstep.queries.outcomes import is_failure, is_good_answer
from chervilstep.queries.soonest import SOONEST
from chervilstep.queries.warmth import (
    is_outlier,
    is_slow,
    leads,
    level_of,
    may_eject,
)
from chervilstep.services import Service, Upstream
from chervilstep.types import Instant, new_deadline
from chervilstep.warmth import COLD, WARM

#: The rank of the warmth among the commands that follow an attempt.
WARMTH_RANK: Final = 30
#: Answers of normal latency that open one more slot.
GOOD_ANSWERS: Final = 5
#: Slow answers in a row that end a ramp.
SLOW_ON_RAMP: Final = 2
#: The shortest time for which a level is kept.
STEP_SECONDS: Final = 0.2
#: The first ejection; each further one lasts twice as long as the last.
EJECTION_SECONDS: Final = 0.25
MAX_EJECTION_SECONDS: Final = 30
#: After a slow answer a cold upstream rests this many times its latency.
REST_FACTOR: Final = 5
#: How often requests in flight are checked for being overdue.
OVERDUE_PERIOD_SECONDS: Final = 0.1


@ATTEMPT_END_HOOKS.register(WARMTH_RANK)
def judge_attempt(node: Node, attempt: Attempt, outcome: Outcome) -> None:
    """Draws the consequences of one outcome for its upstream."""
    service = node.snapshot.services.get(attempt.ticket.route.service)
    if service is None or outcome.ending is Ending.CANCELLED:
        return
    if service.policy == SOONEST:
        return
    upstream = attempt.upstream
    now = outcome.ended_at
    if attempt.started_at < node.warmth.record(upstream.name).since:
        return
    if is_good_answer(outcome):
        seconds = now - attempt.started_at
        _take_latency(node, service, upstream, seconds, now)
    elif level_of(node, upstream, now) < WARM:
        _take_failure_when_cold(node, upstream, outcome, now)
    _judge_upstream(node, service, upstream, now)
    flush_news(node, now)


@every(OVERDUE_PERIOD_SECONDS, 'judge-overdue')
def judge_overdue(node: Node, now: Instant) -> None:
    """Ejects upstreams whose requests in flight are overdue."""
    for name, load in node.loads.by_service.items():
        service = node.snapshot.services.get(name)
        if service is None or service.policy == SOONEST:
            continue
        if load.in_flight:
            _judge_busy(node, service, now)
    flush_news(node, now)


def _judge_busy(node: Node, service: Service, now: Instant) -> None:
    for upstream in service.upstreams:
        if node.loads.in_flight(upstream.name):
            _judge_upstream(node, service, upstream, now)


def _take_latency(
    node: Node,
    service: Service,
    upstream: Upstream,
    seconds: float,
    now: Instant,
) -> None:
    slow = is_slow(node, service, seconds)
    load = node.loads.upstream_load(upstream.name)
    load.record_slowness(is_slow=slow)
    record = node.warmth.record(upstream.name)
    if not slow:
        record.count_good(now)
        _step_up(node, service, upstream, now)
    elif record.level(now) == COLD and not record.ejections:
        record.pause(new_deadline(now, REST_FACTOR * seconds))
    elif record.level(now) == COLD or load.slow_answers >= SLOW_ON_RAMP:
        _eject_if_cold(node, upstream, now)


def _step_up(
    node: Node, service: Service, upstream: Upstream, now: Instant
) -> None:
    record = node.warmth.record(upstream.name)
    if record.good < GOOD_ANSWERS or not record.may_step(now):
        return
    if record.level(now) >= WARM:
        return
    if not leads(node, service, upstream, now):
        return
    level = record.level(now) + 1
    if level > max_in_flight(upstream):
        level = WARM
        node.counters.add('upstreams_warmed', service=service.name)
    node.loads.upstream_load(upstream.name).move_to_back(
        node.loads.attempts_started
    )
    record.step_up(level, new_deadline(now, STEP_SECONDS))
    node.warmth.tell(upstream.name)


def _eject_if_cold(node: Node, upstream: Upstream, now: Instant) -> None:
    if level_of(node, upstream, now) < WARM:
        _eject(node, upstream, now)


def _take_failure_when_cold(
    node: Node, upstream: Upstream, outcome: Outcome, now: Instant
) -> None:
    if outcome.ending is Ending.SHED or is_failure(outcome):
        _eject(node, upstream, now)


def _judge_upstream(
    node: Node, service: Service, upstream: Upstream, now: Instant
) -> None:
    if level_of(node, upstream, now) < WARM:
        return
    if is_outlier(node, service, upstream, now) and may_eject(
        node, service, now
    ):
        _eject(node, upstream, now)
        node.counters.add('upstreams_ejected', service=service.name)


def _eject(node: Node, upstream: Upstream, now: Instant) -> None:
    node.loads.upstream_load(upstream.name).reset_counts()
    record = node.warmth.record(upstream.name)
    seconds = min(MAX_EJECTION_SECONDS, EJECTION_SECONDS * 2**record.ejections)
    record.eject(new_deadline(now, seconds), now)
    node.warmth.tell(upstream.name)
