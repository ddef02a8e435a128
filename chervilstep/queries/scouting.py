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
from chervilstep.queries.soonest import SOONEST, expected_cost, is_healthy
from chervilstep.services import Service, Upstream
from chervilstep.types import Instant

#: A report of this age still tells how fast an upstream works.
FRESH_SECONDS: Final = 0.03
#: Upstreams that are asked at a time.
SCOUTS: Final = 3
#: How often more are asked when the first ones turn out to be slow.
ROUNDS: Final = 2


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
    stale = [each for each in ranked if not _is_fresh(node, each, now)]
    return tuple(stale[:SCOUTS])


def _ranked(
    node: Node, service: Service, progress: Progress, now: Instant
) -> list[Upstream]:
    costs = {
        upstream: cost
        for upstream in usable_upstreams(node, service, progress.tried)
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
