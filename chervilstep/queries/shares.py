"""Checks a call against the tokens that this instance holds."""

from typing import Final

from chervilstep.calls import Call, Ticket
from chervilstep.hooks import CHECKS
from chervilstep.node import Node
from chervilstep.queries.borrowing import is_pull_pending
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


def may_wait(node: Node, call: Call, refusal: Refusal, now: Instant) -> bool:
    """Whether a refused call should be tried again in a few milliseconds.

    It should while a request for the token that it lacks is on its way.
    """
    if refusal is not RATE_EXCEEDED or call.key_digest is None:
        return False
    customer = node.snapshot.customer_by_digest(call.key_digest)
    return customer is not None and is_pull_pending(node, customer.name, now)
