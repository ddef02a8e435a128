"""Which upstreams this instance checks regularly."""

from collections.abc import Mapping
from typing import Final

from chervilstep.node import Node
from chervilstep.queries.fleet import zone_peers
from chervilstep.queries.homes import first_by_score
from chervilstep.queries.soonest import SOONEST
from chervilstep.services import Service, Upstream

#: The time between two checks of an upstream that no call asks about.
CHECK_PERIOD_SECONDS: Final = 0.5


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


def known_upstreams(node: Node) -> frozenset[str]:
    """The names of all upstreams that may be checked."""
    return frozenset(
        upstream.name
        for service in node.snapshot.services.values()
        for upstream in service.upstreams
    )
