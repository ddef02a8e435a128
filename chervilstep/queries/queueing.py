"""Queries on the queues: which calls may wait, are granted or refused."""

import math
from collections import Counter
from collections.abc import Iterator
from typing import Final

from chervilstep.calls import Ticket
from chervilstep.node import Node
from chervilstep.progress import Progress
from chervilstep.queries.choice import (
    choose_upstream,
    has_usable_upstream,
    usable_upstreams,
)
from chervilstep.queries.poison import is_quarantined
from chervilstep.queries.throttling import expected_rate
from chervilstep.queries.waiting import (
    futile_wait,
    mean_latency,
    tail_latency,
)
from chervilstep.queues import (
    GRANT_COSTS,
    PriorityLevel,
    QueueDecision,
    ServiceQueue,
    Waiter,
)
from chervilstep.refusals import (
    NO_UPSTREAM,
    QUARANTINED,
    QUEUE_FULL,
    QUEUE_TIMEOUT,
    QUEUE_TOO_LONG,
    UPSTREAMS_LIMITED,
    Refusal,
)
from chervilstep.services import Upstream
from chervilstep.snapshot import Priority
from chervilstep.types import Instant

#: The most calls that wait for one service at one instance.
MAX_WAITERS: Final = 1024
#: The most bytes of bodies that one instance buffers for waiting calls.
MAX_BODY_BYTES: Final = 48 * 1024 * 1024
#: A buffered body of this size counts as one more waiter.
BODY_BYTES_PER_WAITER: Final = MAX_BODY_BYTES // MAX_WAITERS
#: How often the queues are checked, since reported loads expire.
RECHECK_PERIOD_SECONDS: Final = 0.05


def immediate_upstream(
    node: Node, progress: Progress, now: Instant
) -> Upstream | None:
    """Returns an upstream for a call, or None if it must wait.

    A call does not overtake waiting first attempts. Waiting retries do not
    delay the call, since they have already tried every upstream that is free.
    """
    name = progress.ticket.route.service
    queue = node.queues.by_service.get(name)
    if queue is not None and queue.has_first_attempts:
        return None
    return _choose(node, name, progress, now)


def enqueue_refusal(
    node: Node, progress: Progress, now: Instant
) -> Refusal | None:
    """Returns the refusal of a call that should not be queued, or None."""
    ticket = progress.ticket
    refusal = futile_wait(node, progress, now)
    if refusal is not None:
        return refusal
    if not _has_usable_upstream(
        node, ticket.route.service, progress.tried_upstreams, now
    ):
        return NO_UPSTREAM
    queue = node.queues.queue(ticket.route.service)
    if is_full(node, queue, progress):
        return QUEUE_FULL
    ahead = _waiters_ahead(queue, ticket.priority)
    rate = rate_within_limits(
        node, ticket.route.service, progress.tried_upstreams, now
    )
    if ahead + 1 > max_calls_until_due(node, ticket, rate, now):
        return UPSTREAMS_LIMITED
    wait = expected_wait(queue, progress, now)
    needed = wait + tail_latency(node, ticket.route.service)
    if wait and needed > ticket.deadline.remaining(now):
        return QUEUE_TOO_LONG
    return None


def max_calls_until_due(
    node: Node, ticket: Ticket, calls_per_second: float, now: Instant
) -> float:
    """Returns how many calls of a queue can be sent until a call is due.

    Within limits the result is at least one, since tokens can be borrowed only
    for a call that waits.

    Args:
        node: The state of this instance.
        ticket: The ticket of the call.
        calls_per_second: What can be sent; infinite without limits.
        now: The current time.
    """
    if math.isinf(calls_per_second):
        return math.inf
    seconds = ticket.deadline.remaining(now) - mean_latency(
        node, ticket.route.service
    )
    return max(1, calls_per_second * max(0, seconds))


def rate_within_limits(
    node: Node, name: str, tried: frozenset[str], now: Instant
) -> float:
    """Returns the calls per second of a service that can be sent from here.

    Recent grants show how much of the limits other instances leave unused. The
    result is infinite unless all upstreams have limits, and zero if no
    upstream is usable.
    """
    service = node.snapshot.services.get(name)
    usable = usable_upstreams(node, service, tried) if service else ()
    if not usable:
        return 0
    interval = node.queues.queue(name).grant_interval.mean_seconds(now)
    granted = 1 / interval if interval else 0
    return max(granted, expected_rate(node, usable))


def is_full(node: Node, queue: ServiceQueue, progress: Progress) -> bool:
    """Whether the queue has no room for the call."""
    return len(queue) >= MAX_WAITERS or not _body_fits(node, progress)


def waiter_to_evict(node: Node, progress: Progress) -> Waiter | None:
    """Returns the waiter to evict for a call from a full queue, or None.

    This is the last waiter of the customer that occupies most of the queue.
    If that is the customer of the call itself, only one of its waiters with a
    lower priority is evicted.
    """
    queue = node.queues.queue(progress.ticket.route.service)
    if not is_full(node, queue, progress):
        return None
    usage = _usage_by_customer(node, queue, progress)
    own = progress.ticket.customer_name
    largest, most = usage.most_common(1)[0] if usage else (own, 0)
    if most > usage[own] + 1:
        return _last_waiter(queue, largest, Priority.URGENT)
    return _last_waiter(queue, own, progress.ticket.priority + 1)


def expected_wait(
    queue: ServiceQueue, progress: Progress, now: Instant
) -> float:
    """Estimates the seconds until a new waiter would be granted.

    The estimate is based on the grants of the customer's own flow, since later
    calls of other customers may be granted first. If that flow has too few
    grants, the estimate is based on those of the whole queue. The result is
    zero while no estimate is possible, and for retries, which go first. While
    a queue is stalled, the estimate grows.
    """
    if progress.tried_upstreams:
        return 0
    ticket = progress.ticket
    level = queue.levels[ticket.priority]
    own_interval = level.grant_intervals.get(ticket.customer_name)
    own = own_interval.mean_seconds(now) if own_interval else None
    if own is not None:
        return own * (len(level.flows[ticket.customer_name]) + 1)
    interval = queue.grant_interval.mean_seconds(now)
    if interval is None:
        return 0
    return interval * grants_ahead(queue, progress)


def grants_ahead(queue: ServiceQueue, progress: Progress) -> float:
    """Estimates how many waiters are granted before a new one of a customer.

    At the same priority, each other customer gets as many grants as this one;
    the other priorities get grants in proportion to their weights.
    """
    ticket = progress.ticket
    priority = ticket.priority
    own = _grants_in_level(queue.levels[priority], ticket.customer_name)
    others = sum(
        min(len(level), own * _weight_ratio(other, priority))
        for other, level in queue.levels.items()
        if other is not priority
    )
    return own + others


def candidates(queue: ServiceQueue) -> Iterator[Waiter]:
    """Yields the waiters that may be granted next, the best one first.

    A retry cannot use the upstreams that it has tried, so the waiters behind
    it in its flow, up to the first one that is no retry, are candidates too.
    """
    levels = [
        (priority, level)
        for priority, level in queue.levels.items()
        if len(level)
    ]
    levels.sort(
        key=lambda pair: (queue.virtual_time.start_tag(pair[0].name), pair[0])
    )
    for _, level in levels:
        for customer in sorted(level.flows, key=level.virtual_time.start_tag):
            yield from _flow_candidates(level, customer)


def next_decision(
    node: Node, service: str, now: Instant
) -> QueueDecision | None:
    """Returns the next waiter with its upstream or refusal, or None."""
    queue = node.queues.by_service.get(service)
    if queue is None or not len(queue):
        return None
    for waiter in candidates(queue):
        decision = _decide(node, service, waiter, now)
        if decision is not None or not waiter.is_retry:
            return decision
    return None


def unservable_waiters(
    node: Node, service: str, now: Instant
) -> list[QueueDecision]:
    """Returns the waiters that can no longer be served, with refusals."""
    decisions = []
    # Most waiters have tried no upstream and share one entry. The rate is zero
    # without a usable upstream.
    rates: dict[frozenset[str], float] = {}
    waiters = sorted(node.queues.by_service.get(service, ()), key=_urgency)
    kept = 0
    for waiter in waiters:
        ticket = waiter.progress.ticket
        tried = waiter.progress.tried_upstreams
        if tried not in rates:
            rates[tried] = rate_within_limits(node, service, tried, now)
        refusal = futile_wait(node, waiter.progress, now)
        if refusal is not None:
            decisions.append(QueueDecision(waiter, refusal))
        elif not rates[tried]:
            decisions.append(QueueDecision(waiter, NO_UPSTREAM))
        elif kept + 1 > max_calls_until_due(node, ticket, rates[tried], now):
            decisions.append(QueueDecision(waiter, UPSTREAMS_LIMITED))
        else:
            kept += 1
    return decisions


def recheck_at(waiter: Waiter, now: Instant) -> Instant:
    """Returns when a waiter must be checked again."""
    return min(now + RECHECK_PERIOD_SECONDS, waiter.deadline.at)


def next_recheck_at(node: Node, now: Instant) -> Instant | None:
    """Returns when the next waiter must be checked, or None without any."""
    return min(
        (
            recheck_at(waiter, now)
            for queue in node.queues.by_service.values()
            for waiter in queue
        ),
        default=None,
    )


def _last_waiter(
    queue: ServiceQueue, customer: str, highest_priority: int
) -> Waiter | None:
    """Returns the last waiter of a customer at its lowest priority.

    Returns None if that priority is above ``highest_priority``.
    """
    for priority in reversed(Priority):
        flow = queue.levels[priority].flows.get(customer)
        if flow and priority >= highest_priority:
            return flow[-1]
    return None


def _usage_by_customer(
    node: Node, queue: ServiceQueue, progress: Progress
) -> Counter[str]:
    """Counts the waiters of each customer.

    If the body of the call does not fit, buffered bodies count as further
    waiters.
    """
    usage: Counter[str] = Counter()
    for level in queue.levels.values():
        for customer, flow in level.flows.items():
            usage[customer] += len(flow)
    if _body_fits(node, progress):
        return usage
    for waiter in queue:
        usage[waiter.customer] += waiter.body_bytes // BODY_BYTES_PER_WAITER
    return usage


def _body_fits(node: Node, progress: Progress) -> bool:
    size = len(progress.ticket.call.body)
    return node.queues.body_bytes + size <= MAX_BODY_BYTES


def _decide(
    node: Node, service: str, waiter: Waiter, now: Instant
) -> QueueDecision | None:
    if waiter.deadline.remaining(now) <= mean_latency(node, service):
        return QueueDecision(waiter, QUEUE_TIMEOUT)
    if is_quarantined(node, waiter.progress.ticket, now):
        return QueueDecision(waiter, QUARANTINED)
    upstream = _choose(node, service, waiter.progress, now)
    return None if upstream is None else QueueDecision(waiter, upstream)


def _has_usable_upstream(
    node: Node, name: str, tried: frozenset[str], now: Instant
) -> bool:
    service = node.snapshot.services.get(name)
    return service is not None and has_usable_upstream(
        node, service, tried, now
    )


def _choose(
    node: Node, name: str, progress: Progress, now: Instant
) -> Upstream | None:
    service = node.snapshot.services.get(name)
    if service is None:
        return None
    return choose_upstream(node, service, progress.tried_upstreams, now)


def _urgency(waiter: Waiter) -> tuple[Priority, Instant]:
    return (waiter.priority, waiter.deadline.at)


def _waiters_ahead(queue: ServiceQueue, priority: Priority) -> int:
    """Returns the number of waiters of this or a higher priority."""
    return sum(
        len(level) for other, level in queue.levels.items() if other <= priority
    )


def _grants_in_level(level: PriorityLevel, customer: str) -> int:
    own = len(level.flows.get(customer, ()))
    others = sum(
        min(len(flow), own + 1)
        for name, flow in level.flows.items()
        if name != customer
    )
    return own + others


def _weight_ratio(other: Priority, own: Priority) -> float:
    return GRANT_COSTS[own] / GRANT_COSTS[other]


def _flow_candidates(level: PriorityLevel, customer: str) -> Iterator[Waiter]:
    for waiter in level.flows[customer]:
        yield waiter
        if not waiter.is_retry:
            return
