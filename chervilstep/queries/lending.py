"""Works out what a holder of shards lends to whom."""

import functools
import math
from typing import Final

from chervilstep.leases import SHARDS, Holder, digest_of_name
from chervilstep.loan_messages import Need, Terms, new_terms, whole_units
from chervilstep.loans import Capital, Loan
from chervilstep.node import Node
from chervilstep.queries.leases import live_shards
from chervilstep.shares import Grant
from chervilstep.types import Deadline, Instant

#: The shards that a customer's limits are cut into.
SHARDS_PER_CUSTOMER: Final = 4
#: The least whole tokens of a burst that make up a shard's part.
LEAST_PART: Final = 8
#: The part of the rate that is lent in proportion to the demand; what stays
#: refills the pool from which tokens are lent on request.
LENT_RATE_PART: Final = 0.9
#: The part of the burst that is lent in proportion to the demand.
LENT_BURST_PART: Final = 0.5
#: The part of the capital that is kept for calls that wait elsewhere.
POOL_PART: Final = 0.5
#: The least number of tokens that is lent in proportion to the demand.
LEAST_LOAN: Final = 1
#: Keeps the proportion defined while nobody reports any demand.
LEAST_DEMAND: Final = 0.001

#: Stands for the loan of an instance that has none.
NO_LOAN: Final = Loan(0, 0, 0, 0, Deadline(float('-inf')))


@functools.cache
def shards_of(customer: str) -> range:
    """The shards of a customer's limits, the same on every instance."""
    groups = SHARDS // SHARDS_PER_CUSTOMER
    first = digest_of_name(customer) % groups * SHARDS_PER_CUSTOMER
    return range(first, first + SHARDS_PER_CUSTOMER)


def capital_of(node: Node, customer_name: str, now: Instant) -> Capital | None:
    """What the held shards are worth for a customer, lent parts included."""
    customer = node.snapshot.customers.get(customer_name)
    if customer is None:
        return None
    live = live_shards(node, now)
    burst = 0
    deadline: Deadline | None = None
    for place, shard in enumerate(shards_of(customer_name)):
        part = burst_part(customer.burst, place)
        if part and shard in live:
            burst += part
            deadline = live[shard].earlier(deadline or live[shard])
    if deadline is None:
        return None
    rate = customer.rate * burst / math.floor(customer.burst)
    return Capital(rate, burst, deadline)


def burst_part(burst: float, place: int) -> int:
    """The whole tokens of a burst that fall to one of the shards.

    A small burst stays in few shards, since parts of a token are of no use.
    """
    tokens = math.floor(burst)
    parts = min(SHARDS_PER_CUSTOMER, max(1, tokens // LEAST_PART))
    if place >= parts:
        return 0
    return (tokens + parts - 1 - place) // parts


def retained(
    node: Node, customer: str, capital: Capital, now: Instant
) -> Grant:
    """What the holder may use of its capital beside its loans."""
    loans = tuple(live_loans(node, customer, now).values())
    rate = capital.rate - sum(loan.rate for loan in loans)
    burst = capital.burst - sum(loan.burst + loan.transit for loan in loans)
    return Grant(max(0, rate), max(0, burst), capital.deadline)


def live_loans(node: Node, customer: str, now: Instant) -> dict[Holder, Loan]:
    """The loans of a customer's limits that may still be in use."""
    return {
        borrower: loan
        for borrower, loan in node.shares.book.loans.get(customer, {}).items()
        if not loan.deadline.has_passed(now)
    }


def declared_loan(
    node: Node, customer: str, borrower: Holder, need: Need, now: Instant
) -> Loan | None:
    """What the borrower still has of its loan, by its own word."""
    loan = live_loans(node, customer, now).get(borrower)
    if loan is None:
        return None
    return Loan(
        min(need.rate, loan.rate),
        min(need.burst, loan.burst),
        0,
        need.demand,
        loan.deadline,
    )


def is_news(node: Node, customer: str, borrower: Holder, sequence: int) -> bool:
    """Whether a request is neither a copy nor was overtaken."""
    return node.shares.book.last_sequence(customer, borrower) < sequence


def terms_for(
    node: Node,
    customer: str,
    capital: Capital,
    borrower: Holder,
    need: Need,
    now: Instant,
) -> Terms:
    """What to lend to ``borrower`` from now on, in place of its loan."""
    held = live_loans(node, customer, now).get(borrower, NO_LOAN)
    if node.members.is_leaving:
        # A leaving holder lends nothing more; its borrowers return the rest.
        return new_terms(0, held.burst, tokens=0, target=0, left=0)
    left = retained(node, customer, capital, now)
    share = _share_of(node, customer, need, held, now)
    target = capital.burst * share * LENT_BURST_PART
    if target < LEAST_LOAN:
        # Shares this small are worth more in one pool.
        share = 0
        target = 0
    level = min(node.shares.bucket(customer).level(now), left.burst)
    wanted = _tokens_for(need, capital, level)
    growth = max(0, target - held.burst, wanted - need.room)
    growth = whole_units(min(left.burst, growth))
    # Depth that goes without its tokens would spill them here.
    tokens = min(level, max(wanted, growth - (left.burst - level)))
    rate = _target_rate(node, customer, capital, need, share)
    return new_terms(
        min(rate, left.rate + held.rate),
        held.burst + growth,
        tokens=tokens,
        target=target,
        left=level - tokens,
    )


def _tokens_for(need: Need, capital: Capital, level: float) -> float:
    """The tokens to send; parts of a token would be of no use anywhere."""
    if need.wanted > level:
        return 0
    pool = level - need.wanted - capital.burst * POOL_PART
    if capital.burst < LEAST_PART:
        pool = 0
    if need.spare > pool:
        return need.wanted + max(0, math.floor(pool))
    return need.wanted + need.spare


def _share_of(
    node: Node, customer: str, need: Need, held: Loan, now: Instant
) -> float:
    loans = live_loans(node, customer, now).values()
    others = sum(loan.demand for loan in loans) - held.demand
    own = node.shares.demands.get(customer)
    if own is not None:
        others += own.rate
    return need.demand / max(others + need.demand, LEAST_DEMAND)


def _target_rate(
    node: Node, customer: str, capital: Capital, need: Need, share: float
) -> float:
    limits = node.snapshot.customers[customer]
    part = capital.rate / limits.rate if limits.rate else 0
    return LENT_RATE_PART * min(capital.rate * share, need.demand * part)
