"""Selects the upstreams that this instance checks periodically."""

from collections.abc import Mapping
from typing import Final

from chervilstep.node import Node
from chervilstep.queries.assignment import rendezvous_instance
from chervilstep.queries.fleet import reachable_zone_peers
from chervilstep.queries.slowstart import upstreams_in_service
from chervilstep.queries.soonest import SOONEST
from chervilstep.services import Service, Upstream

#: How often an upstream is checked, unless a placement probe does so earlier.
CHECK_PERIOD_SECONDS: Final = 0.5


def upstreams_to_check(node: Node) -> Mapping[str, tuple[Service, Upstream]]:
    """Returns the upstreams that this instance checks, by name.

    One instance of an upstream's zone checks it and shares the results with
    the others of the zone. Upstreams in zones without an instance are not
    checked.
    """
    live = frozenset((*reachable_zone_peers(node), node.members.self_name))
    return {
        upstream.name: (service, upstream)
        for service in node.snapshot.services.values()
        if service.policy == SOONEST and service.health_path
        for upstream in upstreams_in_service(node, service)
        if upstream.zone == node.settings.zone
        and rendezvous_instance(live, f'health\0{upstream.name}')
        == node.members.self_name
    }


def configured_upstreams(node: Node) -> frozenset[str]:
    """Returns the names of all configured upstreams."""
    return frozenset(
        upstream.name
        for service in node.snapshot.services.values()
        for upstream in service.upstreams
    )
