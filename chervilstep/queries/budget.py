"""Queries of the retry budget, which also pays for hedges."""

from chervilstep.node import Node
from chervilstep.queries.fleet import fleet_size
from chervilstep.retries import CAPACITY_FRACTION, USED_FRACTION
from chervilstep.types import Instant


def can_afford_retry(node: Node, service: str, now: Instant) -> bool:
    """Whether the budget of ``service`` covers one more retry."""
    return available_tokens(node, service, now) >= 1


def can_afford_hedge(node: Node, service: str, now: Instant) -> bool:
    """Whether a hedge leaves half of the capacity for retries."""
    return available_tokens(node, service, now) >= 1 + token_capacity(node) / 2


def token_capacity(node: Node) -> float:
    """Returns the capacity of the token bucket of a service."""
    return max(1, CAPACITY_FRACTION * _reserve_tokens(node))


def available_tokens(node: Node, service: str, now: Instant) -> float:
    """Returns the tokens at ``now``, including the refill from the reserve.

    The instances divide the reserve equally. In any window, the retries and
    hedges of the fleet at a service are at most the configured ratio of its
    calls plus the configured reserve, as long as the membership tables agree.
    The capacity of the bucket counts as a part of the reserve.
    """
    balance = node.retry_budget.balances.get(service)
    if balance is None:
        return token_capacity(node)
    elapsed = max(0, now - balance.updated_at)
    return min(
        token_capacity(node), balance.tokens + elapsed * _refill_rate(node)
    )


def tokens_per_call(node: Node) -> float:
    """Returns the tokens that each admitted call adds to the budget."""
    return USED_FRACTION * node.settings.allowances.retry_ratio


def _reserve_tokens(node: Node) -> float:
    reserve = node.settings.allowances.retry_reserve
    return USED_FRACTION * reserve / fleet_size(node)


def _refill_rate(node: Node) -> float:
    window = node.settings.allowances.retry_window_seconds
    return (1 - CAPACITY_FRACTION) * _reserve_tokens(node) / window
