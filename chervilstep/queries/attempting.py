"""Creates the next attempt of a call and sets its deadline."""

from typing import Final

from chervilstep.calls import Attempt
from chervilstep.node import Node
from chervilstep.progress import Progress
from chervilstep.queries.retrying import is_nested
from chervilstep.services import Upstream
from chervilstep.types import Deadline, Instant, new_deadline

#: The fraction of the remaining time that an attempt gets if it may be retried.
ATTEMPT_TIME_FRACTION: Final = 0.5

#: The minimum timeout of an attempt, as a multiple of the tail latency of its
#: service.
TAIL_MULTIPLE: Final = 1.5


def new_attempt(
    node: Node, progress: Progress, upstream: Upstream, now: Instant
) -> Attempt:
    """Creates the next attempt of a call at ``upstream``.

    The attempt number continues that of the caller, so that the layers below
    recognize a retry.
    """
    return Attempt(
        progress.ticket,
        upstream,
        progress.ticket.call.attempt + progress.attempt_count,
        now,
        attempt_deadline(node, progress, now),
    )


def attempt_deadline(node: Node, progress: Progress, now: Instant) -> Deadline:
    """Returns the deadline of the next attempt.

    An attempt that may be retried after a timeout gets half of the remaining
    time, but not less than most calls of a slow service take. The last
    attempt, or one whose call must not run twice, gets all of the remaining
    time, since an earlier timeout would gain nothing.
    """
    deadline = progress.ticket.deadline
    if not allows_further_retry(progress) or is_hedged(progress):
        return deadline
    seconds = deadline.remaining(now) * ATTEMPT_TIME_FRACTION
    estimate = node.latency_estimates.by_service.get(
        progress.ticket.route.service
    )
    if estimate is not None and estimate.tail_seconds is not None:
        seconds = max(seconds, estimate.tail_seconds * TAIL_MULTIPLE)
    return new_deadline(now, seconds).earlier(deadline)


def is_hedged(progress: Progress) -> bool:
    """Whether a late attempt is hedged instead of timed out.

    On a route with a latency objective, a late attempt is kept running while
    a hedge runs in parallel, so that the work done so far is not wasted.
    """
    return progress.ticket.route.objective_seconds is not None


def allows_further_retry(progress: Progress) -> bool:
    """Whether the next attempt may be retried if it times out."""
    ticket = progress.ticket
    if progress.attempt_count + 1 >= ticket.route.max_attempts:
        return False
    if not ticket.is_idempotent:
        return False
    return not is_nested(ticket.call)
