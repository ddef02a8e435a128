"""How many retries and hedges this instance may still start."""

from chervilstep.node import Node
from chervilstep.queries.fleet import known_size
from chervilstep.retries import SAVED_PART, USED_PART
from chervilstep.types import Instant


def can_afford(node: Node, service: str, now: Instant) -> bool:
    """Whether the budget pays for one more retry or hedge at ``service``."""
    return balance(node, service, now) >= 1


def can_afford_hedge(node: Node, service: str, now: Instant) -> bool:
    """Whether the budget pays for a hedge and keeps half for retries."""
    return balance(node, service, now) >= 1 + limit(node) / 2


def limit(node: Node) -> float:
    """The tokens that this instance may have saved up for a service."""
    return max(1, SAVED_PART * _reserve(node))


def balance(node: Node, service: str, now: Instant) -> float:
    """The tokens at ``now``, with this instance's part of the reserve.

    In any window the fleet's retries and hedges at a service are at most the
    agreed ratio of its calls plus the agreed reserve, as long as instances
    know each other: whatever is saved up counts as a part of the reserve.
    """
    known = node.retries.balances.get(service)
    if known is None:
        return limit(node)
    elapsed = max(0, now - known.counted_at)
    return min(limit(node), known.tokens + elapsed * _reserve_rate(node))


def earnings(node: Node) -> float:
    """The tokens that each call earns."""
    return USED_PART * node.settings.allowances.retry_ratio


def _reserve(node: Node) -> float:
    reserve = node.settings.allowances.retry_reserve
    return USED_PART * reserve / known_size(node)


def _reserve_rate(node: Node) -> float:
    window = node.settings.allowances.retry_window_seconds
    return (1 - SAVED_PART) * _reserve(node) / window
