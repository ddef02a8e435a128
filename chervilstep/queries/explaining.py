"""Explains how a request would be routed, for operators."""

from typing import final

from chervilstep.calls import Call, Ticket
from chervilstep.hooks import CHECKS
from chervilstep.node import Node
from chervilstep.queries.admission import effective_deadline
from chervilstep.queries.choice import choose_upstream
from chervilstep.queries.notices import has_announced_leaving, pause_end
from chervilstep.queries.routing import resolve
from chervilstep.queries.throttling import describe_limits
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
    """The steps of a routing decision, in order, and its outcome."""

    __slots__ = ('_outcome', '_steps')

    def __init__(self, steps: tuple[str, ...], outcome: str) -> None:
        """Creates an explanation from its steps and outcome."""
        self._steps = steps
        self._outcome = outcome

    @property
    def steps(self) -> tuple[str, ...]:
        """The intermediate decisions, one sentence each."""
        return self._steps

    @property
    def outcome(self) -> str:
        """The upstream that would be chosen, or why there is none."""
        return self._outcome


def explain(
    node: Node, method: str, path: str, customer_name: str, now: Instant
) -> Explanation:
    """Explains how a request of a customer would be routed.

    The customer is given by name, since keys are secret.
    """
    route = resolve(node.snapshot, method, path)
    if isinstance(route, Refusal):
        return Explanation((f'{method} {path}',), _describe_refusal(route))
    steps = [f'{method} {path} takes route {route.name} to {route.service}']
    customer = _find_customer(node, route, customer_name)
    if isinstance(customer, Refusal):
        return Explanation(tuple(steps), _describe_refusal(customer))
    steps.append(f'it runs for {customer.name if customer else "anyone"}')
    call = _new_call(method, path, customer)
    ticket = Ticket(
        call, route, customer, effective_deadline(call, route, now), now
    )
    for check in CHECKS:
        refusal = check(node, ticket, now)
        if refusal is not None:
            return Explanation(tuple(steps), _describe_refusal(refusal))
        steps.append(f'check {check.__name__} lets it pass')
    steps.extend(_describe_limits(node, route, now))
    steps.extend(_describe_notices(node, route, now))
    return Explanation(tuple(steps), _describe_destination(node, route, now))


def _find_customer(
    node: Node, route: Route, name: str
) -> Customer | Refusal | None:
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


def _new_call(method: str, path: str, customer: Customer | None) -> Call:
    """Creates a call with the digest of one of the customer's keys."""
    digest = min(customer.digests) if customer else None
    return Call(method, path, (), b'', key_digest=digest, deadline=None)


def _describe_limits(node: Node, route: Route, now: Instant) -> list[str]:
    service = node.snapshot.services.get(route.service)
    limits = describe_limits(node, service.upstreams if service else (), now)
    return [
        f'{name} accepts {entry["limit"]} requests/s from all instances'
        f' (received by {entry["source"]} {entry["age"]} s ago); the share of'
        f' this instance is {entry["share"]}, tokens left: {entry["tokens"]}'
        for name, entry in limits.items()
    ]


def _describe_notices(node: Node, route: Route, now: Instant) -> list[str]:
    service = node.snapshot.services.get(route.service)
    steps = []
    for upstream in service.upstreams if service else ():
        if has_announced_leaving(node, upstream.name):
            steps.append(f'{upstream.name} has said that it leaves')
        seconds = pause_end(node, upstream.name).remaining(now)
        if seconds:
            steps.append(f'{upstream.name} wants nothing for {seconds:.1f} s')
    return steps


def _describe_destination(node: Node, route: Route, now: Instant) -> str:
    service = node.snapshot.services.get(route.service)
    if service is None:
        return f'nowhere: there is no service {route.service}'
    upstream = choose_upstream(node, service, frozenset(), now)
    if upstream is None:
        return f'it would wait: no upstream of {service.name} has room'
    return f'{upstream.name} in {upstream.zone}, by policy {service.policy}'


def _describe_refusal(refusal: Refusal) -> str:
    return f'refused as {refusal.reason}: {refusal.message}'
