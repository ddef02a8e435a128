"""Describes the leases and the tokens of this instance for operators."""

from chervilstep.hooks import STATUS_PARTS
from chervilstep.node import Node
from chervilstep.queries.leases import live_shards
from chervilstep.queries.lending import live_loans
from chervilstep.types import Instant


@STATUS_PARTS.register('rates')
def describe_rates(node: Node, now: Instant) -> object:
    """The shards held, whether this instance votes, and each bucket."""
    return {
        'is_voting': node.leases.voting.is_voting,
        'lists_in_use': list(node.leases.voting.revisions),
        'shards_held': sorted(live_shards(node, now)),
        'customers': {
            name: _describe_customer(node, name, now)
            for name in node.snapshot.customers
        },
    }


def _describe_customer(
    node: Node, customer: str, now: Instant
) -> dict[str, float]:
    bucket = node.shares.buckets.get(customer)
    demand = node.shares.demands.get(customer)
    return {
        'tokens': bucket.level(now) if bucket else 0,
        'rate': bucket.rate(now) if bucket else 0,
        'burst': bucket.burst(now) if bucket else 0,
        'demand': demand.rate if demand else 0,
        'loans_given': len(live_loans(node, customer, now)),
    }
