"""Commands that update the replica of the store and relay its items."""

from collections.abc import Iterable
from typing import Final, TypeAlias, final

from chervilstep.exceptions import ItemError, PeerError
from chervilstep.fields import require_range, require_type
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
#: Counted from the last request that failed, before which the store cannot have
#: been back. An upstream that has left must be out of use 3 s after that; the
#: rest is for the period of ``apply_postponed`` and requests on their way.
MAX_POSTPONE_SECONDS: Final = 2.7
#: Entries of the store do not expire during outages shorter than this.
MIN_OUTAGE_SECONDS: Final = 1.0
#: How often an instance queries a peer while the store is unavailable.
QUERY_PERIOD_SECONDS: Final = 0.25
#: The limits of the items and the bytes of values in one message, which stays
#: well below the largest frame. The next query returns the rest.
MAX_MESSAGE_ITEMS: Final = 200
MAX_MESSAGE_BYTES: Final = 512 * 1024
#: Another process may write an invalid value many times a second. One line for
#: each key in this time is logged, and one for outdated items; the counters have
#: them all.
REFUSAL_LOG_SECONDS: Final = 10.0
#: The greatest revision of the store, a signed integer of 64 bits.
MAX_REVISION: Final = 2**63 - 1

#: A key, its revision, and its value, or None for a deleted key.
ItemEntry: TypeAlias = tuple[str, int, bytes | None]


@MESSAGES.register('replica-ask')
@final
class ReplicaQuery(Message):
    """A query for the items of the store that the sender lacks."""

    __slots__ = ('_after', '_received_to')

    kind = 'replica-ask'
    fields = ('after', 'received_to')

    def __init__(self, after: int, received_to: int) -> None:
        """Creates a query; both arguments are revisions of the store."""
        self._after = _require_revision(after)
        self._received_to = _require_revision(received_to)

    @property
    def after(self) -> int:
        """The revision up to which the sender's replica is complete."""
        return self._after

    @property
    def received_to(self) -> int:
        """The revision up to which the sender has received items."""
        return self._received_to


@MESSAGES.register('replica-items')
@final
class ReplicaItems(Message):
    """Items of the store; the answer to a query.

    The answer lacks no change from ``complete_from`` to ``as_of``. A receiver
    whose replica is complete up to a revision in this range is complete up to
    ``as_of`` afterwards. Others only get newer items.
    """

    __slots__ = ('_as_of', '_complete_from', '_entries', '_received_to')

    kind = 'replica-items'
    fields = ('entries', 'complete_from', 'as_of', 'received_to')

    def __init__(
        self,
        entries: Iterable[ItemEntry],
        complete_from: int,
        as_of: int,
        received_to: int,
    ) -> None:
        """Creates an answer; the other arguments are revisions."""
        self._entries = tuple(entries)
        self._complete_from = _require_revision(complete_from)
        self._as_of = _require_revision(as_of)
        self._received_to = _require_revision(received_to)

    @property
    def entries(self) -> tuple[ItemEntry, ...]:
        """The items; see ``ItemEntry``."""
        return self._entries

    @property
    def complete_from(self) -> int:
        """The revision after which no change is missing."""
        return self._complete_from

    @property
    def as_of(self) -> int:
        """The revision up to which no change is missing."""
        return self._as_of

    @property
    def received_to(self) -> int:
        """The revision up to which the sender has sent its items."""
        return self._received_to


def apply_items(
    node: Node, items: Iterable[StoredItem], as_of: int, now: Instant
) -> None:
    """Applies the items that are newer than the known ones."""
    received = tuple(items)
    _record_outdated(node, received, now)
    changed = [item for item in received if queries.is_newer(node, item)]
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
    node.replica.record_listing(as_of)
    apply_items(node, (*listed, *deleted), as_of, now)


def record_store_failure(
    node: Node, reason: str, attempt_at: Instant, now: Instant
) -> None:
    """Records a failed request to the store that was sent at a time."""
    node.counters.add('store_failures')
    if node.replica.unavailable_since is None:
        node.events.add('store_lost', reason=reason, as_of=node.replica.as_of)
    node.replica.record_outage(attempt_at, now)


def record_store_answer(node: Node, now: Instant) -> None:
    """Records an answer of the store, which may end an outage."""
    node.replica.record_answer(now)
    unavailable_since = node.replica.unavailable_since
    attempt_at = node.replica.failed_attempt_at
    if unavailable_since is None or attempt_at is None:
        return
    seconds = now - unavailable_since
    node.events.add(
        'store_regained',
        away_seconds=round(seconds, 2),
        as_of=node.replica.as_of,
    )
    postponed_until = None
    if seconds >= MIN_OUTAGE_SECONDS:
        postponed_until = new_deadline(now, POSTPONE_SECONDS).earlier(
            new_deadline(attempt_at, MAX_POSTPONE_SECONDS)
        )
    node.replica.record_recovery(postponed_until)


@every(QUERY_PERIOD_SECONDS, 'replica-ask')
def query_peer(node: Node, now: Instant) -> None:
    """Queries a random peer while the store is unavailable."""
    peer = queries.peer_to_query(node)
    if peer is not None:
        replica = node.replica
        node.outbox.put(peer, ReplicaQuery(replica.as_of, replica.received_to))


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
    """Sends a peer the items that it may lack.

    The answer says from which revision on it is complete: this instance does
    not know what was deleted before its last listing, nor does it pass on
    deletions that it has postponed itself.
    """
    assert isinstance(message, ReplicaQuery)
    replica = node.replica
    missing = queries.items_for_peer(node, message.after, message.received_to)
    items = queries.first_items(missing[:MAX_MESSAGE_ITEMS], MAX_MESSAGE_BYTES)
    received_to = replica.received_to
    if len(items) < len(missing):
        received_to = items[-1].revision
    as_of = min(queries.complete_to(node), received_to)
    extends_peer = message.after < as_of and queries.knows_deletions_after(
        node, message.after
    )
    if not items and not extends_peer:
        return
    entries = [(item.key, item.revision, item.value) for item in items]
    node.outbox.put(
        peer, ReplicaItems(entries, replica.listed_at, as_of, received_to)
    )


@HANDLERS.register('replica-items')
def handle_replica_items(
    node: Node, peer: str, message: Message, now: Instant
) -> None:
    """Applies the items that a peer has sent."""
    assert isinstance(message, ReplicaItems)
    replica = node.replica
    if not replica.is_enabled:
        return
    items = [_decode_item(entry) for entry in message.entries]
    is_complete = message.complete_from <= replica.as_of
    if items:
        node.events.add(
            'store_relayed',
            peer=peer,
            as_of=message.as_of,
            complete_from=message.complete_from,
            is_complete=is_complete,
        )
    apply_items(
        node, items, message.as_of if is_complete else replica.as_of, now
    )
    replica.record_received(message.received_to)


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


def _record_outdated(
    node: Node, items: Iterable[StoredItem], now: Instant
) -> None:
    """Counts items whose revision is too low, and logs the first one."""
    outdated = [item for item in items if queries.is_outdated(node, item)]
    if not outdated:
        return
    node.counters.add('store_items_outdated', len(outdated))
    logged_until = node.replica.outdated_logged_until
    if logged_until is not None and not logged_until.has_passed(now):
        return
    first = outdated[0]
    node.replica.record_outdated(new_deadline(now, REFUSAL_LOG_SECONDS))
    node.events.add(
        'items_outdated',
        items=len(outdated),
        key=first.key,
        revision=first.revision,
        known_revision=node.replica.items[first.key].revision,
    )


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
    require_type(key, str)
    require_type(value, (bytes, type(None)))
    return StoredItem(key, _require_revision(revision), value)


def _require_revision(revision: int) -> int:
    return require_range(require_type(revision, int), MAX_REVISION)
