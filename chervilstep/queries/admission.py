"""Who may send a call, and what it is allowed."""

from chervilstep.calls import Call, Ticket
from chervilstep.hooks import CHECKS
from chervilstep.node import Node
from chervilstep.refusals import (
    FORBIDDEN_ROUTE,
    METHOD_NOT_ALLOWED,
    MISSING_KEY,
    UNKNOWN_KEY,
    UNKNOWN_ROUTE,
    Refusal,
)
from chervilstep.snapshot import Customer, Route, Snapshot
from chervilstep.types import Deadline, Instant, new_deadline


def admit(node: Node, call: Call, now: Instant) -> Ticket | Refusal:
    """Returns the ticket of a call that may wait and be sent."""
    route = resolve(node.snapshot, call.method, call.path)
    if isinstance(route, Refusal):
        return route
    customer = authenticate(node.snapshot, route, call.key_digest)
    if isinstance(customer, Refusal):
        return customer
    deadline = deadline_of(call, route, now)
    ticket = Ticket(call, route, customer, deadline, now)
    return _objection(node, ticket, now) or ticket


def deadline_of(call: Call, route: Route, now: Instant) -> Deadline:
    """The caller's deadline, or the route's when that is earlier."""
    deadline = new_deadline(now, route.timeout_seconds)
    if call.deadline is None:
        return deadline
    return deadline.earlier(call.deadline)


def resolve(snapshot: Snapshot, method: str, path: str) -> Route | Refusal:
    """Returns the route with the longest prefix of ``path``."""
    for route in snapshot.routes:
        if path.startswith(route.path):
            if method in route.methods:
                return route
            return METHOD_NOT_ALLOWED
    return UNKNOWN_ROUTE


def authenticate(
    snapshot: Snapshot, route: Route, key_digest: str | None
) -> Customer | Refusal | None:
    """Returns the customer that the key stands for, None on open routes."""
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


def _objection(node: Node, ticket: Ticket, now: Instant) -> Refusal | None:
    for check in CHECKS:
        refusal = check(node, ticket, now)
        if refusal is not None:
            return refusal
    return None
