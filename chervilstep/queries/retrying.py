"""Decides between a reply and a retry when an attempt has ended."""

from collections.abc import Mapping
from typing import Final

from chervilstep import refusals
from chervilstep.calls import Answer, Call, Ending, Outcome, Reply
from chervilstep.node import Node
from chervilstep.progress import Progress
from chervilstep.queries.budget import can_afford_retry
from chervilstep.queries.outcomes import MIN_SERVER_ERROR_STATUS
from chervilstep.queries.poison import is_quarantined
from chervilstep.types import Instant, Verdict

#: The refusals for calls that may have run.
_MAY_HAVE_RUN_REFUSALS: Final[Mapping[Ending, refusals.Refusal]] = {
    Ending.LOST: refusals.UPSTREAM_LOST,
    Ending.TIMED_OUT: refusals.UPSTREAM_TIMEOUT,
    Ending.BAD_ANSWER: refusals.BAD_ANSWER,
    Ending.TOO_LARGE: refusals.ANSWER_TOO_LARGE,
}
#: The refusals for calls that have not run at any upstream.
_NOT_RUN_REFUSALS: Final[Mapping[Ending, refusals.Refusal]] = {
    Ending.MOVED: refusals.UPSTREAM_MOVED,
    Ending.SHED: refusals.UPSTREAM_SHED,
    Ending.CONNECT_FAILED: refusals.UPSTREAM_UNREACHABLE,
    Ending.LOST_BEFORE_WRITE: refusals.UPSTREAM_UNREACHABLE,
    Ending.CANCELLED: refusals.DEADLINE_PASSED,
}


def final_reply(
    node: Node, progress: Progress, outcome: Outcome, now: Instant
) -> Reply | None:
    """Returns the reply to the caller, or None if the call is retried."""
    answer = outcome.answer
    if answer is None:
        is_retryable = may_retry(progress, outcome, now)
    else:
        is_retryable = may_retry_error_answer(progress, answer, now)
    if is_retryable and not _is_retry_blocked(node, progress, now):
        return None
    return _best_reply(progress, outcome)


def may_retry_error_answer(
    progress: Progress, answer: Answer, now: Instant
) -> bool:
    """Whether an error answer of an upstream may be retried at another."""
    if (
        answer.status < MIN_SERVER_ERROR_STATUS
        or not progress.ticket.is_idempotent
    ):
        return False
    return _has_attempts_left(progress, now)


def may_retry(progress: Progress, outcome: Outcome, now: Instant) -> bool:
    """Whether a call without an answer may be sent to another upstream."""
    ticket = progress.ticket
    if not _has_attempts_left(progress, now):
        return False
    if outcome.verdict is Verdict.MAY_HAVE_RUN:
        is_cancelled = outcome.ending is Ending.CANCELLED
        return ticket.is_idempotent and not is_cancelled
    return outcome.verdict.is_safe_to_resend


def is_nested(call: Call) -> bool:
    """Whether the call belongs to a retry of an outer layer.

    A call can pass through several layers that retry. Only the first attempt
    of an outer layer is retried here, so that the retries of the layers add
    up and do not multiply.
    """
    return call.attempt > 1


def final_refusal(progress: Progress, outcome: Outcome) -> refusals.Refusal:
    """Returns the refusal of a call whose last attempt has failed.

    Its verdict states whether any attempt of the call may have run.
    """
    if progress.possible_run is None:
        return _NOT_RUN_REFUSALS.get(
            outcome.ending, refusals.UPSTREAM_UNREACHABLE
        )
    return _MAY_HAVE_RUN_REFUSALS.get(
        progress.possible_run.ending, refusals.INTERNAL_ERROR
    )


def reply_to_queue_refusal(
    progress: Progress, refusal: refusals.Refusal
) -> Reply:
    """Returns the reply to a call that the queue has refused.

    After an attempt that may have run, the refusal is replaced by that
    attempt's result, so that its verdict is correct. An error answer of an
    upstream is preferred, since it is more specific than any refusal.
    """
    if progress.possible_run is None:
        return refusal
    return _best_reply(progress, progress.possible_run)


def _has_attempts_left(progress: Progress, now: Instant) -> bool:
    ticket = progress.ticket
    if ticket.deadline.has_passed(now) or is_nested(ticket.call):
        return False
    return progress.attempt_count < ticket.route.max_attempts


def _best_reply(progress: Progress, outcome: Outcome) -> Reply:
    if outcome.answer is not None:
        return outcome.answer
    if (
        progress.possible_run is not None
        and progress.possible_run.answer is not None
    ):
        return progress.possible_run.answer
    return final_refusal(progress, outcome)


def _is_retry_blocked(node: Node, progress: Progress, now: Instant) -> bool:
    if is_quarantined(node, progress.ticket, now):
        return True
    return not can_afford_retry(node, progress.ticket.route.service, now)
