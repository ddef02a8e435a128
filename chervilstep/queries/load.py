"""Queries for the load and the readiness of this instance."""

from typing import Final

from chervilstep.node import Node
from chervilstep.types import Instant

#: The number of requests in flight at which the load is 1.
FULL_LOAD_REQUESTS: Final = 200


def own_load(node: Node, now: Instant) -> float:
    """Returns the used fraction of this instance's capacity, from 0 to 1."""
    in_flight = sum(load.in_flight for load in node.loads.by_upstream.values())
    return min(1, in_flight / FULL_LOAD_REQUESTS)


def is_ready(node: Node, now: Instant) -> bool:
    """Whether this instance has routes and can serve callers."""
    return bool(node.snapshot.routes)


def accepts_callers(node: Node, now: Instant) -> bool:
    """Whether new callers may be directed to this instance."""
    return is_ready(node, now) and not node.members.is_leaving
