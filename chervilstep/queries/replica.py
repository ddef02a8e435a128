"""Queries of the replica of the platform's store."""

from chervilstep.node import Node
from chervilstep.queries.gossip import connected_peers
from chervilstep.replica import PostponedItem, StoredItem
from chervilstep.revisions import Revision
from chervilstep.types import Deadline, Instant


def is_newer(node: Node, item: StoredItem) -> bool:
    """Whether an item is newer than the known item of its key."""
    if item.revision.epoch < node.replica.as_of.epoch:
        return False
    known = node.replica.items.get(item.key)
    postponed = node.replica.postponed.get(item.key)
    if postponed is not None and postponed.item.revision >= item.revision:
        return False
    return known is None or item.revision > known.revision


def is_outdated(node: Node, item: StoredItem) -> bool:
    """Whether another value of the key is known under a higher revision."""
    known = node.replica.items.get(item.key)
    return (
        known is not None
        and item.revision < known.revision
        and item.value != known.value
    )


def due_items(node: Node, now: Instant) -> tuple[StoredItem, ...]:
    """Returns the postponed items whose deadline has passed."""
    postponed = node.replica.postponed.values()
    return tuple(
        each.item for each in postponed if not _must_wait(node, each, now)
    )


def is_restored(node: Node, as_of: Revision) -> bool:
    """Whether a store at ``as_of`` has returned from a copy since last read."""
    items = node.replica.items.values()
    return any(item.revision.epoch < as_of.epoch for item in items)


def store_age(node: Node, now: Instant) -> float | None:
    """Returns the seconds since the store's last answer, to 10 ms.

    Before the first answer, it is None.
    """
    answered_at = node.replica.answered_at
    return None if answered_at is None else round(now - answered_at, 2)


def deletions_postponed_until(node: Node, now: Instant) -> Deadline | None:
    """Returns until when deletions wait after an outage, or None."""
    postponed_until = node.replica.postponed_until
    if postponed_until is None or postponed_until.has_passed(now):
        return None
    return postponed_until


def missing_keys(
    node: Node, listed_keys: frozenset[str], as_of: Revision
) -> tuple[str, ...]:
    """Returns the known keys that a full listing at ``as_of`` lacks."""
    return tuple(
        key
        for key, item in node.replica.items.items()
        if key not in listed_keys
        and item.value is not None
        and item.revision <= as_of
    )


def unlisted_values(
    node: Node, listed_keys: frozenset[str], as_of: Revision
) -> tuple[str, ...]:
    """Returns the keys of postponed values that a full listing lacks."""
    return tuple(
        key
        for key, postponed in node.replica.postponed.items()
        if key not in listed_keys
        and postponed.item.value is not None
        and postponed.item.revision <= as_of
    )


def knows_deletions_after(node: Node, revision: Revision) -> bool:
    """Whether no deletion after a revision is missing from the items."""
    return node.replica.listed_at <= revision


def complete_to(node: Node) -> Revision:
    """Returns the revision up to which a peer can rely on the items.

    Postponed changes are not among the items that peers get.
    """
    postponed = node.replica.postponed.values()
    first = min(map(_postponed_revision, postponed), default=None)
    as_of = node.replica.as_of
    return as_of if first is None else min(as_of, first.previous)


def items_for_peer(
    node: Node, after: Revision, received_to: Revision
) -> tuple[StoredItem, ...]:
    """Returns the items that a peer may lack, by revision.

    The peer's replica is complete up to ``after``. It has received the items
    that some peer had up to ``received_to``, perhaps without deletions.
    """
    has_deletions = knows_deletions_after(node, after)
    missing = [
        item
        for item in node.replica.items.values()
        if item.revision > received_to
        or (has_deletions and item.value is None and item.revision > after)
    ]
    return tuple(sorted(missing, key=_revision_of))


def first_items(
    items: tuple[StoredItem, ...], max_bytes: int
) -> tuple[StoredItem, ...]:
    """Returns the first items up to a total size, but at least one."""
    total = 0
    for count, item in enumerate(items):
        total += len(item.value or b'')
        if count and total > max_bytes:
            return items[:count]
    return items


def peer_to_query(node: Node) -> str | None:
    """Returns a random connected peer, or None while the store answers."""
    replica = node.replica
    if not replica.is_enabled or replica.unavailable_since is None:
        return None
    peers = connected_peers(node)
    return node.rng.choice(peers) if peers else None


def _must_wait(node: Node, postponed: PostponedItem, now: Instant) -> bool:
    """Whether a postponed item must not be applied yet.

    A further outage of the store prolongs the wait of deletions.
    """
    is_deletion = postponed.item.value is None
    if is_deletion and deletions_postponed_until(node, now) is not None:
        return True
    return not postponed.postponed_until.has_passed(now)


def _revision_of(item: StoredItem) -> Revision:
    return item.revision


def _postponed_revision(postponed: PostponedItem) -> Revision:
    return postponed.item.revision
