"""Commands that track the requests that crash upstreams."""

from typing import cast, final

from chervilstep.calls import Attempt, Ending, Outcome
from chervilstep.commands.poison_updates import DIGEST_BYTES, MAX_NAME_LENGTH
from chervilstep.fields import require_type
from chervilstep.hooks import ATTEMPT_END_HOOKS, HANDLERS, MESSAGES, every
from chervilstep.messages import EVERY_PEER, Message
from chervilstep.node import Node
from chervilstep.queries import poison
from chervilstep.types import Instant, new_deadline


@MESSAGES.register('crash')
@final
class Crash(Message):
    """The loss of an upstream while it ran a request."""

    __slots__ = ('_customer', '_digest', '_upstream')

    kind = 'crash'
    fields = ('customer', 'digest', 'upstream')

    def __init__(self, customer: str, digest: bytes, upstream: str) -> None:
        """Creates the report of a loss; ``digest`` is the fingerprint."""
        self._customer = require_type(customer, str)
        self._digest = require_type(digest, bytes)
        self._upstream = require_type(upstream, str)

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
def update_suspects(node: Node, attempt: Attempt, outcome: Outcome) -> None:
    """Records the loss of an upstream; an answer clears the suspicion."""
    customer = attempt.ticket.customer_name
    if outcome.ending is Ending.LOST:
        fingerprint = poison.fingerprint(node, attempt.ticket)
        crash = Crash(customer, fingerprint, attempt.upstream.name)
        _record_loss(node, crash, outcome.ended_at)
        node.outbox.put(EVERY_PEER, crash)
    elif outcome.ending is Ending.ANSWERED:
        if customer in node.quarantine.by_customer:
            fingerprint = poison.fingerprint(node, attempt.ticket)
            node.quarantine.discard(customer, fingerprint)


@HANDLERS.register('crash')
def handle_crash(node: Node, peer: str, message: Message, now: Instant) -> None:
    """Records a loss that a peer reports, unless its values are invalid."""
    crash = cast(Crash, message)
    is_known = not crash.customer or crash.customer in node.snapshot.customers
    if not is_known or len(crash.digest) != DIGEST_BYTES:
        return
    if len(crash.upstream) <= MAX_NAME_LENGTH:
        _record_loss(node, crash, now)


@every(period_seconds=5, name='expire-suspects')
def expire_suspects(node: Node, now: Instant) -> None:
    """Removes the suspects that have expired."""
    node.quarantine.discard_expired(now)


def _record_loss(node: Node, crash: Crash, now: Instant) -> None:
    expiry = new_deadline(now, poison.SUSPECT_TTL_SECONDS)
    suspect = node.quarantine.get_or_create(
        crash.customer, crash.digest, expiry
    )
    suspect.record_loss(crash.upstream, expiry)
    if poison.may_quarantine(node, crash.customer, suspect, now):
        seconds = poison.quarantine_seconds(suspect)
        suspect.quarantine(
            new_deadline(now, seconds),
            new_deadline(now, seconds + poison.SUSPECT_TTL_SECONDS),
        )
        node.counters.add('quarantine.entered', customer=crash.customer)
