"""Commands that tell newly connected peers of requests that crash upstreams."""

from collections.abc import Iterable
from typing import Final, TypeAlias, final

from chervilstep.exceptions import PeerError
from chervilstep.fields import (
    MAX_FIELD_ITEMS,
    require_length,
    require_range,
    require_type,
)
from chervilstep.hooks import HANDLERS, MESSAGES, PEER_CONNECT_HOOKS
from chervilstep.messages import Message
from chervilstep.node import Node
from chervilstep.quarantine import MAX_LOST_UPSTREAMS, SuspectRequest
from chervilstep.queries import poison
from chervilstep.types import Deadline, Instant, new_deadline

CONNECT_RANK: Final = 30
#: The length of a fingerprint, a 128-bit digest.
DIGEST_BYTES: Final = 16
#: The longest name of an upstream that is accepted in a message.
MAX_NAME_LENGTH: Final = 255
#: The longest time until a suspect expires, which is after its quarantine.
MAX_SUSPECT_SECONDS: Final = poison.SUSPECT_TTL_SECONDS + (
    poison.BASE_QUARANTINE_SECONDS << poison.MAX_DOUBLINGS
)
_ENTRY_FIELDS: Final = 5
#: Customer, fingerprint, lost upstreams, and the seconds until the suspect
#: expires and its quarantine ends.
SuspectEntry: TypeAlias = tuple[str, bytes, tuple[str, ...], float, float]


@MESSAGES.register('suspects')
@final
class SuspectUpdate(Message):
    """A peer message with all requests that are suspected of crashes."""

    __slots__ = ('_suspects',)

    kind = 'suspects'
    fields = ('suspects',)

    def __init__(self, suspects: Iterable[SuspectEntry]) -> None:
        """Creates a message of suspects."""
        entries = tuple(require_type(suspects, (list, tuple)))
        self._suspects = tuple(require_length(entries))

    @property
    def suspects(self) -> tuple[SuspectEntry, ...]:
        """The suspects; see ``SuspectEntry``."""
        return self._suspects


@PEER_CONNECT_HOOKS.register(CONNECT_RANK)
def send_known_suspects(node: Node, peer: str, now: Instant) -> None:
    """Sends a newly connected peer, which may have restarted, all suspects."""
    entries = [
        _encode_suspect(customer, digest, suspect, now)
        for customer, suspects in node.quarantine.by_customer.items()
        for digest, suspect in suspects.items()
    ]
    if entries:
        node.outbox.put(peer, SuspectUpdate(entries[:MAX_FIELD_ITEMS]))


@HANDLERS.register('suspects')
def handle_suspect_update(
    node: Node, peer: str, message: Message, now: Instant
) -> None:
    """Records the losses that this instance does not know of."""
    assert isinstance(message, SuspectUpdate)
    entries = tuple(map(_require_entry, message.suspects))
    for entry in entries:
        customer = entry[0]
        if not customer or customer in node.snapshot.customers:
            _record_suspect(node, entry, now)


def _record_suspect(node: Node, entry: SuspectEntry, now: Instant) -> None:
    customer, digest, upstreams, *remaining = entry
    seconds, quarantine_seconds = remaining
    expiry = new_deadline(now, seconds)
    suspect = node.quarantine.get_or_create(customer, digest, expiry)
    expiry = expiry.later(suspect.expiry)
    for upstream in upstreams:
        # Each peer reports the same losses.
        if upstream not in suspect.lost_upstreams:
            suspect.record_loss(upstream, expiry)
    if quarantine_seconds and not suspect.is_quarantined(now):
        suspect.quarantine(new_deadline(now, quarantine_seconds), expiry)


def _encode_suspect(
    customer: str, digest: bytes, suspect: SuspectRequest, now: Instant
) -> SuspectEntry:
    quarantined_until = suspect.quarantined_until or Deadline(now)
    return (
        customer,
        digest,
        tuple(sorted(suspect.lost_upstreams)),
        suspect.expiry.remaining(now),
        quarantined_until.remaining(now),
    )


def _require_entry(entry: SuspectEntry) -> SuspectEntry:
    if not isinstance(entry, (list, tuple)) or len(entry) != _ENTRY_FIELDS:
        raise PeerError('suspect is not a list of five fields')
    customer, digest, upstreams, *seconds = entry
    require_type(customer, str)
    if len(require_type(digest, bytes)) != DIGEST_BYTES:
        raise PeerError('fingerprint has the wrong length')
    if len(require_type(upstreams, (list, tuple))) > MAX_LOST_UPSTREAMS:
        raise PeerError('suspect has too many lost upstreams')
    if any(
        len(require_type(each, str)) > MAX_NAME_LENGTH for each in upstreams
    ):
        raise PeerError('name of an upstream is too long')
    for each_seconds in seconds:
        require_range(each_seconds, MAX_SUSPECT_SECONDS)
    return entry
