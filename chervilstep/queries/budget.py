"""How many retries and hedges this instance may still start."""

from chervilstep.node import Node
from chervilstep.retries import FLEET_TOKENS, FLEET_TOKENS_PER_SECOND
from chervilstep.types import Instant


def can_afford(node: Node, now: Instant) -> bool:
    """Whether the budget pays for one more retry or hedge."""
    return balance(node, now) >= 1


def can_afford_hedge(node: Node, now: Instant) -> bool:
    """Whether the budget pays for a hedge and keeps half for retries."""
    return balance(node, now) >= 1 + limit(node) / 2


def limit(node: Node) -> float:
    """The tokens that this instance may have saved up."""
    return max(1, FLEET_TOKENS / live_instances(node))


def balance(node: Node, now: Instant) -> float:
    """The tokens at ``now``, with this instance's share of the reserve.

    Over any time, the fleet's retries and hedges are at most
    ``TOKENS_PER_CALL`` of its calls, plus ``FLEET_TOKENS_PER_SECOND``, plus
    ``FLEET_TOKENS`` (or one token for each instance, if that is more), as
    long as the list of instances leaves out none that serves.
    """
    budget = node.retries
    if budget.tokens is None:
        return limit(node)
    elapsed = max(0, now - budget.counted_at)
    earned = elapsed * FLEET_TOKENS_PER_SECOND / live_instances(node)
    return min(limit(node), budget.tokens + earned)


def live_instances(node: Node) -> int:
    """How many instances share the budget, this one included."""
    listed = node.members.listed.values()
    return max(1, sum(not instance.is_leaving for instance in listed))
