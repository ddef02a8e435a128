"""Commands that record the limits that upstreams state."""

from typing import Final

from chervilstep.calls import Attempt, Ending, Outcome
from chervilstep.hooks import ATTEMPT_END_HOOKS
from chervilstep.node import Node
from chervilstep.queries.throttling import merge_evidence
from chervilstep.reports import NO_LIMIT, StatedLimit
from chervilstep.throttles import LimitEvidence, Throttle
from chervilstep.types import Instant

THROTTLE_RANK: Final = 25
#: The part of an unreadable limit that is logged.
MAX_LOGGED_CHARACTERS: Final = 40


@ATTEMPT_END_HOOKS.register(THROTTLE_RANK)
def record_answered_limit(
    node: Node, attempt: Attempt, outcome: Outcome
) -> None:
    """Records what the answer of an attempt says about the limit."""
    stated = outcome.stated_limit
    # The answer to a moved address comes from another upstream.
    if stated is not None and outcome.ending is not Ending.MOVED:
        record_stated_limit(
            node,
            attempt.upstream.name,
            stated,
            attempt.started_at,
            outcome.ended_at,
        )


def record_checked_limit(
    node: Node,
    upstream: str,
    stated: StatedLimit,
    asked_at: Instant,
    now: Instant,
) -> None:
    """Records the limit that the answer to a health check states.

    A health answer without a limit says nothing: upstreams need not state
    their limit there.
    """
    if stated is not NO_LIMIT:
        record_stated_limit(node, upstream, stated, asked_at, now)


def record_stated_limit(
    node: Node,
    upstream: str,
    stated: StatedLimit,
    asked_at: Instant,
    now: Instant,
) -> None:
    """Records what an answer to this instance says about the limit."""
    if stated.unreadable_text is not None:
        record_unreadable_limit(node, upstream, stated.unreadable_text, now)
        return
    evidence = LimitEvidence(
        stated.calls_per_second, asked_at, now, node.settings.name
    )
    record_evidence(node, upstream, evidence, now)


def record_unreadable_limit(
    node: Node, upstream: str, text: str, now: Instant
) -> None:
    """Counts a limit that cannot be read; what was known before holds."""
    node.counters.add('limits_unreadable')
    if node.throttles.may_log_unreadable(now):
        node.throttles.record_unreadable_log(now)
        node.events.add(
            'limit_unreadable',
            upstream=upstream,
            text=text[:MAX_LOGGED_CHARACTERS],
        )


def record_evidence(
    node: Node, upstream: str, received: LimitEvidence, now: Instant
) -> None:
    """Records a statement of an upstream, heard here or by a peer."""
    throttle = node.throttles.by_upstream.get(upstream)
    known = throttle.evidence if throttle else None
    merged = merge_evidence(known, received)
    if merged is None or merged is known:
        return
    if throttle is None:
        node.throttles.put(upstream, Throttle(merged))
    else:
        throttle.replace_evidence(merged)
    _log_change(node, upstream, known, merged, now)


def _log_change(
    node: Node,
    upstream: str,
    known: LimitEvidence | None,
    merged: LimitEvidence,
    now: Instant,
) -> None:
    previous = known.calls_per_second if known else None
    if merged.calls_per_second == previous:
        return
    node.events.add(
        'limit_ended' if merged.calls_per_second is None else 'limit_stated',
        upstream=upstream,
        limit=merged.calls_per_second,
        previous=previous,
        source=merged.source,
        age=round(now - merged.heard_at, 3),
    )
