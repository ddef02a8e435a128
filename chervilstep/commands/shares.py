"""Charges calls to their customers, and keeps the buckets up to date."""

from typing import Final

from chervilstep.calls import Call, Ticket
from chervilstep.commands.borrowing import pull, restock
from chervilstep.commands.leases import release_leases
from chervilstep.commands.lending import retain
from chervilstep.hooks import CHARGES, REFUSED_CALLS, every
from chervilstep.node import Node
from chervilstep.queries.borrowing import is_pull_pending
from chervilstep.queries.lending import live_loans
from chervilstep.refusals import RATE_EXCEEDED, Refusal
from chervilstep.types import Instant

CHARGE_RANK: Final = 80
TICK_SECONDS: Final = 0.5
#: How long a call may wait for a token of another instance.
WAIT_SECONDS: Final = 0.03


@CHARGES.register(CHARGE_RANK)
def charge_rate(node: Node, ticket: Ticket, now: Instant) -> None:
    """Takes one token of the ticket's customer."""
    if ticket.customer is None:
        return
    name = ticket.customer.name
    node.shares.bucket(name).spend(1, now)
    demand = node.shares.demand(name)
    demand.arrive()
    restock(node, name, now)


@REFUSED_CALLS.register(CHARGE_RANK)
def note_shortage(
    node: Node, call: Call, refusal: Refusal, now: Instant
) -> None:
    """Asks for tokens when a call found none here."""
    if refusal is not RATE_EXCEEDED or call.key_digest is None:
        return
    customer = node.snapshot.customer_by_digest(call.key_digest)
    if customer is not None:
        demand = node.shares.demand(customer.name)
        demand.wait(now + WAIT_SECONDS)
        pull(node, customer.name, now)
        if not is_pull_pending(node, customer.name, now):
            # Nothing is worth waiting for; a call that waits counts later.
            demand.arrive()


@every(TICK_SECONDS, 'shares')
def refresh_shares(node: Node, now: Instant) -> None:
    """Follows changes of the leases and of the configuration."""
    for name in tuple(node.shares.buckets):
        if name not in node.snapshot.customers:
            node.shares.forget(name)
    if node.members.is_leaving and node.leases.held:
        _hand_over(node, now)
    for customer in node.snapshot.customers:
        retain(node, customer, now)


def _hand_over(node: Node, now: Instant) -> None:
    """Gives the leases up once nothing is lent on their strength."""
    customers = tuple(node.shares.book.loans)
    if not any(live_loans(node, customer, now) for customer in customers):
        release_leases(node, now)
