"""Queries on the slow start of upstreams and on outlier detection."""

import statistics
from typing import Final

from chervilstep.node import Node
from chervilstep.queries.assignment import (
    NO_SLOTS,
    SlotShare,
    live_instances,
    own_slots,
    rendezvous_instance,
)
from chervilstep.queries.notices import has_announced_leaving
from chervilstep.services import Service, Upstream
from chervilstep.slowstart import COLD_SLOTS, WARM_SLOTS, SlowStart
from chervilstep.snapshot import Snapshot
from chervilstep.types import Instant

#: An answer is slow when it takes this many times the typical latency.
SLOW_FACTOR: Final = 4
#: Slow answers, failures or sheds in a row that make an upstream an outlier.
OUTLIER_THRESHOLD: Final = 3
#: The fraction of a service's upstreams that may be ejected at a time.
MAX_EJECTED_FRACTION: Final = 0.34
#: When a larger fraction of the upstreams sheds requests, the load of the
#: service is assumed to be the cause, and not a cold upstream.
MAX_SHEDDING_FRACTION: Final = 0.2


def total_open_slots(node: Node, upstream: Upstream, now: Instant) -> int:
    """Returns the number of slots of ``upstream`` open to all instances.

    ``WARM_SLOTS`` means that all slots are open.
    """
    record = node.slow_start.by_upstream.get(upstream.name)
    return COLD_SLOTS if record is None else record.open_slots(now)


def may_send(
    node: Node, service: Service, upstream: Upstream, now: Instant
) -> bool:
    """Whether this instance may send one more request to ``upstream``.

    Only the instances to which the open slots of a cold upstream are assigned
    may send to it, one request for each slot. All instances together thus
    stay within the number of open slots.
    """
    record = node.slow_start.by_upstream.get(upstream.name)
    if record is not None and record.is_warm(now):
        return True
    share = own_slots(node, service, now).get(upstream.name, NO_SLOTS)
    in_flight = node.loads.in_flight(upstream.name)
    return in_flight < own_open_slots(record, share, now)


def own_open_slots(
    record: SlowStart | None, share: SlotShare, now: Instant
) -> int:
    """Returns how many slots of this instance's ``share`` are open."""
    if record is None:
        return share.count_below(COLD_SLOTS)
    if record.is_closed(now):
        return 0
    return share.count_below(record.open_slots(now))


def is_slow_start_leader(
    node: Node, service: Service, upstream: Upstream, now: Instant
) -> bool:
    """Whether this instance decides when ``upstream`` opens more slots.

    That is the instance to which the lowest slot is assigned.
    """
    share = own_slots(node, service, now).get(upstream.name, NO_SLOTS)
    return share.count_below(1) > 0


def may_eject(node: Node, service: Service, now: Instant) -> bool:
    """Whether one more upstream of ``service`` may be ejected.

    The limit keeps ejections from cascading: each one moves load to the
    remaining upstreams, which can make these fail in turn.
    """
    total = len(service.upstreams)
    if total < 2:
        return False
    ejected = sum(
        _is_ejected(node.slow_start.by_upstream.get(upstream.name), now)
        for upstream in service.upstreams
    )
    return ejected < max(1, int(total * MAX_EJECTED_FRACTION))


def is_slow(node: Node, service: Service, seconds: float) -> bool:
    """Whether a latency is far above the typical latency of ``service``."""
    load = node.loads.by_service.get(service.name)
    if load is None or load.typical_latency is None:
        return False
    return seconds > SLOW_FACTOR * load.typical_latency


def is_outlier(
    node: Node, service: Service, upstream: Upstream, now: Instant
) -> bool:
    """Whether the attempts of this instance show ``upstream`` as an outlier."""
    load = node.loads.by_upstream.get(upstream.name)
    if load is None:
        return False
    record = node.slow_start.by_upstream.get(upstream.name)
    epoch_start = 0 if record is None else record.epoch_started_at
    if load.failures >= OUTLIER_THRESHOLD:
        return True
    if load.sheds >= OUTLIER_THRESHOLD:
        return not is_capacity_short(node, service, upstream, now)
    overdue = sum(
        is_slow(node, service, now - attempt.started_at)
        for attempt in load.attempts
        if attempt.started_at >= epoch_start
    )
    return load.slow_answers + overdue >= OUTLIER_THRESHOLD


def is_capacity_short(
    node: Node, service: Service, upstream: Upstream, now: Instant
) -> bool:
    """Whether full or cold upstreams explain the sheds of ``upstream``."""
    if is_service_full(node, service, now):
        return True
    return any(
        total_open_slots(node, other, now) < WARM_SLOTS
        for other in service.upstreams
        if other is not upstream
    )


def is_service_full(node: Node, service: Service, now: Instant) -> bool:
    """Whether so many upstreams shed requests that the service is full."""
    loads = node.loads.by_upstream
    full = sum(
        upstream.name in loads and loads[upstream.name].has_shed_recently(now)
        for upstream in service.upstreams
    )
    return full > max(1, MAX_SHEDDING_FRACTION * len(service.upstreams))


def typical_latency(node: Node, service: Service, now: Instant) -> float | None:
    """Returns the median latency of the warm upstreams in seconds.

    When no upstream is warm, it is the median over all upstreams; None when
    no latency is known.
    """
    warm = []
    known = []
    for upstream in service.upstreams:
        load = node.loads.by_upstream.get(upstream.name)
        if load is not None and load.latency is not None:
            known.append(load.latency)
            if total_open_slots(node, upstream, now) >= WARM_SLOTS:
                warm.append(load.latency)
    return statistics.median(warm or known) if known else None


def upstreams_out_of_service(snapshot: Snapshot) -> frozenset[str]:
    """Returns the names of the upstreams that are leaving or withdrawn."""
    return frozenset(
        upstream.name
        for service in snapshot.services.values()
        for upstream in service.upstreams
        if upstream.is_leaving or snapshot.is_withdrawn(upstream.zone)
    )


def is_state_incomplete(node: Node, service: Service, now: Instant) -> bool:
    """Whether the state of any upstream in service is missing or too old."""
    records = node.slow_start.by_upstream
    for upstream in upstreams_in_service(node, service):
        record = records.get(upstream.name)
        if record is None or not record.is_valid(now):
            return True
    return False


def is_state_absent(node: Node, service: Service) -> bool:
    """Whether no state of any upstream in service was ever known here."""
    records = node.slow_start.by_upstream
    return not any(
        upstream.name in records and records[upstream.name].is_known
        for upstream in upstreams_in_service(node, service)
    )


def upstreams_in_service(node: Node, service: Service) -> tuple[Upstream, ...]:
    """Returns the upstreams that are neither leaving nor withdrawn."""
    snapshot = node.snapshot
    return tuple(
        upstream
        for upstream in service.upstreams
        if not upstream.is_leaving
        and not snapshot.is_withdrawn(upstream.zone)
        and not has_announced_leaving(node, upstream.name)
    )


def select_peer(node: Node, purpose: str, now: Instant) -> str | None:
    """Returns the live peer that rendezvous hashing selects for ``purpose``."""
    live = node.loads.live_instances or live_instances(node, now)
    peers = live - {node.settings.name}
    return rendezvous_instance(peers, purpose) if peers else None


def _is_ejected(record: SlowStart | None, now: Instant) -> bool:
    if record is None or not record.ejections:
        return False
    return record.open_slots(now) < WARM_SLOTS
