"""Earns and spends the budget of retries and hedges."""

from chervilstep.calls import Ticket
from chervilstep.hooks import CHARGES, every
from chervilstep.node import Node
from chervilstep.queries.budget import balance, earnings
from chervilstep.types import Instant


@CHARGES.register(rank=80)
def earn(node: Node, ticket: Ticket, now: Instant) -> None:
    """Adds what an admitted call earns."""
    service = ticket.route.service
    tokens = balance(node, service, now) + earnings(node)
    node.retries.count(service, tokens, now)


def spend(node: Node, service: str, now: Instant, purpose: str) -> None:
    """Pays for one more attempt; ``purpose`` is ``retry`` or ``hedge``."""
    node.counters.add('extra_attempts', purpose=purpose)
    node.retries.count(service, balance(node, service, now) - 1, now)


@every(period_seconds=60, name='forget-budgets')
def forget_budgets(node: Node, now: Instant) -> None:
    """Forgets the services that the configuration no longer has."""
    node.retries.keep(frozenset(node.snapshot.services))
