"""Lends parts of the held shards to the instances where calls arrive."""

from chervilstep.hooks import HANDLERS
from chervilstep.leases import LEASE_SECONDS, Holder
from chervilstep.loan_messages import (
    LoanOffer,
    LoanRequest,
    Need,
    Terms,
)
from chervilstep.loans import Capital, Loan
from chervilstep.messages import Message
from chervilstep.node import Node
from chervilstep.queries import lending as queries
from chervilstep.types import Instant


@HANDLERS.register(LoanRequest.kind)
def take_loan_request(
    node: Node, sender: str, message: Message, now: Instant
) -> None:
    """Takes back what a borrower returns, and lends it what it needs."""
    if isinstance(message, LoanRequest):
        _serve(node, sender, message, now)


def retain(node: Node, customer: str, now: Instant) -> None:
    """Gives the holder's own bucket what is not lent."""
    bucket = node.shares.bucket(customer)
    capital = queries.capital_of(node, customer, now)
    if capital is None:
        bucket.drop(node.settings.name, now)
        return
    grant = queries.retained(node, customer, capital, now)
    bucket.put(node.settings.name, grant, now)


def _serve(node: Node, sender: str, message: LoanRequest, now: Instant) -> None:
    borrower = Holder(sender, message.incarnation)
    seconds = float(LEASE_SECONDS)
    terms: dict[str, tuple[int, ...]] = {}
    news = [
        customer
        for customer in message.needs
        if queries.is_news(node, customer, borrower, message.sequence)
    ]
    for customer in news:
        node.shares.book.advance(customer, borrower, message.sequence)
        capital = queries.capital_of(node, customer, now)
        if capital is None:
            continue
        need = message.need(customer)
        _take_back(node, customer, capital, borrower, need, now)
        if not message.is_return:
            lent = queries.terms_for(
                node, customer, capital, borrower, need, now
            )
            _lend(node, customer, capital, borrower, need, lent, now)
            terms[customer] = lent.values
            seconds = min(seconds, capital.deadline.remaining(now))
    if terms:
        offer = LoanOffer(message.sequence, seconds, terms)
        node.outbox.put(sender, offer)


def _take_back(
    node: Node,
    customer: str,
    capital: Capital,
    borrower: Holder,
    need: Need,
    now: Instant,
) -> None:
    declared = queries.declared_loan(node, customer, borrower, need, now)
    if declared is None:
        retain(node, customer, now)
        return
    before = queries.live_loans(node, customer, now)[borrower]
    node.shares.book.put(customer, borrower, declared)
    retain(node, customer, now)
    freed = before.burst - declared.burst
    node.shares.bucket(customer).credit(min(need.returned, freed), now)


def _lend(
    node: Node,
    customer: str,
    capital: Capital,
    borrower: Holder,
    need: Need,
    terms: Terms,
    now: Instant,
) -> None:
    held = queries.live_loans(node, customer, now).get(
        borrower, queries.NO_LOAN
    )
    # The debit goes first; the borrower credits what arrives.
    node.shares.bucket(customer).spend(terms.tokens, now)
    loan = Loan(
        max(terms.rate, held.rate),
        terms.burst,
        max(0, terms.tokens - (terms.burst - held.burst)),
        need.demand,
        capital.deadline.later(held.deadline),
    )
    node.shares.book.put(customer, borrower, loan)
    retain(node, customer, now)
