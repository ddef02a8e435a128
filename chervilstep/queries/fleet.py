"""Queries for the size of the fleet and the reachable peers."""

from chervilstep.node import Node


def fleet_size(node: Node) -> int:
    """Returns the number of known instances, including this one."""
    members = node.members
    return len(members.known) + (members.self_name not in members.known)


def reachable_zone_peers(node: Node) -> tuple[str, ...]:
    """Returns the active peers of this zone with an open connection."""
    members = node.members
    peers = members.peers
    return tuple(
        name
        for name in members.zones.get(node.settings.zone, ())
        if name in peers and peers[name].is_connected and name in members.active
    )
