"""Authenticates requests and authorizes customers for routes."""

from typing import Final

from chervilstep.calls import Ticket
from chervilstep.hooks import CHECKS
from chervilstep.node import Node
from chervilstep.refusals import (
    FORBIDDEN_ROUTE,
    MISSING_KEY,
    UNKNOWN_KEY,
    UNKNOWN_ROUTE,
    Refusal,
)
from chervilstep.snapshot import Customer, Route, Snapshot
from chervilstep.types import Instant

#: The lowest rank: access is checked before anything else.
ACCESS_RANK: Final = 20


def authenticate(
    snapshot: Snapshot, route: Route, key_digest: str | None
) -> Customer | Refusal | None:
    """Returns the customer of a request, or a refusal.

    Returns None for an open route: its requests belong to no customer, with
    or without a key. Customers are looked up by the digest of the key, so
    that the timing of the lookup reveals nothing about a key.
    """
    if route.is_open:
        return None
    if key_digest is None:
        return MISSING_KEY
    customer = snapshot.customer_by_digest(key_digest)
    if customer is None:
        return UNKNOWN_KEY
    if customer.name not in route.customers:
        return FORBIDDEN_ROUTE
    return customer


@CHECKS.register(ACCESS_RANK)
def check_access(node: Node, ticket: Ticket, now: Instant) -> Refusal | None:
    """Refuses a ticket whose access was revoked while it was queued."""
    route = node.snapshot.route_by_path(ticket.route.path, ticket.route.host)
    if route is None:
        return UNKNOWN_ROUTE
    found = authenticate(node.snapshot, route, ticket.call.key_digest)
    if isinstance(found, Refusal):
        return found
    if found is not None and found.name != ticket.customer_name:
        return UNKNOWN_KEY
    return None
