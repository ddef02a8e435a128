"""Which upstream gets the next attempt."""

from chervilstep.node import Node
from chervilstep.snapshot import Service, Upstream
from chervilstep.types import Instant


def choose(
    node: Node, service: Service, tried: frozenset[str], now: Instant
) -> Upstream | None:
    """Returns an upstream with a free slot that was not tried, or None."""
    free = [
        upstream
        for upstream in service.upstreams
        if _is_usable(node, upstream, tried) and _has_slot(node, upstream)
    ]
    if not free:
        return None
    return node.rng.choice(free)


def has_any(
    node: Node, service: Service, tried: frozenset[str], now: Instant
) -> bool:
    """Whether an upstream that was not tried may get a free slot."""
    return any(
        _is_usable(node, upstream, tried) for upstream in service.upstreams
    )


def _is_usable(node: Node, upstream: Upstream, tried: frozenset[str]) -> bool:
    if upstream.is_leaving or upstream.name in tried:
        return False
    return not node.snapshot.is_withdrawn(upstream.zone)


def _has_slot(node: Node, upstream: Upstream) -> bool:
    load = node.board.loads.get(upstream.name)
    return load is None or load.in_flight < upstream.slots
