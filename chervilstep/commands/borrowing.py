"""Borrows tokens and minting rights for the calls that arrive here."""

import math
from typing import Final

from chervilstep.hooks import HANDLERS, every
from chervilstep.loan_messages import (
    UNITS,
    LoanOffer,
    LoanRequest,
    Need,
    Terms,
    new_need,
    whole_units,
)
from chervilstep.loans import Demand
from chervilstep.messages import Message
from chervilstep.node import Node
from chervilstep.queries import borrowing as queries
from chervilstep.shares import Grant
from chervilstep.types import Deadline, Instant

RENEWAL_SECONDS: Final = 2
#: Over how long the demand is smoothed.
DEMAND_SECONDS: Final = 3
#: The shortest and the longest pause after a request that brought nothing.
MIN_PAUSE_SECONDS: Final = 0.02
MAX_PAUSE_SECONDS: Final = 0.5
#: The time between two requests that fill the stock of a customer.
RESTOCK_SECONDS: Final = 0.1
#: Stands for the grant of a lender that gave none.
NO_GRANT: Final = Grant(0, 0, Deadline(float('-inf')))


@every(RENEWAL_SECONDS, 'loans')
def renew_loans(node: Node, now: Instant) -> None:
    """Measures the demand, returns what is not needed, renews the rest."""
    node.shares.book.expire(now)
    node.shares.book.forget(node.members.listed)
    node.shares.forget_accounts(node.members.listed)
    for demand in node.shares.demands.values():
        _measure(demand, now)
    for lender, customers in queries.dealings(node, now).items():
        needs = {
            name: _need(node, lender, name, now, 0, 0, is_renewal=True).values
            for name in customers
        }
        _request(node, lender, needs, 0, now)


@HANDLERS.register(LoanOffer.kind)
def take_loan_offer(
    node: Node, sender: str, message: Message, now: Instant
) -> None:
    """Takes what a lender lends, unless the offer is late or a copy."""
    if not isinstance(message, LoanOffer):
        return
    for customer in message.terms:
        account = node.shares.account(sender, customer)
        if account.is_open and account.sequence == message.sequence:
            terms = message.term(customer)
            deadline = Deadline(account.sent_at + message.seconds)
            account.settle(terms.target, terms.left)
            _take_terms(node, sender, customer, terms, deadline, now)


def pull(node: Node, customer: str, now: Instant) -> None:
    """Asks a lender for the token that a call waits for."""
    demand = node.shares.demand(customer)
    missing = queries.shortage(node, customer, now)
    lender = queries.lender_to_ask(node, customer, now)
    if missing and now >= demand.paused_until and lender is not None:
        spare = queries.stock_of(node, customer)
        _ask(node, customer, lender, now, missing, spare)


def restock(node: Node, customer: str, now: Instant) -> None:
    """Returns depth that a spent token left behind, and fills the stock."""
    bucket = node.shares.bucket(customer)
    spare = queries.stock_of(node, customer) - bucket.level(now)
    demand = node.shares.demand(customer)
    if now < demand.restocks_at:
        spare = 0
    if spare > 0:
        demand.restock(now + RESTOCK_SECONDS)
    for overpaid in queries.overpaid_lenders(node, customer, now):
        if spare > 0:
            _ask(node, customer, overpaid, now, 0, spare)
            spare = 0
        else:
            _give_back(node, overpaid, customer, now)
    lender = queries.lender_to_ask(node, customer, now)
    if spare > 0 and lender is not None:
        _ask(node, customer, lender, now, 0, spare)


def _take_terms(
    node: Node,
    lender: str,
    customer: str,
    terms: Terms,
    deadline: Deadline,
    now: Instant,
) -> None:
    if deadline.has_passed(now):
        return
    bucket = node.shares.bucket(customer)
    bucket.put(lender, Grant(terms.rate, terms.burst, deadline), now)
    bucket.credit(terms.tokens, now)
    if node.shares.account(lender, customer).wanted:
        _pace(node, customer, terms.tokens, now)


def _pace(node: Node, customer: str, tokens: float, now: Instant) -> None:
    """Tries the next lender, or leaves all alone when none has a token."""
    demand = node.shares.demand(customer)
    if tokens > 0:
        demand.resume(now)
        return
    demand.fail()
    if queries.is_hopeful(node, customer, now):
        pull(node, customer, now)
        return
    if demand.failures < len(queries.lenders_of(node, customer)):
        return
    pause = max(MIN_PAUSE_SECONDS, 2 * demand.pause)
    demand.suspend(now, min(pause, MAX_PAUSE_SECONDS))


def _ask(
    node: Node,
    customer: str,
    lender: str,
    now: Instant,
    wanted: float,
    spare: float,
) -> None:
    need = _need(node, lender, customer, now, wanted, spare)
    _request(node, lender, {customer: need.values}, wanted, now)


def _measure(demand: Demand, now: Instant) -> None:
    if demand.measured_at is None:
        demand.measure(demand.arrivals / RENEWAL_SECONDS, now)
        return
    elapsed = now - demand.measured_at
    if elapsed > 0:
        weight = 1 - math.exp(-elapsed / DEMAND_SECONDS)
        sample = demand.arrivals / elapsed
        demand.measure(demand.rate + weight * (sample - demand.rate), now)


def _need(
    node: Node,
    lender: str,
    customer: str,
    now: Instant,
    wanted: float,
    spare: float,
    *,
    is_renewal: bool = False,
) -> Need:
    bucket = node.shares.bucket(customer)
    bucket.advance(now)
    surplus = _shrink(
        node, lender, customer, now, is_renewal=not wanted + spare
    )
    grant = bucket.grants.get(lender, NO_GRANT)
    return new_need(
        grant.rate,
        grant.burst,
        returned=surplus,
        wanted=math.ceil(wanted * UNITS) / UNITS,
        spare=spare,
        room=bucket.burst(now) - bucket.level(now),
        demand=queries.demand_of(node, customer),
    )


def _shrink(
    node: Node, lender: str, customer: str, now: Instant, *, is_renewal: bool
) -> float:
    """Cuts a loan down to the lender's target; returns the surplus tokens.

    Between renewals only depth that holds no tokens is given back.
    """
    bucket = node.shares.bucket(customer)
    excess = queries.excess_of(node, lender, customer)
    room = bucket.burst(now) - bucket.level(now)
    if not is_renewal:
        excess = min(excess, room)
    excess = whole_units(excess)
    if excess <= 0:
        return 0
    grant = bucket.grants[lender]
    surplus = max(0, excess - room)
    bucket.spend(surplus, now)
    burst = whole_units(grant.burst - excess)
    bucket.put(lender, Grant(grant.rate, burst, grant.deadline), now)
    return surplus


def _request(
    node: Node,
    lender: str,
    needs: dict[str, tuple[int, ...]],
    wanted: float,
    now: Instant,
) -> None:
    sequence = _count_request(node)
    for customer in needs:
        account = node.shares.account(lender, customer)
        account.request(sequence, wanted, now)
    incarnation = node.leases.holder.incarnation
    request = LoanRequest(incarnation, sequence, needs, is_return=False)
    node.outbox.put(lender, request)


def _give_back(node: Node, lender: str, customer: str, now: Instant) -> None:
    need = _need(node, lender, customer, now, 0, 0)
    incarnation = node.leases.holder.incarnation
    sequence = _count_request(node)
    needs = {customer: need.values}
    request = LoanRequest(incarnation, sequence, needs, is_return=True)
    node.outbox.put(lender, request)


def _count_request(node: Node) -> int:
    node.shares.count_request()
    return node.shares.sequence
