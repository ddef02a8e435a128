"""The inputs that decided a refusal, for the log."""

from collections.abc import Mapping

from chervilstep.calls import Call
from chervilstep.node import Node
from chervilstep.queries.fleet import known_size
from chervilstep.queries.rates import level, part, part_rate, silent_size
from chervilstep.refusals import RATE_EXCEEDED, Refusal
from chervilstep.types import Instant


def grounds_of(
    node: Node, call: Call, refusal: Refusal, now: Instant
) -> Mapping[str, object]:
    """The numbers behind a refusal; empty where its reason says it all."""
    customer = node.snapshot.customer_by_digest(call.key_digest or '')
    if refusal is not RATE_EXCEEDED or customer is None:
        return {}
    account = node.rates.accounts.get(customer.name)
    if account is None:
        return {'customer': customer.name}
    return {
        'customer': customer.name,
        'rate': customer.rate,
        'burst': customer.burst,
        'tokens': round(level(node, customer, account, now), 1),
        'part': round(part(node, customer, account, now), 2),
        'part_rate': round(part_rate(node, customer, account, now), 2),
        'demand': round(account.demand, 1),
        'silent': silent_size(node, account, now),
        'known': known_size(node),
    }
