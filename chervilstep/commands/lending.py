"""Lends parts of the held shards to the instances where calls arrive."""

from chervilstep.hooks import HANDLERS
from chervilstep.leases import LEASE_SECONDS, Holder
from chervilstep.loan_messages import (
    LoanOffer,
    LoanRequest,
    Need,
    Terms,
    new_terms,
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
    if not isinstance(message, LoanRequest):
        return
    borrower = Holder(sender, message.incarnation)
    seconds = float(LEASE_SECONDS)
    terms: dict[str, tuple[int, ...]] = {}
    news = [
        customer
        for customer in message.needs
        if _is_news(node, customer, borrower, message.sequence)
    ]
    for customer in news:
        capital = queries.capital_of(node, customer, now)
        if capital is None:
            continue
        need = message.need(customer)
        _take_back(node, customer, capital, borrower, need, now)
        if not message.is_return:
            lent = _lend(node, customer, capital, borrower, need, now)
            terms[customer] = lent.values
            seconds = min(seconds, capital.deadline.remaining(now))
    if terms:
        offer = LoanOffer(message.sequence, seconds, terms)
        node.outbox.put(sender, offer)


def retain(node: Node, customer: str, now: Instant) -> None:
    """Gives the holder's own bucket what is not lent."""
    bucket = node.shares.bucket(customer)
    capital = queries.capital_of(node, customer, now)
    if capital is None:
        bucket.drop(node.settings.name, now)
        return
    grant = queries.retained(node, customer, capital, now)
    bucket.put(node.settings.name, grant, now)


def _is_news(
    node: Node, customer: str, borrower: Holder, sequence: int
) -> bool:
    """Notes a request; False when it is a copy or was overtaken."""
    book = node.shares.book
    if book.last_sequence(customer, borrower) >= sequence:
        return False
    book.advance(customer, borrower, sequence)
    return True


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
    now: Instant,
) -> Terms:
    held = queries.live_loans(node, customer, now).get(
        borrower, queries.NO_LOAN
    )
    terms = queries.terms_for(node, customer, capital, borrower, need, now)
    if node.members.is_leaving:
        terms = new_terms(0, held.burst, tokens=0, target=0, left=0)
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
    return terms
