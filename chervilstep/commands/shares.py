"""Charges calls to their customers and mints this instance's share."""

from typing import Final

from chervilstep.calls import Ticket
from chervilstep.hooks import CHARGES, every
from chervilstep.node import Node
from chervilstep.shares import Grant
from chervilstep.types import Instant, new_deadline

CHARGE_RANK: Final = 80
RENEWAL_PERIOD_SECONDS: Final = 0.5
HOLD_SECONDS: Final = 6


@CHARGES.register(CHARGE_RANK)
def charge_rate(node: Node, ticket: Ticket, now: Instant) -> None:
    """Takes one token of the ticket's customer."""
    if ticket.customer is not None:
        node.shares.bucket(ticket.customer.name).spend(1, now)


@every(RENEWAL_PERIOD_SECONDS, 'shares')
def renew_shares(node: Node, now: Instant) -> None:
    """Renews this instance's equal share of every customer's limits."""
    _forget_customers(node)
    if node.members.self_name not in node.members.listed:
        return
    deadline = new_deadline(now, HOLD_SECONDS)
    part = 1 / len(node.members.listed)
    for customer in node.snapshot.customers.values():
        grant = Grant(customer.rate * part, customer.burst * part, deadline)
        bucket = node.shares.bucket(customer.name)
        bucket.put(node.members.self_name, grant, now)


def _forget_customers(node: Node) -> None:
    for name in tuple(node.shares.buckets):
        if name not in node.snapshot.customers:
            node.shares.forget(name)
