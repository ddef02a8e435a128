"""Which upstreams are asked for their load just before a call is placed.

Where the speed of upstreams changes several times a second, what a call
takes is decided by the moment at which it starts. A report from a few
milliseconds ago is worth the question.
"""

from typing import Final

from chervilstep.node import Node
from chervilstep.progress import Progress
from chervilstep.queries.choice import usable_upstreams
from chervilstep.queries.coldness import may_send_cold
from chervilstep.queries.fleet import known_size
from chervilstep.queries.soonest import SOONEST, expected_cost, is_healthy
from chervilstep.services import Service, Upstream
from chervilstep.types import Instant

#: A report of this age still tells how fast an upstream works.
FRESH_SECONDS: Final = 0.03
#: Upstreams that are asked at a time.
SCOUTS: Final = 3
#: How often more are asked when the first ones turn out to be slow.
ROUNDS: Final = 2
#: The part of the agreed probes that goes to these questions; the regular
#: checks and a fleet that is seen too small take the rest.
USED_PART: Final = 0.8
#: The part of these that belongs to the instances of the upstream's zone.
OWN_ZONE_PART: Final = 0.5
#: A bucket holds the questions of so many seconds, and at least one round.
SAVED_SECONDS: Final = 5.0


def scouted(
    node: Node, progress: Progress, now: Instant
) -> tuple[Upstream, ...]:
    """The upstreams to ask; none when the best one is known already."""
    service = node.snapshot.services.get(progress.ticket.route.service)
    if service is None or service.policy != SOONEST:
        return ()
    if not service.health_path:
        return ()
    ranked = _ranked(node, service, progress, now)
    if not ranked or _is_fresh(node, ranked[0], now):
        return ()
    stale = [
        each
        for each in ranked
        if not _is_fresh(node, each, now)
        and question_tokens(node, each, now) >= 1
    ]
    return tuple(stale[:SCOUTS])


def question_tokens(node: Node, upstream: Upstream, now: Instant) -> float:
    """The questions that this instance may put to an upstream at ``now``.

    The fleet keeps to the agreed probes of an upstream: half of them belong
    to all instances alike, half to those of its zone, which send it most.
    """
    rate = _question_rate(node, upstream)
    depth = max(1, SAVED_SECONDS * rate)
    vitals = node.vitals.by_upstream.get(upstream.name)
    if vitals is None or vitals.question_tokens is None:
        return depth
    elapsed = max(0, now - vitals.questioned_at)
    return min(depth, vitals.question_tokens + elapsed * rate)


def _question_rate(node: Node, upstream: Upstream) -> float:
    allowed = USED_PART * node.settings.allowances.probes_per_second
    rate = (1 - OWN_ZONE_PART) * allowed / known_size(node)
    if upstream.zone == node.settings.zone:
        near = max(1, len(node.members.zones.get(upstream.zone, ())))
        rate += OWN_ZONE_PART * allowed / near
    return rate


def _ranked(
    node: Node, service: Service, progress: Progress, now: Instant
) -> list[Upstream]:
    costs = {
        upstream: cost
        for upstream in usable_upstreams(
            node, service, progress.tried_upstreams
        )
        if is_healthy(node, upstream, now)
        and may_send_cold(node, service, upstream, now)
        and (cost := expected_cost(node, service, upstream, now)) is not None
    }
    # Upstreams of equal cost are asked in turn.
    return sorted(costs, key=lambda each: (costs[each], node.rng.random()))


def _is_fresh(node: Node, upstream: Upstream, now: Instant) -> bool:
    vitals = node.vitals.by_upstream.get(upstream.name)
    if vitals is None or vitals.report is None:
        return False
    return now - vitals.report.at <= FRESH_SECONDS
