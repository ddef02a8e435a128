"""Queries on whether a call has time to wait in a queue."""

from chervilstep.node import Node
from chervilstep.progress import Progress
from chervilstep.queries.choice import usable_upstreams
from chervilstep.queries.notices import first_pause_end
from chervilstep.queries.shutdown import outlasts_shutdown
from chervilstep.refusals import (
    LEAVING,
    QUEUE_TIMEOUT,
    UPSTREAMS_PAUSED,
    Refusal,
)
from chervilstep.types import Instant


def futile_wait(node: Node, progress: Progress, now: Instant) -> Refusal | None:
    """Returns the refusal of a call for which waiting is no use, or None."""
    deadline = progress.ticket.deadline
    if deadline.has_passed(now):
        return QUEUE_TIMEOUT
    if outlasts_shutdown(node, deadline):
        return LEAVING
    return UPSTREAMS_PAUSED if outlasts_pauses(node, progress, now) else None


def outlasts_pauses(node: Node, progress: Progress, now: Instant) -> bool:
    """Whether all upstreams pause until it is too late for a call."""
    ticket = progress.ticket
    service = node.snapshot.services.get(ticket.route.service)
    if service is None:
        return False
    usable = usable_upstreams(node, service, progress.tried_upstreams)
    first = first_pause_end(node, usable, now)
    if first is None:
        return False
    needed = first.remaining(now) + mean_latency(node, ticket.route.service)
    return needed > ticket.deadline.remaining(now)


def mean_latency(node: Node, service: str) -> float:
    """Returns the mean latency of ``service`` in seconds; zero if unknown.

    A waiter with less time left would probably time out at the upstream. That
    wastes a slot and leaves unknown whether the request has run.
    """
    estimate = node.latency_estimates.by_service.get(service)
    return (estimate.mean_seconds or 0) if estimate else 0


def tail_latency(node: Node, service: str) -> float:
    """Returns the tail latency of ``service`` in seconds; zero if unknown."""
    estimate = node.latency_estimates.by_service.get(service)
    return (estimate.tail_seconds or 0) if estimate else 0
