"""Selects the upstream that is expected to answer soonest.

Upstreams report how many requests they run and how fast they currently work.
A report is accurate for about ten milliseconds. After that its weight decays,
and the mean of the service replaces it.
"""

import math
from typing import Final

from chervilstep.health import ServiceMeans, UpstreamHealth
from chervilstep.hooks import POLICIES
from chervilstep.node import Node
from chervilstep.queries.coldstart import is_within_cold_limit
from chervilstep.queries.throttling import active_throttle
from chervilstep.reports import LoadReport
from chervilstep.services import Service, Upstream
from chervilstep.types import Instant

_DEFAULT_HEALTH: Final = UpstreamHealth()
_DEFAULT_MEANS: Final = ServiceMeans()
#: The name of this policy in the configuration of services.
SOONEST: Final = 'soonest'
#: The time constant with which the speed of an upstream changes. The weight
#: of a reported slowdown decays with it.
SLOWDOWN_DECAY_SECONDS: Final = 0.15
#: The time constant with which the requests of other instances change. The
#: weight of reported requests decays with it.
LOAD_DECAY_SECONDS: Final = 0.3
#: The relative increase of the run time when all slots are in use.
FULL_SLOWDOWN: Final = 0.7
#: The exponent of the slowdown as a function of the slots in use.
FULL_SLOWDOWN_EXPONENT: Final = 4
#: The cost of a failed attempt relative to a successful one.
FAILURE_COST_FACTOR: Final = 6.0
#: The requests that may queue at an upstream beyond its slots.
MAX_QUEUED_REQUESTS: Final = 2
#: Upstreams within this factor of the lowest cost are picked at random, since
#: instances with the same reports would otherwise all pick the same one.
NEAR_BEST_FACTOR: Final = 1.15
#: The cost factor of an upstream in another zone: traffic between zones is
#: billed, and reports from there are older.
OTHER_ZONE_COST_FACTOR: Final = 1.8
#: The cost factor of an upstream with a limit and a token left: a token that is
#: not used is lost, and the upstreams without a limit have to serve the rest.
LIMITED_COST_FACTOR: Final = 0.6
#: The cost factor of an upstream that has recently shed a request.
SHED_COST_FACTOR: Final = 3.0
#: The ratio to the typical latency from which an upstream counts as slow.
SLOW_FACTOR: Final = 2.0
#: The time constant with which a measured latency loses weight.
LATENCY_DECAY_SECONDS: Final = 3.0


@POLICIES.register(SOONEST)
def pick_soonest(
    node: Node, service: Service, usable: tuple[Upstream, ...], now: Instant
) -> Upstream | None:
    """Picks one of the upstreams with the lowest cost, if any has capacity."""
    healthy = [
        upstream for upstream in usable if is_healthy(node, upstream, now)
    ]
    costs = {
        upstream: cost
        for upstream in healthy or usable
        if is_within_cold_limit(node, service, upstream, now)
        and (cost := expected_cost(node, service, upstream, now)) is not None
    }
    if not costs:
        return None
    highest = NEAR_BEST_FACTOR * min(costs.values())
    return node.rng.choice(
        [upstream for upstream, cost in costs.items() if cost <= highest]
    )


def is_healthy(node: Node, upstream: Upstream, now: Instant) -> bool:
    """Whether an upstream may get requests in view of its last attempts.

    After failures the upstream is closed for a while. Then one request at a
    time tests it.
    """
    health = node.health.by_upstream.get(upstream.name)
    if health is None or not health.failures:
        return True
    if health.is_closed(now):
        return False
    return not node.loads.in_flight(upstream.name)


def expected_cost(
    node: Node, service: Service, upstream: Upstream, now: Instant
) -> float | None:
    """Returns the expected run time relative to that of an idle upstream.

    Penalties for failures, slow answers, another zone and shed requests are
    included. Returns None if the upstream has no capacity.
    """
    health = node.health.by_upstream.get(upstream.name, _DEFAULT_HEALTH)
    is_limited = active_throttle(node, upstream.name) is not None
    means = node.health.means_by_service(is_limited=is_limited).get(
        service.name, _DEFAULT_MEANS
    )
    report = health.report
    in_flight = node.loads.in_flight(upstream.name) + _other_in_flight(
        health, means, now
    )
    if in_flight >= upstream.slots + MAX_QUEUED_REQUESTS:
        return None
    cost = _expected_slowdown(report, means, now) * _load_factor(
        in_flight, upstream.slots
    )
    cost *= 1 + FAILURE_COST_FACTOR * health.failure_rate(now)
    cost *= _latency_factor(node, service, upstream, now)
    if upstream.zone != node.settings.zone:
        cost *= OTHER_ZONE_COST_FACTOR
    if is_limited:
        cost *= LIMITED_COST_FACTOR
    load = node.loads.by_upstream.get(upstream.name)
    if load is not None and load.has_shed_recently(now):
        cost *= SHED_COST_FACTOR
    return cost


def _other_in_flight(
    health: UpstreamHealth, means: ServiceMeans, now: Instant
) -> float:
    if health.report is None:
        return means.other_in_flight
    weight = math.exp(
        -max(0, now - health.report.measured_at) / LOAD_DECAY_SECONDS
    )
    return (
        weight * health.other_in_flight + (1 - weight) * means.other_in_flight
    )


def _expected_slowdown(
    report: LoadReport | None, means: ServiceMeans, now: Instant
) -> float:
    if report is None:
        return means.slowdown
    weight = math.exp(
        -max(0, now - report.measured_at) / SLOWDOWN_DECAY_SECONDS
    )
    return weight * report.slowdown + (1 - weight) * means.slowdown


def _load_factor(in_flight: float, slots: int) -> float:
    """Returns the factor by which requests in flight extend the run time."""
    utilization = min(1, (in_flight + 1) / slots)
    wait = max(0, in_flight + 1 - slots) / slots
    return 1 + FULL_SLOWDOWN * utilization**FULL_SLOWDOWN_EXPONENT + wait


def _latency_factor(
    node: Node, service: Service, upstream: Upstream, now: Instant
) -> float:
    """Returns the cost factor of slow answers, which decays with their age."""
    load = node.loads.by_upstream.get(upstream.name)
    service_load = node.loads.by_service.get(service.name)
    if load is None or service_load is None or not service_load.typical_latency:
        return 1
    if load.latency is None or load.last_answer_at is None:
        return 1
    factor = load.latency / service_load.typical_latency
    if factor < SLOW_FACTOR:
        return 1
    age = max(0, now - load.last_answer_at)
    return 1 + (factor - 1) * math.exp(-age / LATENCY_DECAY_SECONDS)
