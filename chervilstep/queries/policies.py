"""The policies that choose one of the usable upstreams of a service.

The baselines do what they do elsewhere: they send at once and leave the
waiting to the upstreams, so they never answer that a request should wait.
"""

from typing import Final

from chervilstep.board import UpstreamLoad
from chervilstep.hooks import POLICIES
from chervilstep.node import Node
from chervilstep.queries.homes import own_slots
from chervilstep.queries.warmth import is_open
from chervilstep.snapshot import Service, Upstream
from chervilstep.types import Instant

#: Requests that an instance sends to an upstream beyond its own slots there.
SPARE_SLOTS: Final = 1


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


@POLICIES.register('home-slots')
def pick_home_slot(
    node: Node, service: Service, usable: tuple[Upstream, ...], now: Instant
) -> Upstream | None:
    """Picks an upstream with a free slot whose home is this instance.

    When all of them are taken, any open upstream will do. Among several the
    one with the fewest requests of this instance is picked, and among those
    the one that was picked the longest time ago.
    """
    load = node.board.services.get(service.name)
    if load is not None and load.in_flight >= load.limit:
        return None
    homes = own_slots(node, service, now)
    ranks = {
        upstream: _rank(node, upstream, len(homes[upstream.name]))
        for upstream in usable
        if is_open(node, service, upstream, now)
        and _has_room(node, upstream, len(homes[upstream.name]), now)
    }
    if not ranks:
        return None
    best = min(ranks.values())
    return node.rng.choice(
        [upstream for upstream, rank in ranks.items() if rank == best]
    )


def _rank(node: Node, upstream: Upstream, homes: int) -> tuple[bool, int, int]:
    load = node.board.loads.get(upstream.name)
    if load is None:
        return (homes == 0, 0, 0)
    return (load.in_flight >= homes, load.in_flight, load.last_turn)


def _has_room(node: Node, upstream: Upstream, homes: int, now: Instant) -> bool:
    load = node.board.loads.get(upstream.name)
    if load is None:
        return True
    return load.in_flight < homes + SPARE_SLOTS and not load.is_full(now)


def _reported(load: UpstreamLoad | None, now: Instant) -> int:
    if load is None:
        return 0
    report = load.report
    if report is None or report.believed_until.has_passed(now):
        return load.in_flight
    return max(load.in_flight, report.in_flight)
