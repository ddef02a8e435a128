"""Policies that were weighed and lost, kept so that their figures repeat."""

from chervilstep.hooks import POLICIES
from chervilstep.node import Node
from chervilstep.queries.assignment import own_slots
from chervilstep.services import Service, Upstream
from chervilstep.types import Instant

#: What an own request in flight weighs against a request of a report.
OWN_WEIGHT = 3


@POLICIES.register('least-recent')
def pick_least_recent(
    node: Node, service: Service, usable: tuple[Upstream, ...], now: Instant
) -> Upstream | None:
    """Picks by own requests in flight, then by the time of the last pick."""
    return min(usable, key=lambda upstream: _turn(node, upstream))


@POLICIES.register('bare-home-slots')
def pick_home(
    node: Node, service: Service, usable: tuple[Upstream, ...], now: Instant
) -> Upstream | None:
    """Picks own slots first, and knows neither limits nor warmth."""
    homes = own_slots(node, service, now)

    def rank(upstream: Upstream) -> tuple[bool, int, int, float]:
        in_flight, turn, tie = _turn(node, upstream)
        return (in_flight >= len(homes[upstream.name]), in_flight, turn, tie)

    return min(usable, key=rank)


@POLICIES.register('peak-ewma')
def pick_peak_ewma(
    node: Node, service: Service, usable: tuple[Upstream, ...], now: Instant
) -> Upstream | None:
    """Picks the lower of two by latency times requests, as Finagle does."""

    def cost(upstream: Upstream) -> float:
        load = node.loads.upstream_load(upstream.name)
        return (load.latency or 0) * (load.in_flight + 1)

    return min(node.rng.sample(usable, min(2, len(usable))), key=cost)


@POLICIES.register('least-reported')
def pick_least_reported(
    node: Node, service: Service, usable: tuple[Upstream, ...], now: Instant
) -> Upstream | None:
    """Picks the least loaded by reports and own requests together."""

    def believed(upstream: Upstream) -> tuple[int, int, int, float]:
        load = node.loads.upstream_load(upstream.name)
        report = load.report
        reported = 0
        if report is not None and not report.valid_until.has_passed(now):
            reported = report.in_flight
        return (
            reported + OWN_WEIGHT * load.in_flight,
            *_turn(node, upstream),
        )

    return min(usable, key=believed)


def _turn(node: Node, upstream: Upstream) -> tuple[int, int, float]:
    load = node.loads.upstream_load(upstream.name)
    return (load.in_flight, load.last_used, node.rng.random())
