"""Earns and spends the budget of retries and hedges."""

from chervilstep.calls import Ticket
from chervilstep.hooks import CHARGES
from chervilstep.node import Node
from chervilstep.queries.budget import balance
from chervilstep.retries import TOKENS_PER_CALL
from chervilstep.types import Instant


@CHARGES.register(rank=80)
def earn(node: Node, ticket: Ticket, now: Instant) -> None:
    """Adds what an admitted call earns."""
    node.retries.count(balance(node, now) + TOKENS_PER_CALL, now)


def spend(node: Node, now: Instant, purpose: str) -> None:
    """Pays for one more attempt; ``purpose`` is ``retry`` or ``hedge``."""
    node.counters.add('extra_attempts', purpose=purpose)
    node.retries.count(balance(node, now) - 1, now)
