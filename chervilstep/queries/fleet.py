"""How large the fleet is, and which part of it this instance hears from."""

from collections import Counter
from collections.abc import Mapping

from chervilstep.members import Instance
from chervilstep.node import Node


def known_instances(node: Node) -> Mapping[str, Instance]:
    """The instances by name, without those that have left.

    Those lost lately are among them: they may be cut off and serve on.
    """
    members = node.members
    lost = {name: members.standings[name].instance for name in members.lost}
    return {**lost, **members.listed}


def known_size(node: Node) -> int:
    """How many instances there are, this one included."""
    return len({node.members.self_name, *known_instances(node)})


def zone_sizes(node: Node) -> Mapping[str, int]:
    """How many of the known instances there are in each zone."""
    return Counter(each.zone for each in known_instances(node).values())


def zone_peers(node: Node) -> tuple[str, ...]:
    """The peers of this instance's own zone that it hears from."""
    members = node.members
    return tuple(
        name
        for name, view in members.views.items()
        if view.is_heard
        and name in members.listed
        and members.listed[name].zone == node.settings.zone
    )
