"""The shape of the next attempt of a call."""

from typing import Final

from chervilstep.calls import Attempt
from chervilstep.progress import Progress
from chervilstep.queries.retrying import MAX_ATTEMPTS, is_nested
from chervilstep.snapshot import Upstream
from chervilstep.types import Deadline, Instant, new_deadline

#: The part of the remaining time that an attempt gets when it may be retried.
ATTEMPT_SHARE: Final = 0.5


def new_attempt(
    progress: Progress, upstream: Upstream, now: Instant
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
        attempt_deadline(progress, now),
    )


def attempt_deadline(progress: Progress, now: Instant) -> Deadline:
    """Returns when the next attempt is given up.

    An attempt that could be followed by another one after a silence gets
    half of the time that remains. One that is the last, or whose call must
    not run twice, gets all of it: giving up earlier could not help it.
    """
    deadline = progress.ticket.deadline
    if not has_successor(progress):
        return deadline
    return new_deadline(now, deadline.remaining(now) * ATTEMPT_SHARE)


def has_successor(progress: Progress) -> bool:
    """Whether a silent attempt could be followed by another one."""
    ticket = progress.ticket
    if progress.attempts + 1 >= MAX_ATTEMPTS or not ticket.is_idempotent:
        return False
    return not is_nested(ticket.call)
