"""Queries on how much work upstreams may get, and on outliers."""

import statistics
from typing import Final

from chervilstep.node import Node
from chervilstep.queries.assignment import (
    live_instances,
    own_slots,
    rendezvous_instance,
)
from chervilstep.services import Service, Upstream
from chervilstep.snapshot import Snapshot
from chervilstep.types import Instant
from chervilstep.warmth import COLD, WARM, Warmth

#: An answer is slow when it takes this many times the typical latency.
SLOW_FACTOR: Final = 4
#: Slow answers, failures or sheds in a row that speak against an upstream.
EVIDENCE: Final = 3
#: The share of a service's upstreams that may be ejected at a time.
EJECTED_SHARE: Final = 0.34
#: The share of upstreams beyond which sheds mean load and not cold.
FULL_SHARE: Final = 0.2


def level_of(node: Node, upstream: Upstream, now: Instant) -> int:
    """The slots of ``upstream`` that are open to the fleet, or ``WARM``."""
    record = node.warmth.records.get(upstream.name)
    return COLD if record is None else record.level(now)


def is_open(
    node: Node, service: Service, upstream: Upstream, now: Instant
) -> bool:
    """Whether this instance may send one more request to ``upstream``.

    A cold upstream is open only to the homes of its lowest slots, one request
    for each, so that all instances together stay within its level.
    """
    record = node.warmth.records.get(upstream.name)
    if record is not None and record.takes_all(now):
        return True
    homes = own_slots(node, service, now).get(upstream.name, ())
    in_flight = node.loads.in_flight(upstream.name)
    return in_flight < open_slots(record, homes, now)


def open_slots(
    record: Warmth | None, homes: tuple[int, ...], now: Instant
) -> int:
    """How many of the own slots ``homes`` a cold upstream has open."""
    if record is None:
        return sum(number < COLD for number in homes)
    if record.is_closed(now):
        return 0
    level = record.level(now)
    return sum(number < level for number in homes)


def leads(
    node: Node, service: Service, upstream: Upstream, now: Instant
) -> bool:
    """Whether this instance decides when ``upstream`` opens more slots."""
    return 0 in own_slots(node, service, now).get(upstream.name, ())


def may_eject(node: Node, service: Service, now: Instant) -> bool:
    """Whether one more upstream may be ejected without an ejection spiral."""
    total = len(service.upstreams)
    if total < 2:
        return False
    ejected = sum(
        _is_ejected(node.warmth.records.get(upstream.name), now)
        for upstream in service.upstreams
    )
    return ejected < max(1, int(total * EJECTED_SHARE))


def is_slow(node: Node, service: Service, seconds: float) -> bool:
    """Whether a latency is far above what is typical of the service."""
    load = node.loads.by_service.get(service.name)
    if load is None or load.typical_latency is None:
        return False
    return seconds > SLOW_FACTOR * load.typical_latency


def is_outlier(
    node: Node, service: Service, upstream: Upstream, now: Instant
) -> bool:
    """Whether the own outcomes speak against one upstream of ``service``."""
    load = node.loads.by_upstream.get(upstream.name)
    if load is None:
        return False
    record = node.warmth.records.get(upstream.name)
    since = 0 if record is None else record.since
    if load.failures >= EVIDENCE:
        return True
    if load.sheds >= EVIDENCE:
        return not is_service_short(node, service, upstream, now)
    overdue = sum(
        is_slow(node, service, now - attempt.started_at)
        for attempt in load.attempts
        if attempt.started_at >= since
    )
    return load.slow_answers + overdue >= EVIDENCE


def is_service_short(
    node: Node, service: Service, upstream: Upstream, now: Instant
) -> bool:
    """Whether ``upstream`` sheds since others are full, or cold."""
    if is_service_full(node, service, now):
        return True
    return any(
        level_of(node, other, now) < WARM
        for other in service.upstreams
        if other is not upstream
    )


def is_service_full(node: Node, service: Service, now: Instant) -> bool:
    """Whether so many upstreams shed that the load must be the cause."""
    loads = node.loads.by_upstream
    full = sum(
        upstream.name in loads and loads[upstream.name].has_shed_recently(now)
        for upstream in service.upstreams
    )
    return full > max(1, FULL_SHARE * len(service.upstreams))


def typical_latency(node: Node, service: Service, now: Instant) -> float | None:
    """The median over the warm upstreams, or over all when none is warm."""
    warm = []
    known = []
    for upstream in service.upstreams:
        load = node.loads.by_upstream.get(upstream.name)
        if load is not None and load.latency is not None:
            known.append(load.latency)
            if level_of(node, upstream, now) >= WARM:
                warm.append(load.latency)
    return statistics.median(warm or known) if known else None


def out_of_service(snapshot: Snapshot) -> frozenset[str]:
    """The names of the upstreams that take no new work."""
    return frozenset(
        upstream.name
        for service in snapshot.services.values()
        for upstream in service.upstreams
        if upstream.is_leaving or snapshot.is_withdrawn(upstream.zone)
    )


def is_unknown(node: Node, service: Service, now: Instant) -> bool:
    """Whether the belief about some usable upstream is missing or too old."""
    records = node.warmth.records
    for upstream in in_service(node, service):
        record = records.get(upstream.name)
        if record is None or not record.is_believed(now):
            return True
    return False


def knows_nothing(node: Node, service: Service) -> bool:
    """Whether this instance never heard of any usable upstream."""
    records = node.warmth.records
    return not any(
        upstream.name in records and records[upstream.name].is_known
        for upstream in in_service(node, service)
    )


def in_service(node: Node, service: Service) -> tuple[Upstream, ...]:
    """The upstreams that the operators let take new work."""
    snapshot = node.snapshot
    return tuple(
        upstream
        for upstream in service.upstreams
        if not upstream.is_leaving and not snapshot.is_withdrawn(upstream.zone)
    )


def peer_for(node: Node, purpose: str, now: Instant) -> str | None:
    """The live peer that rendezvous hashing names for ``purpose``."""
    live = node.loads.live_instances or live_instances(node, now)
    peers = live - {node.settings.name}
    return rendezvous_instance(peers, purpose) if peers else None


def _is_ejected(record: Warmth | None, now: Instant) -> bool:
    if record is None or not record.ejections:
        return False
    return record.level(now) < WARM
