"""The policies that choose one of the usable upstreams of a service.

The baselines do what they do elsewhere: they send at once and leave the
waiting to the upstreams, so they never answer that a request should wait.
"""

from chervilstep.board import UpstreamLoad
from chervilstep.hooks import POLICIES
from chervilstep.node import Node
from chervilstep.snapshot import Service, Upstream
from chervilstep.types import Instant


@POLICIES.register('random')
def pick_random(
    node: Node, service: Service, usable: tuple[Upstream, ...], now: Instant
) -> Upstream | None:
    """Picks any upstream with the same probability."""
    return node.rng.choice(usable)


@POLICIES.register('round-robin')
def pick_next(
    node: Node, service: Service, usable: tuple[Upstream, ...], now: Instant
) -> Upstream | None:
    """Picks the upstreams one after another."""
    return usable[node.board.turns % len(usable)]


@POLICIES.register('least-in-flight')
def pick_least_in_flight(
    node: Node, service: Service, usable: tuple[Upstream, ...], now: Instant
) -> Upstream | None:
    """Picks the upstream with the fewest requests of this instance."""
    in_flight = {
        upstream: node.board.in_flight(upstream.name) for upstream in usable
    }
    fewest = min(in_flight.values())
    return node.rng.choice(
        [upstream for upstream, count in in_flight.items() if count == fewest]
    )


@POLICIES.register('two-choices')
def pick_of_two(
    node: Node, service: Service, usable: tuple[Upstream, ...], now: Instant
) -> Upstream | None:
    """Picks the less loaded of two, by their reports (Mitzenmacher 2001)."""
    pair = node.rng.sample(usable, min(2, len(usable)))
    return min(
        pair,
        key=lambda upstream: _reported(
            node.board.loads.get(upstream.name), now
        ),
    )


def _reported(load: UpstreamLoad | None, now: Instant) -> int:
    if load is None:
        return 0
    report = load.report
    if report is None or report.believed_until.has_passed(now):
        return load.in_flight
    return max(load.in_flight, report.in_flight)
