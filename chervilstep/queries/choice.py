"""Queries that select the upstream of an attempt."""

from chervilstep.hooks import POLICIES
from chervilstep.node import Node
from chervilstep.queries import policies
from chervilstep.queries.notices import accepts_now
from chervilstep.queries.slowstart import upstreams_in_service
from chervilstep.queries.throttling import within_limits
from chervilstep.services import Service, Upstream
from chervilstep.types import Instant

__all__ = ('choose_upstream', 'has_usable_upstream', 'policies')


def choose_upstream(
    node: Node, service: Service, tried: frozenset[str], now: Instant
) -> Upstream | None:
    """Returns the upstream for a request, or None if the request must wait.

    ``tried`` names the upstreams of earlier attempts. The policy of the
    service selects among the usable upstreams that are within their limits.
    """
    usable = accepting_upstreams(
        node, usable_upstreams(node, service, tried), now
    )
    if not usable:
        return None
    return POLICIES.find(service.policy)(node, service, usable, now)


def accepting_upstreams(
    node: Node, upstreams: tuple[Upstream, ...], now: Instant
) -> tuple[Upstream, ...]:
    """Returns the upstreams whose limits and pauses allow a request now."""
    return tuple(
        upstream
        for upstream in within_limits(node, upstreams, now)
        if accepts_now(node, upstream, now)
    )


def has_usable_upstream(
    node: Node, service: Service, tried: frozenset[str], now: Instant
) -> bool:
    """Whether any upstream is usable, even if none has capacity at ``now``."""
    return bool(usable_upstreams(node, service, tried))


def usable_upstreams(
    node: Node, service: Service, tried: frozenset[str]
) -> tuple[Upstream, ...]:
    """Returns the upstreams that accept new requests and were not tried."""
    candidates = upstreams_in_service(node, service)
    if not tried:
        return candidates
    return tuple(
        upstream for upstream in candidates if upstream.name not in tried
    )
