"""Commands that update the replica of the store and relay its items."""

from collections.abc import Iterable
from typing import Final, TypeAlias, final

from chervilstep.exceptions import ItemError, PeerError
from chervilstep.fields import require_type
from chervilstep.hooks import (
    HANDLERS,
    ITEM_READERS,
    MESSAGES,
    PUBLISHERS,
    every,
)
from chervilstep.messages import Message
from chervilstep.node import Node
from chervilstep.queries import replica as queries
from chervilstep.replica import StoredItem
from chervilstep.types import Instant, new_deadline

#: How long deletions wait after an outage of the store. By then, upstreams
#: whose entries expired during the outage have registered again.
POSTPONE_SECONDS: Final = 2.2
#: Entries of the store do not expire during outages shorter than this.
MIN_OUTAGE_SECONDS: Final = 1.0
#: How often an instance queries a peer while the store is unavailable.
QUERY_PERIOD_SECONDS: Final = 0.25
#: The limits of the items and the bytes of values in one message, which stays
#: well below the largest frame. The next query returns the rest.
MAX_MESSAGE_ITEMS: Final = 200
MAX_MESSAGE_BYTES: Final = 512 * 1024
#: Another process may write an invalid value many times a second. One line for
#: each key in this time is logged; the counter has them all.
REFUSAL_LOG_SECONDS: Final = 10.0

#: A key, its revision, and its value, or None for a deleted key.
ItemEntry: TypeAlias = tuple[str, int, bytes | None]


@MESSAGES.register('replica-ask')
@final
class ReplicaQuery(Message):
    """A query for the items of the store that changed after a revision."""

    __slots__ = ('_after',)

    kind = 'replica-ask'
    fields = ('after',)

    def __init__(self, after: int) -> None:
        """Creates a query; ``after`` is a revision of the store."""
        self._after = require_type(after, int)

    @property
    def after(self) -> int:
        """The revision up to which the sender's replica is complete."""
        return self._after


@MESSAGES.register('replica-items')
@final
class ReplicaItems(Message):
    """Changed items of the store; the answer to a query."""

    __slots__ = ('_as_of', '_entries')

    kind = 'replica-items'
    fields = ('entries', 'as_of')

    def __init__(self, entries: Iterable[ItemEntry], as_of: int) -> None:
        """Creates an answer that is complete up to ``as_of``."""
        self._entries = tuple(entries)
        self._as_of = require_type(as_of, int)

    @property
    def entries(self) -> tuple[ItemEntry, ...]:
        """The changed items; see ``ItemEntry``."""
        return self._entries

    @property
    def as_of(self) -> int:
        """The store's revision up to which no change is missing."""
        return self._as_of


def apply_items(
    node: Node, items: Iterable[StoredItem], as_of: int, now: Instant
) -> None:
    """Applies the items that are newer than the known ones."""
    changed = [item for item in items if queries.is_newer(node, item)]
    for item in changed:
        if queries.must_postpone(node, item, now):
            node.replica.postpone(item)
        else:
            _apply_item(node, item, now)
    node.replica.advance(as_of)
    if changed:
        _publish(node, now)


def apply_listing(
    node: Node, items: Iterable[StoredItem], as_of: int, now: Instant
) -> None:
    """Applies a full listing of the store; missing keys were deleted."""
    listed = tuple(items)
    listed_keys = frozenset(item.key for item in listed)
    deleted = [
        StoredItem(key, as_of, None)
        for key in queries.missing_keys(node, listed_keys, as_of)
    ]
    apply_items(node, (*listed, *deleted), as_of, now)


def record_store_failure(node: Node, reason: str, now: Instant) -> None:
    """Records a failed request to the store."""
    node.counters.add('store_failures')
    if node.replica.unavailable_since is None:
        node.events.add('store_lost', reason=reason, as_of=node.replica.as_of)
    node.replica.record_outage(now)


def record_store_answer(node: Node, now: Instant) -> None:
    """Records an answer of the store, which may end an outage."""
    unavailable_since = node.replica.unavailable_since
    if unavailable_since is None:
        return
    seconds = now - unavailable_since
    node.events.add('store_regained', away_seconds=round(seconds, 2))
    postponed_until = None
    if seconds >= MIN_OUTAGE_SECONDS:
        postponed_until = new_deadline(now, POSTPONE_SECONDS)
    node.replica.record_recovery(postponed_until)


@every(QUERY_PERIOD_SECONDS, 'replica-ask')
def query_peer(node: Node, now: Instant) -> None:
    """Queries a random peer while the store is unavailable."""
    peer = queries.peer_to_query(node)
    if peer is not None:
        node.outbox.put(peer, ReplicaQuery(node.replica.as_of))


@every(QUERY_PERIOD_SECONDS, 'replica-postponed')
def apply_postponed(node: Node, now: Instant) -> None:
    """Applies the postponed deletions once their wait is over."""
    postponed_until = node.replica.postponed_until
    postponed = tuple(node.replica.postponed.values())
    if not postponed or (
        postponed_until and not postponed_until.has_passed(now)
    ):
        return
    for item in postponed:
        _apply_item(node, item, now)
    _publish(node, now)


@HANDLERS.register('replica-ask')
def handle_replica_query(
    node: Node, peer: str, message: Message, now: Instant
) -> None:
    """Sends a peer the items that changed after its revision."""
    assert isinstance(message, ReplicaQuery)
    if node.replica.as_of <= message.after:
        return
    changed = queries.items_changed_after(node, message.after)
    items = queries.first_items(changed[:MAX_MESSAGE_ITEMS], MAX_MESSAGE_BYTES)
    as_of = node.replica.as_of
    if len(items) < len(changed):
        as_of = items[-1].revision
    entries = [(item.key, item.revision, item.value) for item in items]
    node.outbox.put(peer, ReplicaItems(entries, as_of))


@HANDLERS.register('replica-items')
def handle_replica_items(
    node: Node, peer: str, message: Message, now: Instant
) -> None:
    """Applies the items that a peer has sent."""
    assert isinstance(message, ReplicaItems)
    if not node.replica.is_enabled:
        return
    items = [_decode_item(entry) for entry in message.entries]
    if items:
        node.events.add('store_relayed', peer=peer, as_of=message.as_of)
    apply_items(node, items, message.as_of, now)


def _publish(node: Node, now: Instant) -> None:
    for publish in PUBLISHERS:
        publish(node, now)


def _apply_item(node: Node, item: StoredItem, now: Instant) -> None:
    node.replica.put(item)
    kind = item.key.partition('/')[0]
    if kind not in ITEM_READERS:
        node.counters.add('store_items_ignored')
        return
    try:
        ITEM_READERS.find(kind)(node, item, now)
    except ItemError as fault:
        _record_refusal(node, item, str(fault), now)


def _record_refusal(
    node: Node, item: StoredItem, fault: str, now: Instant
) -> None:
    node.counters.add('store_items_refused')
    logged_until = node.replica.refusals_logged.get(item.key)
    if logged_until is not None and not logged_until.has_passed(now):
        return
    node.replica.record_refusal(
        item.key, new_deadline(now, REFUSAL_LOG_SECONDS)
    )
    node.events.add(
        'item_refused', key=item.key, revision=item.revision, fault=fault
    )


def _decode_item(entry: ItemEntry) -> StoredItem:
    try:
        key, revision, value = entry
    except (TypeError, ValueError) as fault:
        raise PeerError(f'malformed item of the store: {fault}') from fault
    has_valid_types = isinstance(key, str) and isinstance(revision, int)
    if not has_valid_types or not isinstance(value, (bytes, type(None))):
        raise PeerError('item of the store has a field of the wrong type')
    return StoredItem(key, revision, value)
