"""Who waits, who is next, and who cannot be served in time."""

from collections import Counter
from collections.abc import Iterator
from typing import Final

from chervilstep.node import Node
from chervilstep.progress import Progress
from chervilstep.queries.choice import choose, has_any
from chervilstep.queries.poison import is_quarantined
from chervilstep.refusals import (
    NO_UPSTREAM,
    QUARANTINED,
    QUEUE_FULL,
    QUEUE_TIMEOUT,
    QUEUE_TOO_LONG,
    Refusal,
)
from chervilstep.services import Upstream
from chervilstep.snapshot import Priority
from chervilstep.types import Instant
from chervilstep.waiting import TURN_COSTS, Lane, ServiceQueue, Turn, Waiter

#: Calls that may wait for one service at one instance.
MAX_WAITERS: Final = 1024
#: Bodies that one instance holds for waiting calls.
MAX_BODY_BYTES: Final = 48 * 1024 * 1024
#: A held body of this size weighs as much as another waiter.
BODY_BYTES_PER_WAITER: Final = MAX_BODY_BYTES // MAX_WAITERS
#: Waiting calls look again after this time, since knowledge of loads expires.
RECHECK_SECONDS: Final = 0.05


def immediate_upstream(
    node: Node, progress: Progress, now: Instant
) -> Upstream | None:
    """Returns an upstream for a call that overtakes nobody.

    Retries that wait for an upstream that they have not tried could not use
    one that is free, so they hold nobody back.
    """
    name = progress.ticket.route.service
    queue = node.waiting.queues.get(name)
    if queue is not None and queue.has_first_tries:
        return None
    return _choose(node, name, progress, now)


def objection(node: Node, progress: Progress, now: Instant) -> Refusal | None:
    """Returns why a call need not start to wait, or None."""
    ticket = progress.ticket
    if ticket.deadline.has_passed(now):
        return QUEUE_TIMEOUT
    if not _has_any(node, ticket.route.service, progress.tried_upstreams, now):
        return NO_UPSTREAM
    queue = node.waiting.queue(ticket.route.service)
    if is_full(node, queue, progress):
        return QUEUE_FULL
    wait = expected_wait(queue, progress, now)
    needed = wait + sure_run(node, ticket.route.service)
    if wait and needed > ticket.deadline.remaining(now):
        return QUEUE_TOO_LONG
    return None


def is_full(node: Node, queue: ServiceQueue, progress: Progress) -> bool:
    """Whether the queue has no room for the call."""
    return len(queue) >= MAX_WAITERS or not _fits_bodies(node, progress)


def evictee(node: Node, progress: Progress) -> Waiter | None:
    """Returns the waiter that makes room for a call in a full queue.

    It is the last one of the customer that holds the most of the queue. If
    that is the customer of the call itself, only a waiter of a lower class
    has to go for it.
    """
    queue = node.waiting.queue(progress.ticket.route.service)
    if not is_full(node, queue, progress):
        return None
    held = _held_by_customer(node, queue, progress)
    own = progress.ticket.customer_name
    heaviest, most = held.most_common(1)[0] if held else (own, 0)
    if most > held[own] + 1:
        return _last_of(queue, heaviest, Priority.URGENT)
    return _last_of(queue, own, progress.ticket.priority + 1)


def expected_wait(
    queue: ServiceQueue, progress: Progress, now: Instant
) -> float:
    """Estimates the seconds until a new waiter would be granted.

    The pace of its own line tells best, since calls of others that come
    later may go first; a line without a pace is estimated by the pace of the
    queue. Zero while nothing is known, and for retries, which go first. What
    has stopped looks slower the longer it stands still.
    """
    if progress.tried_upstreams:
        return 0
    ticket = progress.ticket
    lane = queue.lanes[ticket.priority]
    own_pace = lane.paces.get(ticket.customer_name)
    own = own_pace.interval(now) if own_pace else None
    if own is not None:
        return own * (len(lane.lines[ticket.customer_name]) + 1)
    interval = queue.pace.interval(now)
    if interval is None:
        return 0
    return interval * turns_ahead(queue, progress)


def expected_run(node: Node, service: str) -> float:
    """The mean seconds that a call of ``service`` runs; zero while unknown.

    A call that has waited and has less time left than this would mostly run
    in vain, in a slot that others wait for, and end in doubt.
    """
    tail = node.tails.by_service.get(service)
    return (tail.mean or 0) if tail else 0


def sure_run(node: Node, service: str) -> float:
    """The seconds within which most calls of ``service`` have run."""
    tail = node.tails.by_service.get(service)
    return (tail.seconds or 0) if tail else 0


def turns_ahead(queue: ServiceQueue, progress: Progress) -> float:
    """Estimates how many calls are granted before a new one of a customer.

    In the customer's own class each other customer gets as many turns as
    this one; the other classes get turns in proportion to their weights.
    """
    ticket = progress.ticket
    priority = ticket.priority
    own = _turns_in_lane(queue.lanes[priority], ticket.customer_name)
    others = sum(
        min(len(lane), own * _turns_ratio(other, priority))
        for other, lane in queue.lanes.items()
        if other is not priority
    )
    return own + others


def candidates(queue: ServiceQueue) -> Iterator[Waiter]:
    """Yields the waiters that may be granted next, the best one first.

    Calls that were tried before cannot use every upstream, so the first one
    of their line that can is offered too.
    """
    lanes = [(prio, lane) for prio, lane in queue.lanes.items() if len(lane)]
    lanes.sort(key=lambda pair: (queue.turns.tag(pair[0].name), pair[0]))
    for _, lane in lanes:
        for customer in sorted(lane.lines, key=lane.turns.tag):
            yield from _front(lane, customer)


def next_turn(node: Node, service: str, now: Instant) -> Turn | None:
    """Returns the waiter whose turn it is with its upstream, or None."""
    queue = node.waiting.queues.get(service)
    if queue is None or not len(queue):
        return None
    for waiter in candidates(queue):
        turn = _turn_of(node, service, waiter, now)
        if turn is not None or not waiter.is_retry:
            return turn
    return None


def hopeless_turns(node: Node, service: str, now: Instant) -> list[Turn]:
    """Returns the waiters that cannot be served, with the reasons."""
    found = []
    # Most waiters have tried nothing, so one answer does for all of them.
    usable: dict[frozenset[str], bool] = {}
    for waiter in node.waiting.queues.get(service, ()):
        tried = waiter.progress.tried_upstreams
        if tried not in usable:
            usable[tried] = _has_any(node, service, tried, now)
        if waiter.deadline.has_passed(now):
            found.append(Turn(waiter, QUEUE_TIMEOUT))
        elif not usable[tried]:
            found.append(Turn(waiter, NO_UPSTREAM))
    return found


def wake_at(waiter: Waiter, now: Instant) -> Instant:
    """Returns when a waiter must be looked at again."""
    return min(now + RECHECK_SECONDS, waiter.deadline.at)


def next_wake_at(node: Node, now: Instant) -> Instant | None:
    """Returns when any waiter must be looked at again, if there is one."""
    return min(
        (
            wake_at(waiter, now)
            for queue in node.waiting.queues.values()
            for waiter in queue
        ),
        default=None,
    )


def _last_of(queue: ServiceQueue, customer: str, highest: int) -> Waiter | None:
    """The last waiter of a customer in its lowest class, if low enough."""
    for priority in reversed(Priority):
        line = queue.lanes[priority].lines.get(customer)
        if line and priority >= highest:
            return line[-1]
    return None


def _held_by_customer(
    node: Node, queue: ServiceQueue, progress: Progress
) -> Counter[str]:
    """Counts what each customer holds, with bodies when these are many."""
    held: Counter[str] = Counter()
    for lane in queue.lanes.values():
        for customer, line in lane.lines.items():
            held[customer] += len(line)
    if _fits_bodies(node, progress):
        return held
    for waiter in queue:
        held[waiter.customer] += waiter.body_bytes // BODY_BYTES_PER_WAITER
    return held


def _fits_bodies(node: Node, progress: Progress) -> bool:
    size = len(progress.ticket.call.body)
    return node.waiting.body_bytes + size <= MAX_BODY_BYTES


def _turn_of(
    node: Node, service: str, waiter: Waiter, now: Instant
) -> Turn | None:
    if waiter.deadline.remaining(now) <= expected_run(node, service):
        return Turn(waiter, QUEUE_TIMEOUT)
    if is_quarantined(node, waiter.progress.ticket, now):
        return Turn(waiter, QUARANTINED)
    upstream = _choose(node, service, waiter.progress, now)
    return None if upstream is None else Turn(waiter, upstream)


def _has_any(
    node: Node, name: str, tried: frozenset[str], now: Instant
) -> bool:
    service = node.snapshot.services.get(name)
    return service is not None and has_any(node, service, tried, now)


def _choose(
    node: Node, name: str, progress: Progress, now: Instant
) -> Upstream | None:
    service = node.snapshot.services.get(name)
    if service is None:
        return None
    return choose(node, service, progress.tried_upstreams, now)


def _turns_in_lane(lane: Lane, customer: str) -> int:
    own = len(lane.lines.get(customer, ()))
    others = sum(
        min(len(line), own + 1)
        for name, line in lane.lines.items()
        if name != customer
    )
    return own + others


def _turns_ratio(other: Priority, own: Priority) -> float:
    return TURN_COSTS[own] / TURN_COSTS[other]


def _front(lane: Lane, customer: str) -> Iterator[Waiter]:
    for waiter in lane.lines[customer]:
        yield waiter
        if not waiter.is_retry:
            return
