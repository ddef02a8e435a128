"""Applies the items of the platform's store to the catalog."""

from typing import Final

from chervilstep.commands.catalog import (
    apply_platform_config,
    apply_upstream_entry,
    remove_upstream_entry,
    restore_zone,
    withdraw_zone,
)
from chervilstep.exceptions import ItemError
from chervilstep.hooks import ITEM_ORDERS, ITEM_READERS
from chervilstep.node import Node
from chervilstep.platform.decoding import (
    decode_config,
    decode_entry_order,
    decode_upstream_entry,
    decode_version,
)
from chervilstep.replica import StoredItem
from chervilstep.types import Instant

CONFIGURATION_KEY: Final = 'op/config'
#: The rest of such a key is a zone whose upstreams must get no requests.
WITHDRAWN_ZONE_PREFIX: Final = 'op/evacuate/'
SERVER_PREFIX: Final = 'servers/'


@ITEM_READERS.register('op')
def apply_operator_item(node: Node, item: StoredItem, now: Instant) -> None:
    """Applies the configuration, or the withdrawal of a zone.

    Raises:
        ItemError: The configuration cannot be decoded.
    """
    if item.key == CONFIGURATION_KEY:
        if item.value is not None:
            apply_platform_config(node, decode_config(item.value))
    elif item.key.startswith(WITHDRAWN_ZONE_PREFIX):
        zone = item.key.removeprefix(WITHDRAWN_ZONE_PREFIX)
        if item.value is None:
            restore_zone(node, zone, now)
        else:
            withdraw_zone(node, zone)


@ITEM_READERS.register('servers')
def apply_server_item(node: Node, item: StoredItem, now: Instant) -> None:
    """Applies the entry of a server; an invalid one removes the upstream.

    Raises:
        ItemError: The entry cannot be decoded.
    """
    if item.value is None:
        remove_upstream_entry(node, item.key)
        return
    identity = item.key.removeprefix(SERVER_PREFIX)
    try:
        entry = decode_upstream_entry(identity, item.value)
    except ItemError:
        remove_upstream_entry(node, item.key)
        raise
    apply_upstream_entry(node, item.key, entry, now)


@ITEM_ORDERS.register('op')
def is_later_operator_item(
    known: StoredItem, received: StoredItem
) -> bool | None:
    """Whether a received item of the operators is later than the known one."""
    if known.key == CONFIGURATION_KEY:
        # The operators replace a configuration, but never delete it.
        return received.value is not None and _is_higher_version(
            known, received
        )
    # A withdrawal that is not known yet must not wait.
    return None if received.value is None else True


@ITEM_ORDERS.register('servers')
def is_later_server_item(
    known: StoredItem, received: StoredItem
) -> bool | None:
    """Whether a received entry of a server is later than the known one.

    An entry that is missing has expired.
    """
    if received.value is None:
        return True
    try:
        return decode_entry_order(received.value) > decode_entry_order(
            known.value or b''
        )
    except ItemError:
        return None


def _is_higher_version(known: StoredItem, received: StoredItem) -> bool:
    """Whether a received configuration is valid and has a higher version."""
    try:
        version = decode_version(received.value or b'')
    except ItemError:
        return False
    try:
        return version > decode_version(known.value or b'')
    except ItemError:
        return True
