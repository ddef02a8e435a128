"""Adds tokens to the retry budget and spends them."""

from chervilstep.calls import Ticket
from chervilstep.hooks import CHARGES, every
from chervilstep.node import Node
from chervilstep.queries.budget import available_tokens, tokens_per_call
from chervilstep.types import Instant


@CHARGES.register(rank=80)
def earn_tokens(node: Node, ticket: Ticket, now: Instant) -> None:
    """Adds the tokens that an admitted call earns."""
    service = ticket.route.service
    tokens = available_tokens(node, service, now) + tokens_per_call(node)
    node.retry_budget.set_tokens(service, tokens, now)


def spend_token(node: Node, service: str, now: Instant, purpose: str) -> None:
    """Spends a token; ``purpose`` is ``retry`` or ``hedge``."""
    node.counters.add('extra_attempts', purpose=purpose)
    node.retry_budget.set_tokens(
        service, available_tokens(node, service, now) - 1, now
    )


@every(period_seconds=60, name='forget-budgets')
def discard_stale_budgets(node: Node, now: Instant) -> None:
    """Discards the balances of services that were removed."""
    node.retry_budget.retain(frozenset(node.snapshot.services))
