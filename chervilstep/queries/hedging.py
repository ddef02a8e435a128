"""Queries on hedging: when and where an idempotent call is sent twice.

The second attempt starts when the first one takes longer than most calls,
and the first answer is used (Dean and Barroso, "The Tail at Scale", 2013).
"""

from typing import Final

from chervilstep.calls import Attempt, Ticket
from chervilstep.node import Node
from chervilstep.progress import Progress
from chervilstep.queries.budget import can_afford_hedge
from chervilstep.queries.queueing import immediate_upstream
from chervilstep.queries.retrying import is_nested
from chervilstep.services import Upstream
from chervilstep.types import Instant

#: The shortest time after which an attempt is hedged.
MIN_HEDGE_DELAY_SECONDS: Final = 0.005
#: The fraction of a route's latency objective after which an attempt is
#: hedged, so that enough time is left for the second one.
OBJECTIVE_FRACTION: Final = 0.45


def hedge_at(
    node: Node, progress: Progress, attempt: Attempt
) -> Instant | None:
    """Returns when ``attempt`` may be hedged, or None for never."""
    ticket = progress.ticket
    if progress.attempt_count > 1 or not ticket.is_idempotent:
        return None
    seconds = hedge_delay(node, ticket)
    if seconds is None or is_nested(ticket.call):
        return None
    if ticket.route.max_attempts <= 1:
        return None
    at = attempt.started_at + max(MIN_HEDGE_DELAY_SECONDS, seconds)
    return None if attempt.deadline.has_passed(at) else at


def hedge_delay(node: Node, ticket: Ticket) -> float | None:
    """Returns the seconds after which a first attempt counts as late.

    That is the tail latency of the service, or a fraction of the route's
    objective when that is less or the tail latency is not known yet.
    """
    estimate = node.latency_estimates.by_service.get(ticket.route.service)
    seconds = estimate.tail_seconds if estimate else None
    objective = ticket.route.objective_seconds
    if objective is None:
        return seconds
    by_objective = OBJECTIVE_FRACTION * objective
    return by_objective if seconds is None else min(seconds, by_objective)


def hedge_upstream(
    node: Node, progress: Progress, now: Instant
) -> Upstream | None:
    """Returns the upstream of the hedge, or None without budget or slot."""
    service = progress.ticket.route.service
    if not can_afford_hedge(node, service, now):
        return None
    return immediate_upstream(node, progress, now)
