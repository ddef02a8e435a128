"""Decides from whom to borrow, and what."""

import math
from typing import Final

from chervilstep.node import Node
from chervilstep.queries.lending import (
    SHARDS_PER_CUSTOMER,
    burst_part,
    shards_of,
)
from chervilstep.types import Instant

#: The calls of this many seconds are kept in stock as tokens.
STOCK_SECONDS: Final = 0.1
#: With fewer calls a second, a token in stock would idle for too long.
STOCK_DEMAND: Final = 2
#: Depth of fewer tokens is returned with the next request only.
LEAST_RETURN: Final = 0.1
#: Below this many calls a second a customer counts as idle here.
IDLE_DEMAND: Final = 0.05

#: The time over which calls are counted before they are smoothed.
SAMPLE_SECONDS: Final = 2
#: An offer that takes longer counts as lost.
ANSWER_SECONDS: Final = 0.25


def lenders_of(node: Node, customer: str) -> tuple[str, ...]:
    """The other instances that seem to hold shards of ``customer``."""
    homes = node.leases.homes
    limits = node.snapshot.customers[customer]
    names = {
        homes[shard].name
        for place, shard in enumerate(shards_of(customer))
        if shard in homes and burst_part(limits.burst, place)
    }
    return tuple(sorted(names - {node.settings.name}))


def borrowed_customers(node: Node, now: Instant) -> frozenset[str]:
    """The customers with calls or loans here."""
    busy = {
        name
        for name, demand in node.shares.demands.items()
        if demand.rate > IDLE_DEMAND or demand.arrivals
    }
    own = node.settings.name
    owing = {
        name
        for name, bucket in node.shares.buckets.items()
        if any(
            lender != own and grant.burst and grant.ends_at > now
            for lender, grant in bucket.grants.items()
        )
    }
    return frozenset((busy | owing) & set(node.snapshot.customers))


def dealings(node: Node, now: Instant) -> dict[str, tuple[str, ...]]:
    """The customers to deal with by the lender that is asked."""
    customers = sorted(borrowed_customers(node, now))
    found: dict[str, tuple[str, ...]] = {}
    for customer in customers:
        for lender in lenders_of(node, customer):
            found[lender] = (*found.get(lender, ()), customer)
    return found


def demand_of(node: Node, customer: str) -> float:
    """Calls a second of ``customer`` that arrive at this instance."""
    demand = node.shares.demands.get(customer)
    if demand is None:
        return 0
    return max(demand.rate, demand.arrivals / SAMPLE_SECONDS)


def may_ask(node: Node, lender: str, customer: str, now: Instant) -> bool:
    """Whether a request out of turn cuts short no other request."""
    account = node.shares.accounts.get((lender, customer))
    return (
        account is None
        or not account.is_open
        or (now >= account.sent_at + ANSWER_SECONDS)
    )


def stock_of(node: Node, customer: str) -> float:
    """The tokens of ``customer`` that this instance keeps in stock."""
    demand = demand_of(node, customer)
    if demand < STOCK_DEMAND:
        return 0
    return 1 + demand * STOCK_SECONDS


def shortage(node: Node, customer: str, now: Instant) -> float:
    """The tokens that are missing for the next call."""
    bucket = node.shares.buckets.get(customer)
    return max(0, 1 - bucket.level(now)) if bucket else 1


def excess_of(node: Node, lender: str, customer: str) -> float:
    """The depth that the lender lent above what it wants kept here."""
    bucket = node.shares.buckets.get(customer)
    account = node.shares.accounts.get((lender, customer))
    if bucket is None or account is None or lender not in bucket.grants:
        return 0
    if account.target is None:
        return 0
    return max(0, bucket.grants[lender].burst - account.target)


def overpaid_lenders(
    node: Node, customer: str, now: Instant
) -> tuple[str, ...]:
    """The lenders to which depth without tokens should be returned."""
    bucket = node.shares.buckets.get(customer)
    if bucket is None or bucket.burst(now) - bucket.level(now) < LEAST_RETURN:
        return ()
    return tuple(
        lender
        for lender in bucket.grants
        if excess_of(node, lender, customer) >= LEAST_RETURN
        and may_ask(node, lender, customer, now)
    )


def lender_to_ask(node: Node, customer: str, now: Instant) -> str | None:
    """The lender that is likeliest to have tokens."""
    free = [
        lender
        for lender in lenders_of(node, customer)
        if may_ask(node, lender, customer, now)
    ]
    return max(
        free,
        key=lambda lender: _hope(node, lender, customer, now),
        default=None,
    )


def is_hopeful(node: Node, customer: str, now: Instant) -> bool:
    """Whether a call that waits for a token should ask the next lender."""
    demand = node.shares.demands.get(customer)
    if demand is None or now >= demand.waits_until:
        return False
    return demand.failures < len(lenders_of(node, customer))


def is_pull_pending(node: Node, customer: str, now: Instant) -> bool:
    """Whether an answer may soon bring tokens of ``customer``."""
    return any(
        not may_ask(node, lender, customer, now)
        for lender in lenders_of(node, customer)
    )


def _hope(node: Node, lender: str, customer: str, now: Instant) -> float:
    """The tokens that a lender may have by now; unknown ones go first."""
    account = node.shares.accounts.get((lender, customer))
    if account is None or account.left is None:
        return math.inf
    limits = node.snapshot.customers[customer]
    minted = limits.rate * (now - account.sent_at)
    return account.left + minted / SHARDS_PER_CUSTOMER
