"""Policies that select one of the usable upstreams of a service.

The baseline policies (random, round robin, least in flight, two choices) work
as in other load balancers: requests are sent at once and wait at the
upstreams, so these policies never return None.
"""

import sys
from collections.abc import Mapping
from typing import Final, TypeAlias

from chervilstep.hooks import POLICIES
from chervilstep.loads import UpstreamLoad
from chervilstep.node import Node
from chervilstep.queries.assignment import (
    SlotShare,
    max_in_flight,
    own_slots,
)
from chervilstep.queries.slowstart import own_open_slots
from chervilstep.services import Service, Upstream
from chervilstep.types import Instant

#: Requests that an instance sends to an upstream beyond its assigned slots.
EXTRA_REQUESTS: Final = 1
#: A sort key: whether the preferred number of requests is reached, the requests
#: in flight, and the sequence number of the last attempt.
Rank: TypeAlias = tuple[bool, int, int]
#: The rank of an upstream that accepts no request from this instance.
WORST_RANK: Final[Rank] = (True, sys.maxsize, 0)


@POLICIES.register('random')
def pick_random(
    node: Node, service: Service, usable: tuple[Upstream, ...], now: Instant
) -> Upstream | None:
    """Picks an upstream at random, each with the same probability."""
    return node.rng.choice(usable)


@POLICIES.register('round-robin')
def pick_round_robin(
    node: Node, service: Service, usable: tuple[Upstream, ...], now: Instant
) -> Upstream | None:
    """Picks the upstreams in turn."""
    return usable[node.loads.attempts_started % len(usable)]


@POLICIES.register('least-in-flight')
def pick_least_in_flight(
    node: Node, service: Service, usable: tuple[Upstream, ...], now: Instant
) -> Upstream | None:
    """Picks the upstream with the fewest requests from this instance."""
    in_flight = {
        upstream: node.loads.in_flight(upstream.name) for upstream in usable
    }
    fewest = min(in_flight.values())
    return node.rng.choice(
        [upstream for upstream, count in in_flight.items() if count == fewest]
    )


@POLICIES.register('two-choices')
def pick_two_choices(
    node: Node, service: Service, usable: tuple[Upstream, ...], now: Instant
) -> Upstream | None:
    """Picks the less loaded of two random upstreams (Mitzenmacher 2001)."""
    pair = node.rng.sample(usable, min(2, len(usable)))
    return min(
        pair,
        key=lambda upstream: _reported_in_flight(
            node.loads.by_upstream.get(upstream.name), now
        ),
    )


@POLICIES.register('home-slots')
def pick_own_slot(
    node: Node, service: Service, usable: tuple[Upstream, ...], now: Instant
) -> Upstream | None:
    """Picks an upstream with a free slot assigned to this instance.

    If none is free, any upstream with an open slot is picked. Among several,
    the upstream with the fewest requests from this instance is preferred, and
    then the least recently used one.
    """
    load = node.loads.by_service.get(service.name)
    if load is not None and load.in_flight >= load.limit:
        return None
    slots = own_slots(node, service, now)
    counts = {
        upstream: slots[upstream.name].count_below(max_in_flight(upstream))
        for upstream in usable
    }
    return _pick_best(
        node,
        {
            upstream: _rank_upstream(
                node,
                upstream,
                slots[upstream.name],
                now,
                preferred=counts[upstream],
                limit=counts[upstream] + EXTRA_REQUESTS,
            )
            for upstream in usable
        },
    )


@POLICIES.register('warm-least-in-flight')
def pick_warm(
    node: Node, service: Service, usable: tuple[Upstream, ...], now: Instant
) -> Upstream | None:
    """Picks the upstream with the fewest requests from this instance.

    A cold upstream gets requests only in its open slots and only from the
    instances to which these are assigned. No instance sends an upstream more
    requests than it has slots. Ties go to the least recently used upstream.
    """
    slots = own_slots(node, service, now)
    return _pick_best(
        node,
        {
            upstream: _rank_upstream(
                node,
                upstream,
                slots[upstream.name],
                now,
                preferred=upstream.slots,
                limit=upstream.slots,
            )
            for upstream in usable
        },
    )


def _pick_best(node: Node, ranks: Mapping[Upstream, Rank]) -> Upstream | None:
    lowest = min(ranks.values(), default=WORST_RANK)
    if lowest == WORST_RANK:
        return None
    return node.rng.choice(
        [upstream for upstream, rank in ranks.items() if rank == lowest]
    )


def _has_open_slot(
    node: Node,
    upstream: Upstream,
    slots: SlotShare,
    in_flight: int,
    now: Instant,
) -> bool:
    record = node.slow_start.by_upstream.get(upstream.name)
    if record is not None and record.is_warm(now):
        return True
    return in_flight < own_open_slots(record, slots, now)


def _rank_upstream(
    node: Node,
    upstream: Upstream,
    slots: SlotShare,
    now: Instant,
    *,
    preferred: int,
    limit: int,
) -> Rank:
    """Returns the rank of an upstream; the lowest rank is picked.

    This instance sends up to ``preferred`` requests to an upstream before
    others are preferred, and at most ``limit`` requests.
    """
    load = node.loads.by_upstream.get(upstream.name)
    in_flight = load.in_flight if load else 0
    if not _has_open_slot(node, upstream, slots, in_flight, now):
        return WORST_RANK
    if load is None:
        return (preferred == 0, 0, 0)
    if in_flight >= limit or load.is_full(now):
        return WORST_RANK
    return (in_flight >= preferred, in_flight, load.last_used)


def _reported_in_flight(load: UpstreamLoad | None, now: Instant) -> int:
    if load is None:
        return 0
    report = load.report
    if report is None or report.valid_until.has_passed(now):
        return load.in_flight
    return max(load.in_flight, report.in_flight)
