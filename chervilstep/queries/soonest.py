"""Chooses the upstream that is expected to answer soonest.

Upstreams report how many requests they run and how fast they work at the
moment. A report is a fact for some ten milliseconds and a hint for some more;
after that the mean of the service says as much.
"""

import math
from typing import Final

from chervilstep.hooks import POLICIES
from chervilstep.node import Node
from chervilstep.queries.coldness import may_send_cold
from chervilstep.reports import LoadReport
from chervilstep.services import Service, Upstream
from chervilstep.types import Instant
from chervilstep.vitals import Means, Vitals

_UNKNOWN: Final = Vitals()
_USUAL: Final = Means()
#: The name by which services ask for this policy.
SOONEST: Final = 'soonest'
#: The time in which the speed of an upstream changes; reports fade with it.
SPEED_SECONDS: Final = 0.15
#: The time in which the requests of other instances change.
LOAD_SECONDS: Final = 0.3
#: What an upstream with no free slot slows down by.
FULL_SLOWDOWN: Final = 0.7
#: How steeply upstreams slow down before that.
FULL_POWER: Final = 4
#: What each failed attempt costs, in times of a good one.
FAILURE_COST: Final = 6.0
#: Requests beyond its slots that an upstream is given to queue.
QUEUE_AHEAD: Final = 2
#: Upstreams within this factor of the best share the work, since instances
#: with the same reports would otherwise all choose the same one.
NEAR_BEST: Final = 1.15
#: What an upstream of another zone costs more: traffic between zones is
#: billed, and a report from there is older.
OTHER_ZONE_COST: Final = 1.8
#: What a shed request says of an upstream for a moment.
SHED_COST: Final = 3.0
#: Answers this many times slower than the service's count as slow.
SLOW_FACTOR: Final = 2.0
#: How long a latency speaks for or against an upstream.
LATENCY_SECONDS: Final = 3.0


@POLICIES.register(SOONEST)
def pick_soonest(
    node: Node, service: Service, usable: tuple[Upstream, ...], now: Instant
) -> Upstream | None:
    """Picks one of those whose answer is expected first, if any has room."""
    healthy = [
        upstream for upstream in usable if is_healthy(node, upstream, now)
    ]
    costs = {
        upstream: cost
        for upstream in healthy or usable
        if may_send_cold(node, service, upstream, now)
        and (cost := expected_cost(node, service, upstream, now)) is not None
    }
    if not costs:
        return None
    near = NEAR_BEST * min(costs.values())
    return node.rng.choice(
        [upstream for upstream, cost in costs.items() if cost <= near]
    )


def is_healthy(node: Node, upstream: Upstream, now: Instant) -> bool:
    """Whether the last attempts do not speak against an upstream.

    After failures, one request at a time tries whether it is well again.
    """
    vitals = node.vitals.by_upstream.get(upstream.name)
    if vitals is None or not vitals.failures:
        return True
    if vitals.is_closed(now):
        return False
    return not node.board.in_flight(upstream.name)


def expected_cost(
    node: Node, service: Service, upstream: Upstream, now: Instant
) -> float | None:
    """The expected run time in units of an idle upstream's, if it has room."""
    vitals = node.vitals.by_upstream.get(upstream.name, _UNKNOWN)
    means = node.vitals.means_by_service.get(service.name, _USUAL)
    report = vitals.report
    busy = node.board.in_flight(upstream.name) + _others(vitals, means, now)
    if busy >= upstream.slots + QUEUE_AHEAD:
        return None
    cost = _slowdown(report, means, now) * _crowding(busy, upstream.slots)
    cost *= 1 + FAILURE_COST * vitals.failure_share(now)
    cost *= _slowness(node, service, upstream, now)
    if upstream.zone != node.settings.zone:
        cost *= OTHER_ZONE_COST
    load = node.board.loads.get(upstream.name)
    if load is not None and load.shed_lately(now):
        cost *= SHED_COST
    return cost


def _others(vitals: Vitals, means: Means, now: Instant) -> float:
    if vitals.report is None:
        return means.others
    trust = math.exp(-max(0, now - vitals.report.at) / LOAD_SECONDS)
    return trust * vitals.others + (1 - trust) * means.others


def _slowdown(report: LoadReport | None, means: Means, now: Instant) -> float:
    if report is None:
        return means.slowdown
    trust = math.exp(-max(0, now - report.at) / SPEED_SECONDS)
    return trust * report.slowdown + (1 - trust) * means.slowdown


def _crowding(busy: float, slots: int) -> float:
    """The factor by which a request takes longer beside ``busy`` others."""
    fill = min(1, (busy + 1) / slots)
    wait = max(0, busy + 1 - slots) / slots
    return 1 + FULL_SLOWDOWN * fill**FULL_POWER + wait


def _slowness(
    node: Node, service: Service, upstream: Upstream, now: Instant
) -> float:
    """The factor by which recent answers were slower than the service's."""
    load = node.board.loads.get(upstream.name)
    typical = node.board.services.get(service.name)
    if load is None or typical is None or not typical.typical_latency:
        return 1
    if load.latency is None or load.last_answer_at is None:
        return 1
    factor = load.latency / typical.typical_latency
    if factor < SLOW_FACTOR:
        return 1
    age = max(0, now - load.last_answer_at)
    return 1 + (factor - 1) * math.exp(-age / LATENCY_SECONDS)
