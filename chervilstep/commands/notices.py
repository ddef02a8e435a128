"""Commands that record what upstreams say about further requests."""

from typing import Final

from chervilstep.calls import Attempt, Ending, Outcome
from chervilstep.hooks import ATTEMPT_END_HOOKS
from chervilstep.node import Node
from chervilstep.queries.outcomes import is_good_answer
from chervilstep.reports import NO_NOTICE, AvailabilityNotice
from chervilstep.types import Instant, new_deadline

#: After the hooks that log the attempt, before those that place waiting calls.
NOTICE_RANK: Final = 22
#: The part of an unreadable pause that is logged.
MAX_LOGGED_CHARACTERS: Final = 40


@ATTEMPT_END_HOOKS.register(NOTICE_RANK)
def record_answered_notice(
    node: Node, attempt: Attempt, outcome: Outcome
) -> None:
    """Records what the answer of an attempt says about further requests."""
    # The answer to a moved address comes from another upstream.
    if outcome.ending is Ending.MOVED:
        return
    name = attempt.upstream.name
    record_notice(
        node,
        name,
        outcome.notice,
        outcome.ended_at,
        attempt.ticket.call.request_id,
    )
    if is_good_answer(outcome) and not outcome.notice.pause_seconds:
        _extend_trial(node, attempt, outcome.ended_at)


def record_notice(
    node: Node,
    upstream: str,
    notice: AvailabilityNotice,
    now: Instant,
    request_id: str = '',
) -> None:
    """Records a notice; an upstream that leaves never takes that back.

    An answer without a notice may be older than one with it, so it undoes
    nothing. Both hold for one start of the upstream, which has a name of its own.
    """
    if notice is NO_NOTICE:
        return
    health = node.health.upstream_health(upstream)
    if notice.is_leaving and not health.is_leaving:
        health.mark_leaving()
        node.events.add(
            'upstream_leaves', upstream=upstream, request=request_id
        )
    if notice.pause_seconds:
        paused_until = new_deadline(now, notice.pause_seconds)
        if paused_until.at > health.paused_until.at:
            node.events.add(
                'upstream_paused',
                upstream=upstream,
                request=request_id,
                seconds=notice.pause_seconds,
            )
        health.pause(paused_until)
    if notice.unreadable_text is not None:
        _record_unreadable(node, upstream, notice.unreadable_text, now)


def _extend_trial(node: Node, attempt: Attempt, now: Instant) -> None:
    """Allows one more request in flight for each answer after a pause."""
    health = node.health.by_upstream.get(attempt.upstream.name)
    if health is None or health.trial_answers is None:
        return
    if not health.paused_until.has_passed(attempt.started_at):
        # Sent before the pause.
        return
    answers = health.trial_answers + 1
    is_over = answers >= attempt.upstream.slots
    health.update_trial(None if is_over else answers)


def _record_unreadable(
    node: Node, upstream: str, text: str, now: Instant
) -> None:
    node.counters.add('pauses_unreadable')
    if node.throttles.may_log_unreadable(now):
        node.throttles.record_unreadable_log(now)
        node.events.add(
            'pause_unreadable',
            upstream=upstream,
            text=text[:MAX_LOGGED_CHARACTERS],
        )
