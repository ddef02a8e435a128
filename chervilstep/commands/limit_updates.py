"""Commands that exchange the stated limits of upstreams with peers."""

from collections.abc import Iterable
from typing import Final, TypeAlias, final

from chervilstep.commands.throttling import record_evidence
from chervilstep.exceptions import PeerError
from chervilstep.fields import (
    MAX_FIELD_ITEMS,
    require_range,
    require_table,
    require_type,
)
from chervilstep.hooks import HANDLERS, MESSAGES, PEER_CONNECT_HOOKS, every
from chervilstep.messages import EVERY_PEER, Message
from chervilstep.node import Node
from chervilstep.queries.throttling import known_limit
from chervilstep.throttles import LimitEvidence
from chervilstep.types import MS_PER_SECOND, Instant

CONNECT_RANK: Final = 20
#: The delay within which changes of several limits share a message.
UPDATE_PERIOD_SECONDS: Final = 0.05
#: Greater ages are sent as this one, which is about eleven days.
MAX_AGE_MS: Final = 10**9
#: The greatest limit, in requests per second, that a peer may report.
MAX_LIMIT: Final = 10**9
_ENTRY_FIELDS: Final = 3
#: Requests per second, or None without a limit, and how many milliseconds ago
#: the request was sent and its answer arrived.
LimitEntry: TypeAlias = tuple[float | None, int, int]


@MESSAGES.register('limits')
@final
class LimitUpdate(Message):
    """A peer message with statements of upstreams on their limits."""

    __slots__ = ('_limits',)

    kind = 'limits'
    fields = ('limits',)

    def __init__(self, limits: dict[str, LimitEntry]) -> None:
        """Creates a message of statements by the upstream's name."""
        self._limits = require_table(limits)

    @property
    def limits(self) -> dict[str, LimitEntry]:
        """The statements by the upstream's name."""
        return self._limits


@every(UPDATE_PERIOD_SECONDS, 'limits')
def send_limit_update(node: Node, now: Instant) -> None:
    """Sends all peers the limits that have changed here."""
    changed = node.throttles.changed_upstreams
    if changed:
        node.throttles.clear_changed()
        node.outbox.put(EVERY_PEER, _new_update(node, changed, now))


@PEER_CONNECT_HOOKS.register(CONNECT_RANK)
def send_known_limits(node: Node, peer: str, now: Instant) -> None:
    """Sends a newly connected peer all limits and those that have ended."""
    throttles = node.throttles.by_upstream
    # Limits in force come first, in case not all fit in the message.
    known = sorted(
        throttles, key=lambda each: throttles[each].calls_per_second is None
    )
    if known:
        node.outbox.put(peer, _new_update(node, known[:MAX_FIELD_ITEMS], now))


@HANDLERS.register('limits')
def handle_limit_update(
    node: Node, peer: str, message: Message, now: Instant
) -> None:
    """Records the limits that a peer reports.

    The peer gets those for which this instance knows of a later or, among
    overlapping answers, a lower statement.
    """
    assert isinstance(message, LimitUpdate)
    received = {
        upstream: _decode_evidence(entry, peer, now)
        for upstream, entry in message.limits.items()
    }
    for upstream, evidence in received.items():
        record_evidence(node, upstream, evidence, now)
    outdated = [
        name
        for name in received
        if known_limit(node, name) != received[name].calls_per_second
    ]
    if outdated:
        node.outbox.put(peer, _new_update(node, outdated, now))


def _new_update(
    node: Node, upstreams: Iterable[str], now: Instant
) -> LimitUpdate:
    throttles = node.throttles.by_upstream
    return LimitUpdate(
        {
            upstream: _encode_evidence(throttles[upstream].evidence, now)
            for upstream in upstreams
        }
    )


def _encode_evidence(evidence: LimitEvidence, now: Instant) -> LimitEntry:
    return (
        evidence.calls_per_second,
        _age_ms(evidence.requested_at, now),
        _age_ms(evidence.received_at, now),
    )


def _age_ms(instant: Instant, now: Instant) -> int:
    return min(MAX_AGE_MS, int(max(0, now - instant) * MS_PER_SECOND))


def _decode_evidence(
    entry: LimitEntry, peer: str, now: Instant
) -> LimitEvidence:
    if not isinstance(entry, (list, tuple)) or len(entry) != _ENTRY_FIELDS:
        raise PeerError('limit is not a list of three fields')
    limit = None if entry[0] is None else require_range(entry[0], MAX_LIMIT)
    requested_at = _instant(entry[1], now)
    received_at = _instant(entry[2], now)
    return LimitEvidence(
        limit, min(requested_at, received_at), received_at, peer
    )


def _instant(age_ms: int, now: Instant) -> Instant:
    require_range(require_type(age_ms, int), MAX_AGE_MS)
    return now - age_ms / MS_PER_SECOND
