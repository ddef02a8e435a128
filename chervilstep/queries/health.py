"""Which upstreams this instance checks, and how often."""

from collections.abc import Mapping
from typing import Final

from chervilstep.node import Node
from chervilstep.queries.fleet import zone_peers
from chervilstep.queries.homes import first_by_score
from chervilstep.queries.soonest import SOONEST
from chervilstep.services import Service, Upstream

#: Checks in the time that a usual call of the service takes: the speed of an
#: upstream matters as long as a call runs.
CHECKS_A_CALL: Final = 1.5
#: The shortest and the longest time between two checks of an upstream.
MIN_PERIOD_SECONDS: Final = 0.04
MAX_PERIOD_SECONDS: Final = 0.5
#: The latency of a service that has not answered yet.
FIRST_LATENCY_SECONDS: Final = 0.1


def checked_upstreams(node: Node) -> Mapping[str, tuple[Service, Upstream]]:
    """The upstreams that this instance checks, by name.

    Each is checked by one instance of its own zone, which tells the others
    of the zone; those of zones without an instance are not checked.
    """
    live = frozenset((*zone_peers(node), node.members.self_name))
    return {
        upstream.name: (service, upstream)
        for service in node.snapshot.services.values()
        if service.policy == SOONEST and service.health_path
        for upstream in service.upstreams
        if upstream.zone == node.settings.zone
        and not upstream.is_leaving
        and not node.snapshot.is_withdrawn(upstream.zone)
        and first_by_score(live, f'health\0{upstream.name}')
        == node.members.self_name
    }


def check_period(node: Node, service: str) -> float:
    """The seconds between two checks of an upstream of ``service``."""
    load = node.board.services.get(service)
    latency = load.typical_latency if load else None
    period = (latency or FIRST_LATENCY_SECONDS) / CHECKS_A_CALL
    return min(MAX_PERIOD_SECONDS, max(MIN_PERIOD_SECONDS, period))
