"""Rejected policies, kept so that their results can be reproduced."""

from chervilstep.hooks import POLICIES
from chervilstep.node import Node
from chervilstep.queries.assignment import own_slot_count
from chervilstep.services import Service, Upstream
from chervilstep.types import Instant

#: The weight of a request of this instance; a reported request weighs 1.
OWN_REQUEST_WEIGHT = 3


@POLICIES.register('least-recent')
def pick_least_recent(
    node: Node, service: Service, usable: tuple[Upstream, ...], now: Instant
) -> Upstream | None:
    """Picks the upstream with the fewest requests of this instance.

    Among equals it picks the least recently used.
    """
    return min(usable, key=lambda upstream: _recency_rank(node, upstream))


@POLICIES.register('bare-home-slots')
def pick_assigned(
    node: Node, service: Service, usable: tuple[Upstream, ...], now: Instant
) -> Upstream | None:
    """Picks assigned slots first, regardless of limits and slow start."""

    def rank(upstream: Upstream) -> tuple[bool, int, int, float]:
        in_flight, last_used, tie = _recency_rank(node, upstream)
        return (
            in_flight >= own_slot_count(node, service, upstream, now),
            in_flight,
            last_used,
            tie,
        )

    return min(usable, key=rank)


@POLICIES.register('peak-ewma')
def pick_peak_ewma(
    node: Node, service: Service, usable: tuple[Upstream, ...], now: Instant
) -> Upstream | None:
    """Picks the cheaper of two random upstreams by peak EWMA, as Finagle does.

    The cost is latency times requests in flight.
    """

    def cost(upstream: Upstream) -> float:
        load = node.loads.upstream_load(upstream.name)
        return (load.latency or 0) * (load.in_flight + 1)

    return min(node.rng.sample(usable, min(2, len(usable))), key=cost)


@POLICIES.register('least-reported')
def pick_least_reported(
    node: Node, service: Service, usable: tuple[Upstream, ...], now: Instant
) -> Upstream | None:
    """Picks the upstream with the lowest load.

    The load combines the last report with the requests of this instance.
    """

    def estimated_load(upstream: Upstream) -> tuple[int, int, int, float]:
        load = node.loads.upstream_load(upstream.name)
        report = load.report
        reported = 0
        if report is not None and not report.valid_until.has_passed(now):
            reported = report.in_flight
        return (
            reported + OWN_REQUEST_WEIGHT * load.in_flight,
            *_recency_rank(node, upstream),
        )

    return min(usable, key=estimated_load)


def _recency_rank(node: Node, upstream: Upstream) -> tuple[int, int, float]:
    load = node.loads.upstream_load(upstream.name)
    return (load.in_flight, load.last_used, node.rng.random())
