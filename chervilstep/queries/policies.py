"""The policies that choose one of the usable upstreams of a service.

The baselines do what they do elsewhere: they send at once and leave the
waiting to the upstreams, so they never answer that a request should wait.
"""

import sys
from collections.abc import Mapping
from typing import Final, TypeAlias

from chervilstep.board import UpstreamLoad
from chervilstep.hooks import POLICIES
from chervilstep.node import Node
from chervilstep.queries.homes import own_slots
from chervilstep.queries.warmth import open_slots
from chervilstep.services import Service, Upstream
from chervilstep.types import Instant

#: Requests that an instance sends to an upstream beyond its own slots there.
SPARE_SLOTS: Final = 1
#: Whether the own slots are taken, requests in flight, and the last turn.
Rank: TypeAlias = tuple[bool, int, int]
#: The rank of an upstream that takes nothing from this instance now.
WORST_RANK: Final[Rank] = (True, sys.maxsize, 0)


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
    return _lowest(
        node,
        {
            upstream: _rank(
                node,
                upstream,
                homes[upstream.name],
                now,
                preferred=len(homes[upstream.name]),
                most=len(homes[upstream.name]) + SPARE_SLOTS,
            )
            for upstream in usable
        },
    )


@POLICIES.register('warm-least-in-flight')
def pick_warm(
    node: Node, service: Service, usable: tuple[Upstream, ...], now: Instant
) -> Upstream | None:
    """Picks the least used upstream among those that can bear more work.

    Cold upstreams take what their open slots allow, and only from the homes
    of these; no upstream takes more from one instance than it has slots.
    Among equals the one that was picked the longest time ago is next.
    """
    homes = own_slots(node, service, now)
    return _lowest(
        node,
        {
            upstream: _rank(
                node,
                upstream,
                homes[upstream.name],
                now,
                preferred=upstream.slots,
                most=upstream.slots,
            )
            for upstream in usable
        },
    )


def _lowest(node: Node, ranks: Mapping[Upstream, Rank]) -> Upstream | None:
    lowest = min(ranks.values(), default=WORST_RANK)
    if lowest == WORST_RANK:
        return None
    return node.rng.choice(
        [upstream for upstream, rank in ranks.items() if rank == lowest]
    )


def _has_open_slot(
    node: Node,
    upstream: Upstream,
    homes: tuple[int, ...],
    in_flight: int,
    now: Instant,
) -> bool:
    record = node.warmth.records.get(upstream.name)
    if record is not None and record.takes_all(now):
        return True
    return in_flight < open_slots(record, homes, now)


def _rank(
    node: Node,
    upstream: Upstream,
    homes: tuple[int, ...],
    now: Instant,
    *,
    preferred: int,
    most: int,
) -> Rank:
    """Ranks an upstream, the lower the better; the worst takes nothing.

    This instance sends up to ``preferred`` requests to an upstream before it
    turns to others, and never more than ``most``.
    """
    load = node.board.loads.get(upstream.name)
    in_flight = load.in_flight if load else 0
    if not _has_open_slot(node, upstream, homes, in_flight, now):
        return WORST_RANK
    if load is None:
        return (preferred == 0, 0, 0)
    if in_flight >= most or load.is_full(now):
        return WORST_RANK
    return (in_flight >= preferred, in_flight, load.last_turn)


def _reported(load: UpstreamLoad | None, now: Instant) -> int:
    if load is None:
        return 0
    report = load.report
    if report is None or report.believed_until.has_passed(now):
        return load.in_flight
    return max(load.in_flight, report.in_flight)
