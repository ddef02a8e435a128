"""Reads the items of the platform's store into the catalog."""

from typing import Final

from chervilstep.commands.catalog import (
    apply_platform_config,
    apply_upstream_entry,
    remove_upstream_entry,
    restore_zone,
    withdraw_zone,
)
from chervilstep.exceptions import ItemError
from chervilstep.hooks import ITEM_READERS
from chervilstep.node import Node
from chervilstep.platform.decoding import decode_listing, decode_terms
from chervilstep.replica import StoredItem
from chervilstep.types import Instant

CONFIGURATION_KEY: Final = 'op/config'
#: The rest of such a key is a zone to which nothing is to be sent.
WITHDRAWAL_PREFIX: Final = 'op/evacuate/'
UPSTREAM_PREFIX: Final = 'servers/'


@ITEM_READERS.register('op')
def read_operators_item(node: Node, item: StoredItem, now: Instant) -> None:
    """Takes in the configuration, or the withdrawal of a zone."""
    if item.key == CONFIGURATION_KEY:
        if item.value is not None:
            apply_platform_config(node, decode_terms(item.value))
    elif item.key.startswith(WITHDRAWAL_PREFIX):
        zone = item.key.removeprefix(WITHDRAWAL_PREFIX)
        if item.value is None:
            restore_zone(node, zone, now)
        else:
            withdraw_zone(node, zone)


@ITEM_READERS.register('servers')
def read_upstream_item(node: Node, item: StoredItem, now: Instant) -> None:
    """Takes in the entry of a server; a bad one names no upstream.

    Raises:
        ItemError: The entry cannot be read.
    """
    if item.value is None:
        remove_upstream_entry(node, item.key)
        return
    identity = item.key.removeprefix(UPSTREAM_PREFIX)
    try:
        listing = decode_listing(identity, item.value)
    except ItemError:
        remove_upstream_entry(node, item.key)
        raise
    apply_upstream_entry(node, item.key, listing, now)
