"""Learns which requests crash upstreams, and tells the other instances."""

from typing import Final, cast, final

from chervilstep.calls import Attempt, Ending, Outcome
from chervilstep.fields import checked
from chervilstep.hooks import ATTEMPT_END_HOOKS, HANDLERS, MESSAGES, every
from chervilstep.messages import EVERY_PEER, Message
from chervilstep.node import Node
from chervilstep.queries import poison
from chervilstep.types import Instant, new_deadline

#: A fingerprint is a 128-bit digest.
DIGEST_BYTES: Final = 16
#: Longer names in a message are not those of an upstream.
MAX_NAME_LENGTH: Final = 255


@MESSAGES.register('crash')
@final
class Crash(Message):
    """An upstream was lost while it ran a request."""

    __slots__ = ('_customer', '_digest', '_upstream')

    kind = 'crash'
    fields = ('customer', 'digest', 'upstream')

    def __init__(self, customer: str, digest: bytes, upstream: str) -> None:
        """Names the request by customer and fingerprint."""
        self._customer = checked(customer, str)
        self._digest = checked(digest, bytes)
        self._upstream = checked(upstream, str)

    @property
    def customer(self) -> str:
        """The customer that sent the request; empty on open routes."""
        return self._customer

    @property
    def digest(self) -> bytes:
        """The fingerprint of the request."""
        return self._digest

    @property
    def upstream(self) -> str:
        """The name of the upstream that was lost."""
        return self._upstream


@ATTEMPT_END_HOOKS.register(rank=30)
def suspect_loss(node: Node, attempt: Attempt, outcome: Outcome) -> None:
    """Suspects a request whose upstream was lost; an answer clears it."""
    customer = attempt.ticket.customer_name
    if outcome.ending is Ending.LOST:
        digest = poison.fingerprint(node, attempt.ticket)
        crash = Crash(customer, digest, attempt.upstream.name)
        _strike(node, crash, outcome.ended_at)
        node.outbox.put(EVERY_PEER, crash)
    elif outcome.ending is Ending.ANSWERED:
        if customer in node.quarantine.customers:
            digest = poison.fingerprint(node, attempt.ticket)
            node.quarantine.clear(customer, digest)


@HANDLERS.register('crash')
def hear_crash(node: Node, peer: str, message: Message, now: Instant) -> None:
    """Takes in a loss that another instance has seen."""
    crash = cast(Crash, message)
    is_known = not crash.customer or crash.customer in node.snapshot.customers
    if not is_known or len(crash.digest) != DIGEST_BYTES:
        return
    if len(crash.upstream) <= MAX_NAME_LENGTH:
        _strike(node, crash, now)


@every(period_seconds=5, name='expire-suspects')
def expire_suspects(node: Node, now: Instant) -> None:
    """Forgets old suspicions."""
    node.quarantine.expire(now)


def _strike(node: Node, crash: Crash, now: Instant) -> None:
    forgotten = new_deadline(now, poison.SUSPICION_SECONDS)
    suspect = node.quarantine.suspect(crash.customer, crash.digest, forgotten)
    suspect.strike(crash.upstream, forgotten)
    if poison.may_quarantine(node, crash.customer, suspect, now):
        seconds = poison.quarantine_seconds(suspect)
        suspect.quarantine(
            new_deadline(now, seconds),
            new_deadline(now, seconds + poison.SUSPICION_SECONDS),
        )
        node.counters.add('quarantine.entered', customer=crash.customer)
