"""Which requests are refused because they crash upstreams."""

from typing import Final

import xxhash

from chervilstep.calls import Ticket
from chervilstep.hooks import CHECKS
from chervilstep.node import Node
from chervilstep.quarantine import Suspect
from chervilstep.refusals import QUARANTINED, Refusal
from chervilstep.types import Instant

#: Different upstreams that must be lost before a request is refused.
STRIKES: Final = 2
#: How long a suspicion is kept after the last loss.
SUSPICION_SECONDS: Final = 120
#: How long a request is refused at first; each further loss doubles it.
QUARANTINE_SECONDS: Final = 30
MAX_DOUBLINGS: Final = 4
#: Requests of one customer that are refused at the same time.
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
    """Whether the request is refused; free while its customer has none."""
    suspects = node.quarantine.customers.get(ticket.customer_name)
    if suspects is None:
        return False
    suspect = suspects.get(fingerprint(node, ticket))
    return suspect is not None and suspect.is_quarantined(now)


def fingerprint(node: Node, ticket: Ticket) -> bytes:
    """A digest that equal requests of one customer share on every instance.

    The seed comes from the secret of the deployment, so that nobody outside
    can look for two requests with one digest.
    """
    call = ticket.call
    seed = xxhash.xxh3_64_intdigest(node.settings.peer_secret.encode())
    digest = xxhash.xxh3_128(seed=seed)
    for part in (call.method.encode(), call.target.encode(), call.body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()


def quarantine_seconds(suspect: Suspect) -> int:
    """How long a request is refused after its losses so far."""
    doublings = min(MAX_DOUBLINGS, suspect.losses - STRIKES)
    return QUARANTINE_SECONDS << doublings


def may_quarantine(
    node: Node, customer: str, suspect: Suspect, now: Instant
) -> bool:
    """Whether a suspect has enough losses, and its customer has room."""
    if len(suspect.upstreams) < STRIKES:
        return False
    others = node.quarantine.customers.get(customer, {}).values()
    refused = sum(other.is_quarantined(now) for other in others)
    return suspect.is_quarantined(now) or refused < MAX_QUARANTINED
