"""Queries that choose the upstream of an attempt."""

from chervilstep.hooks import POLICIES
from chervilstep.node import Node
from chervilstep.queries import policies
from chervilstep.queries.warmth import in_service
from chervilstep.services import Service, Upstream
from chervilstep.types import Instant

__all__ = ('choose', 'has_any', 'policies')


def choose(
    node: Node, service: Service, tried: frozenset[str], now: Instant
) -> Upstream | None:
    """Chooses where to send a request, or None while it has to wait.

    ``tried`` names the upstreams that the request was sent to before. The
    policy of the service decides among the usable upstreams.
    """
    usable = usable_upstreams(node, service, tried)
    if not usable:
        return None
    return POLICIES.find(service.policy)(node, service, usable, now)


def has_any(
    node: Node, service: Service, tried: frozenset[str], now: Instant
) -> bool:
    """Whether waiting can help: some upstream is usable, if only it had room."""
    return bool(usable_upstreams(node, service, tried))


def usable_upstreams(
    node: Node, service: Service, tried: frozenset[str]
) -> tuple[Upstream, ...]:
    """The upstreams that may get new work and were not tried."""
    candidates = in_service(node, service)
    if not tried:
        return candidates
    return tuple(
        upstream for upstream in candidates if upstream.name not in tried
    )
