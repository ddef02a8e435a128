"""Selects the upstreams to probe for their load before a call is placed.

Where the speed of upstreams changes several times a second, the run time of a
call depends on the moment at which it starts. The benefit of a report that is
only a few milliseconds old exceeds the delay of a probe.
"""

from typing import Final

from chervilstep.node import Node
from chervilstep.progress import Progress
from chervilstep.queries.choice import accepting_upstreams, usable_upstreams
from chervilstep.queries.coldstart import is_within_cold_limit
from chervilstep.queries.fleet import fleet_size
from chervilstep.queries.soonest import SOONEST, expected_cost, is_healthy
from chervilstep.services import Service, Upstream
from chervilstep.types import Instant

#: The age up to which a report reflects the current speed of an upstream.
FRESH_REPORT_SECONDS: Final = 0.03
PROBES_PER_ROUND: Final = 3
#: Further rounds probe other upstreams when the first ones are slow.
MAX_ROUNDS: Final = 2
#: The fraction of the agreed probes that is used for placement. The rest
#: covers the periodic health checks and an underestimated fleet size.
USED_FRACTION: Final = 0.8
#: The fraction of the placement probes reserved for the upstream's zone.
OWN_ZONE_FRACTION: Final = 0.5
#: A bucket holds the probes of this time, and at least one probe.
BURST_SECONDS: Final = 5.0


def upstreams_to_probe(
    node: Node, progress: Progress, now: Instant
) -> tuple[Upstream, ...]:
    """Returns the upstreams to probe before a call.

    There are none if the best upstream has a fresh report.
    """
    service = node.snapshot.services.get(progress.ticket.route.service)
    if service is None or service.policy != SOONEST:
        return ()
    if not service.health_path:
        return ()
    ranked = _rank_by_cost(node, service, progress, now)
    if not ranked or _has_fresh_report(node, ranked[0], now):
        return ()
    stale = [
        each
        for each in ranked
        if not _has_fresh_report(node, each, now)
        and probe_tokens(node, each, now) >= 1
    ]
    return tuple(stale[:PROBES_PER_ROUND])


def probe_tokens(node: Node, upstream: Upstream, now: Instant) -> float:
    """Returns how many probes this instance may send to an upstream now.

    The fleet stays within the agreed rate of probes to an upstream. Half of
    the rate is divided among all instances, and half among those of the
    upstream's zone, which send most of its calls.
    """
    rate = _probe_rate(node, upstream)
    capacity = max(1, BURST_SECONDS * rate)
    health = node.health.by_upstream.get(upstream.name)
    if health is None or health.probe_tokens is None:
        return capacity
    elapsed = max(0, now - health.probe_tokens_at)
    return min(capacity, health.probe_tokens + elapsed * rate)


def _probe_rate(node: Node, upstream: Upstream) -> float:
    allowed = USED_FRACTION * node.settings.allowances.probes_per_second
    rate = (1 - OWN_ZONE_FRACTION) * allowed / fleet_size(node)
    if upstream.zone == node.settings.zone:
        zone_size = max(1, len(node.members.zones.get(upstream.zone, ())))
        rate += OWN_ZONE_FRACTION * allowed / zone_size
    return rate


def _rank_by_cost(
    node: Node, service: Service, progress: Progress, now: Instant
) -> list[Upstream]:
    usable = usable_upstreams(node, service, progress.tried_upstreams)
    costs = {
        upstream: cost
        for upstream in accepting_upstreams(node, usable, now)
        if is_healthy(node, upstream, now)
        and is_within_cold_limit(node, service, upstream, now)
        and (cost := expected_cost(node, service, upstream, now)) is not None
    }
    # Random order among equal costs spreads the probes.
    return sorted(costs, key=lambda each: (costs[each], node.rng.random()))


def _has_fresh_report(node: Node, upstream: Upstream, now: Instant) -> bool:
    health = node.health.by_upstream.get(upstream.name)
    if health is None or health.report is None:
        return False
    return now - health.report.measured_at <= FRESH_REPORT_SECONDS
