"""Commands that record, share and spend the limits that upstreams state."""

from typing import Final

from chervilstep.calls import Attempt, Ending, Outcome
from chervilstep.hooks import ATTEMPT_END_HOOKS, ATTEMPT_START_HOOKS, every
from chervilstep.node import Node
from chervilstep.queries.health import configured_upstreams
from chervilstep.queries.overlay import is_full_mesh
from chervilstep.queries.throttling import (
    active_throttle,
    merge_evidence,
    own_share,
    sharing_instances,
)
from chervilstep.reports import NO_LIMIT, StatedLimit
from chervilstep.throttles import NO_SHARE, LimitEvidence, Throttle
from chervilstep.types import Instant

THROTTLE_RANK: Final = 25
#: The part of an unreadable limit that is logged.
MAX_LOGGED_CHARACTERS: Final = 40
#: How often the shares are compared with the members of the fleet.
SHARE_PERIOD_SECONDS: Final = 0.1
EXPIRY_PERIOD_SECONDS: Final = 5.0
#: How long the limit of an upstream that is not configured is kept. Peers may
#: report limits before the configuration lists the upstream, and entries may
#: lapse for a while.
UNCONFIGURED_RETENTION_SECONDS: Final = 60.0


@ATTEMPT_START_HOOKS.register(THROTTLE_RANK)
def spend_limit_token(node: Node, attempt: Attempt) -> None:
    """Spends the token of an attempt at an upstream with a limit."""
    throttle = active_throttle(node, attempt.upstream.name)
    if throttle is not None:
        throttle.spend_token(attempt.started_at)


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
    requested_at: Instant,
    now: Instant,
) -> None:
    """Records the limit that the answer to a health check states.

    A health answer without a limit says nothing: upstreams need not state
    their limit there.
    """
    if stated is not NO_LIMIT:
        record_stated_limit(node, upstream, stated, requested_at, now)


def record_stated_limit(
    node: Node,
    upstream: str,
    stated: StatedLimit,
    requested_at: Instant,
    now: Instant,
) -> None:
    """Records what an answer to this instance says about the limit."""
    if stated.unreadable_text is not None:
        record_unreadable_limit(node, upstream, stated.unreadable_text, now)
        return
    evidence = LimitEvidence(
        stated.calls_per_second, requested_at, now, node.settings.name
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
    """Records a statement of an upstream, received here or by a peer."""
    throttle = node.throttles.by_upstream.get(upstream)
    known = throttle.evidence if throttle else None
    merged = merge_evidence(known, received)
    if merged is None or merged is known:
        return
    if throttle is None:
        throttle = Throttle(merged, now)
        node.throttles.put(upstream, throttle)
    throttle.replace_evidence(merged)
    previous = known.calls_per_second if known else None
    if merged.calls_per_second == previous:
        return
    _update_share(node, upstream, throttle, now)
    _log_change(node, upstream, merged, previous, now)
    # In a full mesh, the instance that received the answer sends it to all.
    if merged.source == node.settings.name or not is_full_mesh(node.members):
        node.throttles.mark_changed(upstream)


@every(SHARE_PERIOD_SECONDS, 'limit-shares')
def update_limit_shares(node: Node, now: Instant) -> None:
    """Shares the limits anew when the members of the fleet have changed."""
    instances = sharing_instances(node)
    if instances == node.throttles.sharing_instances:
        return
    node.throttles.replace_sharing_instances(instances)
    for upstream, throttle in node.throttles.by_upstream.items():
        _update_share(node, upstream, throttle, now)


@every(EXPIRY_PERIOD_SECONDS, 'limit-expiry')
def remove_old_limits(node: Node, now: Instant) -> None:
    """Removes the limits of upstreams that are gone."""
    if not node.throttles.by_upstream:
        return
    configured = configured_upstreams(node)
    for upstream, throttle in tuple(node.throttles.by_upstream.items()):
        age = now - throttle.evidence.received_at
        if upstream not in configured and age > UNCONFIGURED_RETENTION_SECONDS:
            node.throttles.remove(upstream)


def _update_share(
    node: Node, upstream: str, throttle: Throttle, now: Instant
) -> None:
    if not node.throttles.sharing_instances:
        node.throttles.replace_sharing_instances(sharing_instances(node))
    limit = throttle.calls_per_second
    share = NO_SHARE if limit is None else own_share(node, upstream, limit)
    throttle.replace_share(share, now)


def _log_change(
    node: Node,
    upstream: str,
    merged: LimitEvidence,
    previous: float | None,
    now: Instant,
) -> None:
    node.events.add(
        'limit_ended' if merged.calls_per_second is None else 'limit_stated',
        upstream=upstream,
        limit=merged.calls_per_second,
        previous=previous,
        source=merged.source,
        age=round(now - merged.received_at, 3),
    )
