"""When an idempotent call is sent to a second upstream, and to which.

Dean and Barroso, "The Tail at Scale" (2013): the second attempt starts when
the first one is slower than most, and whichever answers first wins.
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

#: No attempt is hedged before this time.
MIN_DELAY_SECONDS: Final = 0.005
#: The part of an objective after which too little is left to wait longer.
OBJECTIVE_PART: Final = 0.45


def hedge_at(
    node: Node, progress: Progress, attempt: Attempt
) -> Instant | None:
    """Returns when a first attempt may be hedged, or None for never."""
    ticket = progress.ticket
    if progress.attempt_count > 1 or not ticket.is_idempotent:
        return None
    seconds = patience(node, ticket)
    if seconds is None or is_nested(ticket.call):
        return None
    if ticket.route.max_attempts <= 1:
        return None
    at = attempt.started_at + max(MIN_DELAY_SECONDS, seconds)
    return None if attempt.deadline.has_passed(at) else at


def patience(node: Node, ticket: Ticket) -> float | None:
    """How long a first attempt may take before it counts as late.

    That is the tail of the service, or a part of the route's objective when
    that is earlier or the tail is not known yet.
    """
    tail = node.tails.by_service.get(ticket.route.service)
    seconds = tail.seconds if tail else None
    objective = ticket.route.objective_seconds
    if objective is None:
        return seconds
    by_objective = OBJECTIVE_PART * objective
    return by_objective if seconds is None else min(seconds, by_objective)


def hedge_upstream(
    node: Node, progress: Progress, now: Instant
) -> Upstream | None:
    """Returns where to send the hedge, or None without budget or slot."""
    service = progress.ticket.route.service
    if not can_afford_hedge(node, service, now):
        return None
    return immediate_upstream(node, progress, now)
