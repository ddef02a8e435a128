"""Decides between known items and those of a store restored from a copy.

Until its writers have written everything again, a restored store shows values
from before the copy: they are under later revisions, but were written earlier
than what an instance knows.
"""

import enum
from typing import final

from chervilstep.hooks import ITEM_ORDERS
from chervilstep.node import Node
from chervilstep.replica import StoredItem


@final
class Later(enum.Enum):
    """Which of two values of a key was written later."""

    KNOWN = 'known'
    RECEIVED = 'received'
    UNCERTAIN = 'uncertain'


def later_value(node: Node, item: StoredItem) -> Later:
    """Returns which is later: what is known of a key or the received item.

    The revisions decide within an epoch, and after the first listing of one.
    """
    known = _known_item(node, item.key)
    if _is_later_by_revision(node, known, item):
        return Later.RECEIVED
    if item.value == known.value:
        return Later.KNOWN
    if _is_from_before_deletion(node, item):
        return Later.UNCERTAIN
    is_later = _compare_contents(known, item)
    if is_later is None:
        return _later_by_number(known, item)
    return Later.RECEIVED if is_later else Later.KNOWN


def _known_item(node: Node, key: str) -> StoredItem:
    """Returns the known item of a key, or its absence as a deletion."""
    known = node.replica.items.get(key)
    return known or StoredItem(key, node.replica.as_of, None)


def _is_later_by_revision(
    node: Node, known: StoredItem, item: StoredItem
) -> bool:
    listed_at = node.replica.listed_at
    is_written_since = (
        item.revision.epoch == listed_at.epoch and item.revision > listed_at
    )
    return is_written_since or known.revision.epoch >= item.revision.epoch


def _later_by_number(known: StoredItem, item: StoredItem) -> Later:
    """Compares the numbers of an item and of a known one of an older epoch.

    If the known revision was lost, the copy ends before it, so that an item with
    a higher number was written after the return. The absence of a key has no
    number of its own.
    """
    is_beyond_copy = item.revision.number >= known.revision.number
    if item.value is not None and is_beyond_copy:
        return Later.RECEIVED
    return Later.UNCERTAIN


def _is_from_before_deletion(node: Node, item: StoredItem) -> bool:
    """Whether the item is the one that was deleted last under its key."""
    last = node.replica.last_values.get(item.key)
    return (
        last is not None
        and last.value == item.value
        and last.revision.number == item.revision.number
    )


def _compare_contents(known: StoredItem, item: StoredItem) -> bool | None:
    """Whether the received value is the later one by its content, if known."""
    kind = item.key.partition('/')[0]
    if kind not in ITEM_ORDERS:
        return None
    return ITEM_ORDERS.find(kind)(known, item)
