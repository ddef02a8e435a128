"""Who may send a call, and what it is allowed."""

from chervilstep.calls import Call, Ticket
from chervilstep.hooks import CHECKS
from chervilstep.node import Node
from chervilstep.queries.access import authenticate
from chervilstep.queries.routing import resolve
from chervilstep.refusals import Refusal
from chervilstep.snapshot import Route
from chervilstep.types import Deadline, Instant, new_deadline


def admit(node: Node, call: Call, now: Instant) -> Ticket | Refusal:
    """Returns the ticket of a call that may wait and be sent."""
    route = resolve(node.snapshot, call.method, call.path, call.host)
    if isinstance(route, Refusal):
        return route
    customer = authenticate(node.snapshot, route, call.key_digest)
    if isinstance(customer, Refusal):
        return customer
    deadline = deadline_of(call, route, now)
    ticket = Ticket(call, part_of(node, route), customer, deadline, now)
    return _objection(node, ticket, now) or ticket


def part_of(node: Node, route: Route) -> Route:
    """One of the routes into which a route splits, drawn by weight."""
    if not route.parts:
        return route
    weights = [weight for weight, _ in route.parts]
    routes = [part for _, part in route.parts]
    return node.rng.choices(routes, weights)[0]


def deadline_of(call: Call, route: Route, now: Instant) -> Deadline:
    """The caller's deadline, or the route's when that is earlier."""
    deadline = new_deadline(now, route.timeout_seconds)
    if call.deadline is None:
        return deadline
    return deadline.earlier(call.deadline)


def _objection(node: Node, ticket: Ticket, now: Instant) -> Refusal | None:
    for check in CHECKS:
        refusal = check(node, ticket, now)
        if refusal is not None:
            return refusal
    return None
