"""The shape of the next attempt of a call."""

from typing import Final

from chervilstep.calls import Attempt
from chervilstep.node import Node
from chervilstep.progress import Progress
from chervilstep.queries.retrying import is_nested
from chervilstep.services import Upstream
from chervilstep.types import Deadline, Instant, new_deadline

#: The part of the remaining time that an attempt gets when it may be retried.
ATTEMPT_SHARE: Final = 0.5

#: An attempt gets at least this multiple of the tail of its service.
TAIL_MULTIPLE: Final = 1.5


def new_attempt(
    node: Node, progress: Progress, upstream: Upstream, now: Instant
) -> Attempt:
    """Creates the next attempt of a call at ``upstream``.

    Its number goes on from that of the caller, so that each layer below
    sees that it belongs to a retry.
    """
    return Attempt(
        progress.ticket,
        upstream,
        progress.ticket.call.attempt + progress.attempts,
        now,
        attempt_deadline(node, progress, now),
    )


def attempt_deadline(node: Node, progress: Progress, now: Instant) -> Deadline:
    """Returns when the next attempt is given up.

    An attempt that could be followed by another one after a silence gets
    half of the time that remains, and no less than most calls of a slow
    service need. One that is the last, or whose call must
    not run twice, gets all of it: giving up earlier could not help it.
    """
    deadline = progress.ticket.deadline
    if not has_successor(progress) or is_hedged(progress):
        return deadline
    seconds = deadline.remaining(now) * ATTEMPT_SHARE
    tail = node.tails.by_service.get(progress.ticket.route.service)
    if tail is not None and tail.seconds is not None:
        seconds = max(seconds, tail.seconds * TAIL_MULTIPLE)
    return new_deadline(now, seconds).earlier(deadline)


def is_hedged(progress: Progress) -> bool:
    """Whether a late attempt is raced by another one and not given up.

    Where an objective says when an attempt is late, the work that was done
    for it is kept.
    """
    return progress.ticket.route.objective_seconds is not None


def has_successor(progress: Progress) -> bool:
    """Whether a silent attempt could be followed by another one."""
    ticket = progress.ticket
    if progress.attempts + 1 >= ticket.route.max_attempts:
        return False
    if not ticket.is_idempotent:
        return False
    return not is_nested(ticket.call)
