"""Checks a call against the tokens that this instance holds."""

from typing import Final

from chervilstep.calls import Ticket
from chervilstep.hooks import CHECKS
from chervilstep.node import Node
from chervilstep.refusals import RATE_EXCEEDED, Refusal
from chervilstep.types import Instant

#: After the checks of the key and the route, which cost the caller nothing.
RATE_RANK: Final = 80


@CHECKS.register(RATE_RANK)
def check_rate(node: Node, ticket: Ticket, now: Instant) -> Refusal | None:
    """Refuses a call whose customer has no token left here."""
    if ticket.customer is None:
        return None
    bucket = node.shares.buckets.get(ticket.customer.name)
    if bucket is None or bucket.level(now) < 1:
        return RATE_EXCEEDED
    return None
