"""Checks that a request may still run under the configuration in force."""

from typing import Final

from chervilstep.calls import Ticket
from chervilstep.hooks import CHECKS
from chervilstep.node import Node
from chervilstep.queries.access import authenticate
from chervilstep.queries.relaying import remaining_of
from chervilstep.refusals import (
    STALE_CONFIGURATION,
    UNKNOWN_KEY,
    UNKNOWN_ROUTE,
    Refusal,
)
from chervilstep.types import Instant

#: Keys come before every other check.
CURRENCY_RANK: Final = 10
ACCESS_RANK: Final = 20


@CHECKS.register(CURRENCY_RANK)
def check_currency(node: Node, ticket: Ticket, now: Instant) -> Refusal | None:
    """Refuses keys when a revocation could have been missed.

    A replica of the platform's store keeps its last state instead: there,
    what is served while the store is away is agreed with the operators.
    """
    if ticket.route.is_open or node.replica.is_followed:
        return None
    if remaining_of(node, now):
        return None
    return STALE_CONFIGURATION


@CHECKS.register(ACCESS_RANK)
def check_access(node: Node, ticket: Ticket, now: Instant) -> Refusal | None:
    """Refuses a ticket whose access ended while it waited."""
    route = node.snapshot.route_by_path(ticket.route.path, ticket.route.host)
    if route is None:
        return UNKNOWN_ROUTE
    found = authenticate(node.snapshot, route, ticket.call.key_digest)
    if isinstance(found, Refusal):
        return found
    if found is not None and found.name != ticket.customer_name:
        return UNKNOWN_KEY
    return None
