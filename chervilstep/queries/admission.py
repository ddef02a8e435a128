"""Admits calls: finds their route, customer and deadline."""

from chervilstep.calls import Call, Ticket
from chervilstep.hooks import CHECKS
from chervilstep.node import Node
from chervilstep.queries.access import authenticate
from chervilstep.queries.routing import resolve
from chervilstep.refusals import Refusal
from chervilstep.snapshot import Route
from chervilstep.types import Deadline, Instant, new_deadline


def admit(node: Node, call: Call, now: Instant) -> Ticket | Refusal:
    """Returns the ticket of a call if every check passes, or a refusal."""
    route = resolve(node.snapshot, call.method, call.path, call.host)
    if isinstance(route, Refusal):
        return route
    customer = authenticate(node.snapshot, route, call.key_digest)
    if isinstance(customer, Refusal):
        return customer
    deadline = effective_deadline(call, route, now)
    ticket = Ticket(
        call, draw_weighted_route(node, route), customer, deadline, now
    )
    return _first_refusal(node, ticket, now) or ticket


def draw_weighted_route(node: Node, route: Route) -> Route:
    """Returns one of the parts of a split route, at random by weight.

    A route that is not split is returned as it is.
    """
    if not route.weighted_routes:
        return route
    weights = [weight for weight, _ in route.weighted_routes]
    routes = [part for _, part in route.weighted_routes]
    return node.rng.choices(routes, weights)[0]


def effective_deadline(call: Call, route: Route, now: Instant) -> Deadline:
    """Returns the earlier of the caller's and the route's deadline."""
    deadline = new_deadline(now, route.timeout_seconds)
    if call.deadline is None:
        return deadline
    return deadline.earlier(call.deadline)


def _first_refusal(node: Node, ticket: Ticket, now: Instant) -> Refusal | None:
    for check in CHECKS:
        refusal = check(node, ticket, now)
        if refusal is not None:
            return refusal
    return None
