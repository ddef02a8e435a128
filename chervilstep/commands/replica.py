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
from chervilstep.queries.restores import Later, later_value
from chervilstep.replica import StoredItem
from chervilstep.revisions import (
    Revision,
    RevisionPair,
    require_revision_pair,
)
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
#: each key in this time is logged; the counters have them all.
REFUSAL_LOG_SECONDS: Final = 10.0
#: How long an item of a restored store waits that may be older than what is
#: known. By then, its writer has written it again, or the entry of an upstream
#: that is gone has expired, three heartbeats of 1.5 s after the restore.
UNCERTAIN_SECONDS: Final = 6.0

#: A key, its revision, and its value, or None for a deleted key.
ItemEntry: TypeAlias = tuple[str, RevisionPair, bytes | None]


@MESSAGES.register('replica-ask')
@final
class ReplicaQuery(Message):
    """A query for the items of the store that the sender lacks."""

    __slots__ = ('_after', '_received_to')

    kind = 'replica-ask'
    fields = ('after', 'received_to')

    def __init__(self, after: RevisionPair, received_to: RevisionPair) -> None:
        """Creates a query; both arguments are revisions of the store."""
        self._after = require_revision_pair(after)
        self._received_to = require_revision_pair(received_to)

    @property
    def after(self) -> RevisionPair:
        """The revision up to which the sender's replica is complete."""
        return self._after

    @property
    def received_to(self) -> RevisionPair:
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
        complete_from: RevisionPair,
        as_of: RevisionPair,
        received_to: RevisionPair,
    ) -> None:
        """Creates an answer; the other arguments are revisions."""
        self._entries = tuple(entries)
        self._complete_from = require_revision_pair(complete_from)
        self._as_of = require_revision_pair(as_of)
        self._received_to = require_revision_pair(received_to)

    @property
    def entries(self) -> tuple[ItemEntry, ...]:
        """The items; see ``ItemEntry``."""
        return self._entries

    @property
    def complete_from(self) -> RevisionPair:
        """The revision after which no change is missing."""
        return self._complete_from

    @property
    def as_of(self) -> RevisionPair:
        """The revision up to which no change is missing."""
        return self._as_of

    @property
    def received_to(self) -> RevisionPair:
        """The revision up to which the sender has sent its items."""
        return self._received_to


def apply_items(
    node: Node, items: Iterable[StoredItem], as_of: Revision, now: Instant
) -> None:
    """Applies the items that are newer than the known ones."""
    received = tuple(items)
    _record_outdated(node, received, now)
    changed = [item for item in received if queries.is_newer(node, item)]
    for item in changed:
        _admit_item(node, item, now)
    node.replica.advance(as_of)
    if changed:
        _publish(node, now)


def apply_listing(
    node: Node, items: Iterable[StoredItem], as_of: Revision, now: Instant
) -> None:
    """Applies a full listing of the store; missing keys were deleted."""
    listed = tuple(items)
    if queries.is_restored(node, as_of):
        _record_restore(node, as_of, now)
    listed_keys = frozenset(item.key for item in listed)
    deleted = [
        StoredItem(key, as_of, None)
        for key in queries.missing_keys(node, listed_keys, as_of)
    ]
    for key in queries.unlisted_values(node, listed_keys, as_of):
        node.replica.discard_postponed(key)
    node.replica.record_listing(as_of)
    apply_items(node, (*listed, *deleted), as_of, now)


def record_store_failure(
    node: Node, reason: str, attempt_at: Instant, now: Instant
) -> None:
    """Records a failed request to the store that was sent at a time."""
    node.counters.add('store_failures')
    if node.replica.unavailable_since is None:
        as_of = node.replica.as_of
        node.events.add(
            'store_lost',
            reason=reason,
            as_of=as_of.number,
            store_epoch=as_of.epoch,
        )
    node.replica.record_outage(attempt_at, now)


def record_store_answer(node: Node, now: Instant) -> None:
    """Records an answer of the store, which may end an outage."""
    node.replica.record_answer(now)
    unavailable_since = node.replica.unavailable_since
    if unavailable_since is None:
        return
    seconds = now - unavailable_since
    node.events.add(
        'store_regained',
        away_seconds=round(seconds, 2),
        as_of=node.replica.as_of.number,
        store_epoch=node.replica.as_of.epoch,
    )
    node.replica.record_recovery()
    if seconds >= MIN_OUTAGE_SECONDS:
        _postpone_deletions(node, now)


@every(QUERY_PERIOD_SECONDS, 'replica-ask')
def query_peer(node: Node, now: Instant) -> None:
    """Queries a random peer while the store is unavailable."""
    peer = queries.peer_to_query(node)
    if peer is not None:
        replica = node.replica
        query = ReplicaQuery(replica.as_of.pair, replica.received_to.pair)
        node.outbox.put(peer, query)


@every(QUERY_PERIOD_SECONDS, 'replica-postponed')
def apply_postponed(node: Node, now: Instant) -> None:
    """Applies the postponed items whose wait is over."""
    due = queries.due_items(node, now)
    for item in due:
        _apply_item(node, item, now)
    if due:
        _publish(node, now)


@HANDLERS.register('replica-ask')
def handle_replica_query(
    node: Node, peer: str, message: Message, now: Instant
) -> None:
    """Sends a peer the items that it may lack.

    The answer says from which revision on it is complete: this instance does
    not know what was deleted before its last listing, nor does it pass on
    changes that it has postponed itself.
    """
    assert isinstance(message, ReplicaQuery)
    replica = node.replica
    after = Revision(*message.after)
    missing = queries.items_for_peer(
        node, after, Revision(*message.received_to)
    )
    items = queries.first_items(missing[:MAX_MESSAGE_ITEMS], MAX_MESSAGE_BYTES)
    received_to = replica.received_to
    if len(items) < len(missing):
        received_to = items[-1].revision
    as_of = min(queries.complete_to(node), received_to)
    extends_peer = after < as_of and queries.knows_deletions_after(node, after)
    if not items and not extends_peer:
        return
    entries = [(item.key, item.revision.pair, item.value) for item in items]
    node.outbox.put(
        peer,
        ReplicaItems(
            entries, replica.listed_at.pair, as_of.pair, received_to.pair
        ),
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
    as_of = Revision(*message.as_of)
    is_complete = Revision(*message.complete_from) <= replica.as_of
    if items:
        node.events.add(
            'store_relayed',
            peer=peer,
            as_of=as_of.number,
            store_epoch=as_of.epoch,
            complete_from=message.complete_from[0],
            is_complete=is_complete,
        )
    apply_items(node, items, as_of if is_complete else replica.as_of, now)
    replica.record_received(Revision(*message.received_to))


def _publish(node: Node, now: Instant) -> None:
    for publish in PUBLISHERS:
        publish(node, now)


def _record_restore(node: Node, as_of: Revision, now: Instant) -> None:
    previous = node.replica.as_of
    node.counters.add('store_restores')
    node.events.add(
        'store_restored',
        as_of=as_of.number,
        store_epoch=as_of.epoch,
        previous_as_of=previous.number,
        previous_epoch=previous.epoch,
    )
    # Upstreams that registered after the copy register again.
    _postpone_deletions(node, now)


def _postpone_deletions(node: Node, now: Instant) -> None:
    """Lets deletions wait until living upstreams have registered again."""
    postponed_until = new_deadline(now, POSTPONE_SECONDS)
    attempt_at = node.replica.failed_attempt_at
    if attempt_at is not None:
        postponed_until = postponed_until.earlier(
            new_deadline(attempt_at, MAX_POSTPONE_SECONDS)
        )
    node.replica.postpone_deletions(postponed_until)


def _admit_item(node: Node, item: StoredItem, now: Instant) -> None:
    """Applies a new item, or postpones it, or keeps a later known value."""
    later = later_value(node, item)
    if later is Later.KNOWN:
        _keep_known(node, item)
    elif later is Later.UNCERTAIN:
        node.replica.postpone(item, new_deadline(now, UNCERTAIN_SECONDS))
    else:
        _apply_or_postpone(node, item, now)


def _apply_or_postpone(node: Node, item: StoredItem, now: Instant) -> None:
    postponed_until = queries.deletions_postponed_until(node, now)
    if item.value is not None or postponed_until is None:
        _apply_item(node, item, now)
    else:
        node.replica.postpone(item, postponed_until)


def _keep_known(node: Node, item: StoredItem) -> None:
    known = node.replica.items.get(item.key)
    if known is not None and known.value != item.value:
        node.counters.add('store_items_kept')
    node.replica.keep(item.key, item.revision)


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
    first = outdated[0]
    known = node.replica.items[first.key]
    if _may_log(node, first.key, now):
        node.events.add(
            'items_outdated',
            items=len(outdated),
            key=first.key,
            revision=first.revision.number,
            store_epoch=first.revision.epoch,
            known_revision=known.revision.number,
            known_epoch=known.revision.epoch,
        )


def _record_refusal(
    node: Node, item: StoredItem, fault: str, now: Instant
) -> None:
    node.counters.add('store_items_refused')
    if _may_log(node, item.key, now):
        node.events.add(
            'item_refused',
            key=item.key,
            revision=item.revision.number,
            fault=fault,
        )


def _may_log(node: Node, key: str, now: Instant) -> bool:
    """Whether to log an item of a key now, which is recorded."""
    logged_until = node.replica.refusals_logged.get(key)
    if logged_until is not None and not logged_until.has_passed(now):
        return False
    node.replica.record_refusal(key, new_deadline(now, REFUSAL_LOG_SECONDS))
    return True


def _decode_item(entry: ItemEntry) -> StoredItem:
    try:
        key, revision, value = entry
    except (TypeError, ValueError) as fault:
        raise PeerError(f'malformed item of the store: {fault}') from fault
    require_type(key, str)
    require_type(value, (bytes, type(None)))
    return StoredItem(key, Revision(*require_revision_pair(revision)), value)
