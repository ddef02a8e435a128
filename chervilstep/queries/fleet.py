"""How much of the fleet this instance hears from."""

from typing import Final

from chervilstep.node import Node

#: Instances that are not heard of may have failed: the others may take over
#: this much of their part, which the agreed excess of the rates covers.
TAKEN_OVER: Final = 1.2


def known_size(node: Node) -> int:
    """How many instances there are, those lost lately included."""
    members = node.members
    return len({members.self_name, *members.listed, *members.lost})


def heard_size(node: Node) -> int:
    """How many instances this one hears from, itself included."""
    members = node.members
    heard = {name for name, view in members.views.items() if view.is_heard}
    return len({members.self_name, *heard})


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


def heard_fraction(node: Node) -> float:
    """The part of a limit that those who hear from each other may use."""
    return min(1, TAKEN_OVER * heard_size(node) / known_size(node))
