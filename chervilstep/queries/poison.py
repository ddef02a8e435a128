"""Queries on requests that are refused because they crash upstreams."""

from typing import Final

import xxhash

from chervilstep.calls import Ticket
from chervilstep.hooks import CHECKS
from chervilstep.node import Node
from chervilstep.quarantine import SuspectRequest
from chervilstep.refusals import QUARANTINED, Refusal
from chervilstep.types import Instant

#: A request is refused after the loss of this many different upstreams.
MIN_LOST_UPSTREAMS: Final = 2
#: How long a suspect is kept after the last loss.
SUSPECT_TTL_SECONDS: Final = 120
#: The length of the first quarantine; each further loss doubles it.
BASE_QUARANTINE_SECONDS: Final = 30
MAX_DOUBLINGS: Final = 4
#: The most requests of one customer that are in quarantine at a time.
MAX_QUARANTINED: Final = 16


@CHECKS.register(rank=50)
def refuse_quarantined(
    node: Node, ticket: Ticket, now: Instant
) -> Refusal | None:
    """Refuses a request that has crashed several upstreams."""
    if is_quarantined(node, ticket, now):
        return QUARANTINED
    return None


def is_quarantined(node: Node, ticket: Ticket, now: Instant) -> bool:
    """Whether the request is in quarantine.

    The fingerprint is computed only when the customer has suspects.
    """
    suspects = node.quarantine.by_customer.get(ticket.customer_name)
    if suspects is None:
        return False
    suspect = suspects.get(fingerprint(node, ticket))
    return suspect is not None and suspect.is_quarantined(now)


def fingerprint(node: Node, ticket: Ticket) -> bytes:
    """Returns a digest that is the same for equal requests on all instances.

    It is seeded with the secret of the deployment, so that a caller cannot
    search for two requests with the same digest.
    """
    call = ticket.call
    seed = xxhash.xxh3_64_intdigest(node.settings.peer_secret.encode())
    digest = xxhash.xxh3_128(seed=seed)
    for part in (call.method.encode(), call.target.encode(), call.body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()


def quarantine_seconds(suspect: SuspectRequest) -> int:
    """Returns the length of the next quarantine after the losses so far."""
    doublings = min(MAX_DOUBLINGS, suspect.loss_count - MIN_LOST_UPSTREAMS)
    return BASE_QUARANTINE_SECONDS << doublings


def may_quarantine(
    node: Node, customer: str, suspect: SuspectRequest, now: Instant
) -> bool:
    """Whether enough upstreams were lost to put ``suspect`` in quarantine.

    A customer with ``MAX_QUARANTINED`` requests in quarantine gets no more.
    """
    if len(suspect.lost_upstreams) < MIN_LOST_UPSTREAMS:
        return False
    others = node.quarantine.by_customer.get(customer, {}).values()
    quarantined = sum(other.is_quarantined(now) for other in others)
    return suspect.is_quarantined(now) or quarantined < MAX_QUARANTINED
