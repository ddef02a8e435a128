"""Explains to operators where a request would go, or why nowhere."""

from typing import final

from chervilstep.calls import Call, Ticket
from chervilstep.hooks import CHECKS
from chervilstep.node import Node
from chervilstep.queries.admission import deadline_of
from chervilstep.queries.choice import choose
from chervilstep.queries.routing import resolve
from chervilstep.refusals import (
    FORBIDDEN_ROUTE,
    MISSING_KEY,
    UNKNOWN_KEY,
    Refusal,
)
from chervilstep.snapshot import Customer, Route
from chervilstep.types import Instant


@final
class Explanation:
    """The steps of a decision, in order, and what it came to."""

    __slots__ = ('_outcome', '_steps')

    def __init__(self, steps: tuple[str, ...], outcome: str) -> None:
        """Creates an explanation of sentences."""
        self._steps = steps
        self._outcome = outcome

    @property
    def steps(self) -> tuple[str, ...]:
        """What was decided on the way."""
        return self._steps

    @property
    def outcome(self) -> str:
        """The upstream that would be chosen, or why none is."""
        return self._outcome


def explain(
    node: Node, method: str, path: str, customer_name: str, now: Instant
) -> Explanation:
    """Explains a request of a customer, by name since keys are secret."""
    route = resolve(node.snapshot, method, path)
    if isinstance(route, Refusal):
        return Explanation((f'{method} {path}',), _refused(route))
    steps = [f'{method} {path} takes route {route.name} to {route.service}']
    customer = _customer(node, route, customer_name)
    if isinstance(customer, Refusal):
        return Explanation(tuple(steps), _refused(customer))
    steps.append(f'it runs for {customer.name if customer else "anyone"}')
    call = _call(method, path, customer)
    ticket = Ticket(call, route, customer, deadline_of(call, route, now), now)
    for check in CHECKS:
        refusal = check(node, ticket, now)
        if refusal is not None:
            return Explanation(tuple(steps), _refused(refusal))
        steps.append(f'check {check.__name__} lets it pass')
    return Explanation(tuple(steps), _destination(node, route, now))


def _customer(node: Node, route: Route, name: str) -> Customer | Refusal | None:
    if route.is_open:
        return None
    if not name:
        return MISSING_KEY
    customer = node.snapshot.customers.get(name)
    if customer is None or not customer.digests:
        return UNKNOWN_KEY
    if name not in route.customers:
        return FORBIDDEN_ROUTE
    return customer


def _call(method: str, path: str, customer: Customer | None) -> Call:
    """A call with one of the customer's keys, which it never shows."""
    digest = min(customer.digests) if customer else None
    return Call(method, path, (), b'', key_digest=digest, deadline=None)


def _destination(node: Node, route: Route, now: Instant) -> str:
    service = node.snapshot.services.get(route.service)
    if service is None:
        return f'nowhere: there is no service {route.service}'
    upstream = choose(node, service, frozenset(), now)
    if upstream is None:
        return f'it would wait: no upstream of {service.name} has room'
    return f'{upstream.name} in {upstream.zone}, by policy {service.policy}'


def _refused(refusal: Refusal) -> str:
    return f'refused as {refusal.reason}: {refusal.message}'
