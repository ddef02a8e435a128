"""What follows the end of an attempt: the reply, or another attempt."""

from collections.abc import Mapping
from typing import Final

from chervilstep import refusals
from chervilstep.calls import Answer, Call, Ending, Outcome, Reply
from chervilstep.node import Node
from chervilstep.progress import Progress
from chervilstep.queries.budget import can_afford
from chervilstep.queries.outcomes import SERVER_ERROR
from chervilstep.queries.poison import is_quarantined
from chervilstep.types import Instant, Verdict

#: What the caller is told when the call may have run.
_DOUBTS: Final[Mapping[Ending, refusals.Refusal]] = {
    Ending.LOST: refusals.UPSTREAM_LOST,
    Ending.TIMED_OUT: refusals.UPSTREAM_TIMEOUT,
    Ending.BAD_ANSWER: refusals.BAD_ANSWER,
    Ending.TOO_LARGE: refusals.ANSWER_TOO_LARGE,
}
#: What the caller is told when no attempt can have run.
_TRUE_REFUSALS: Final[Mapping[Ending, refusals.Refusal]] = {
    Ending.MOVED: refusals.UPSTREAM_MOVED,
    Ending.SHED: refusals.UPSTREAM_SHED,
    Ending.CONNECT_FAILED: refusals.UPSTREAM_UNREACHABLE,
    Ending.LOST_BEFORE_WRITE: refusals.UPSTREAM_UNREACHABLE,
    Ending.CANCELLED: refusals.DEADLINE_PASSED,
}


def reply_after(
    node: Node, progress: Progress, outcome: Outcome, now: Instant
) -> Reply | None:
    """Returns the reply to the caller, or None when a retry is allowed."""
    answer = outcome.answer
    if answer is None:
        has_another = may_retry(progress, outcome, now)
    else:
        has_another = may_ask_another(progress, answer, now)
    if has_another and not _is_barred(node, progress, now):
        return None
    return _last_reply(progress, outcome)


def may_ask_another(progress: Progress, answer: Answer, now: Instant) -> bool:
    """Whether another upstream may do better than a failure of this one."""
    if answer.status < SERVER_ERROR or not progress.ticket.is_idempotent:
        return False
    return _has_attempts(progress, now)


def may_retry(progress: Progress, outcome: Outcome, now: Instant) -> bool:
    """Whether the call may be sent again, to another upstream."""
    ticket = progress.ticket
    if not _has_attempts(progress, now):
        return False
    if outcome.verdict is Verdict.MAY_HAVE_RUN:
        is_abandoned = outcome.ending is Ending.CANCELLED
        return ticket.is_idempotent and not is_abandoned
    return outcome.verdict.is_safe_to_resend


def is_nested(call: Call) -> bool:
    """Whether the call belongs to a retry of an outer layer.

    Calls go several layers deep; only the first attempt of a request may
    be retried below it, so that retries add up and do not multiply.
    """
    return call.attempt > 1


def refusal_after(progress: Progress, outcome: Outcome) -> refusals.Refusal:
    """Says truthfully how the call failed after its last attempt."""
    if progress.doubt is None:
        return _TRUE_REFUSALS.get(outcome.ending, refusals.UPSTREAM_UNREACHABLE)
    return _DOUBTS.get(progress.doubt.ending, refusals.INTERNAL_ERROR)


def reply_while_waiting(progress: Progress, refusal: refusals.Refusal) -> Reply:
    """Keeps a refusal of the queue true after attempts that may have run.

    The failure that an upstream has answered says more than any refusal.
    """
    if progress.doubt is None:
        return refusal
    return _last_reply(progress, progress.doubt)


def _has_attempts(progress: Progress, now: Instant) -> bool:
    ticket = progress.ticket
    if ticket.deadline.has_passed(now) or is_nested(ticket.call):
        return False
    return progress.attempts < ticket.route.max_attempts


def _last_reply(progress: Progress, outcome: Outcome) -> Reply:
    if outcome.answer is not None:
        return outcome.answer
    if progress.doubt is not None and progress.doubt.answer is not None:
        return progress.doubt.answer
    return refusal_after(progress, outcome)


def _is_barred(node: Node, progress: Progress, now: Instant) -> bool:
    if is_quarantined(node, progress.ticket, now):
        return True
    return not can_afford(node, progress.ticket.route.service, now)
