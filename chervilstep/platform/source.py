"""Follows the platform's store and keeps the replica up to date."""

import asyncio
import contextlib
import time
from typing import Final, final

from chervilstep.adapters.source import SOURCES
from chervilstep.commands.replica import (
    apply_items,
    apply_listing,
    record_store_answer,
    record_store_failure,
)
from chervilstep.exceptions import SettingsError, StoreError
from chervilstep.node import Node
from chervilstep.platform.store import StoreItems, new_store_client
from chervilstep.queries.tables import is_address

#: How long a watch waits for a change. Longer waits mean fewer calls, which the
#: platform bills. But a watch that the store has dropped receives nothing until
#: it times out, and changes must be in force within 3 s of the recovery of the
#: store.
WATCH_WAIT_SECONDS: Final = 2.0
#: The delay between a change and the next watch, in which further changes
#: accumulate: a fraction of the time in which a change must be in force.
COALESCE_SECONDS: Final = 0.6
#: The delay after the first failure; it doubles up to the maximum.
MIN_BACKOFF_SECONDS: Final = 0.1
MAX_BACKOFF_SECONDS: Final = 0.8
#: Delays grow by up to this fraction, so that instances do not retry together.
MAX_JITTER_FRACTION: Final = 0.5
READS_COUNTER: Final = 'store_reads'


@final
@SOURCES.register('store')
class StoreSource:
    """Lists the items of a store (``store://ip:port``), then watches them."""

    __slots__ = ('_client', '_has_listing', '_node')

    def __init__(self, node: Node, url: str) -> None:
        """Creates the source for the store at ``url``.

        Raises:
            SettingsError: The URL has no valid address.
        """
        address = url.partition('://')[2]
        if not is_address(address):
            raise SettingsError(
                f'the source {url!r} must have the form store://ip:port'
            )
        self._node = node
        self._client = new_store_client(address)
        self._has_listing = False

    async def run(self) -> None:
        """Follows the store until cancelled."""
        self._node.replica.enable()
        backoff_seconds = MIN_BACKOFF_SECONDS
        with contextlib.closing(self._client):
            while True:
                if await self._try_read():
                    backoff_seconds = MIN_BACKOFF_SECONDS
                    continue
                jitter_factor = self._node.rng.uniform(
                    1, 1 + MAX_JITTER_FRACTION
                )
                await asyncio.sleep(backoff_seconds * jitter_factor)
                backoff_seconds = min(2 * backoff_seconds, MAX_BACKOFF_SECONDS)

    async def _try_read(self) -> bool:
        """Reads once; returns whether to continue without a delay."""
        self._node.counters.add(READS_COUNTER)
        try:
            await self._read()
        except StoreError as fault:
            now = time.monotonic()
            if fault.is_compacted and self._has_listing:
                self._has_listing = False
                self._node.events.add('store_compacted')
                return True
            record_store_failure(self._node, str(fault), now)
            return False
        return True

    async def _read(self) -> None:
        replica = self._node.replica
        if not self._has_listing:
            listing = await self._client.list_all()
            now = time.monotonic()
            record_store_answer(self._node, now)
            self._record_skipped(listing)
            apply_listing(self._node, listing.items, listing.as_of, now)
            self._has_listing = True
            return
        # During an outage a watch does not wait, which detects the recovery
        # sooner.
        wait_seconds = (
            0 if replica.unavailable_since is not None else WATCH_WAIT_SECONDS
        )
        changes = await self._client.watch(replica.as_of, wait_seconds)
        now = time.monotonic()
        record_store_answer(self._node, now)
        self._record_skipped(changes)
        apply_items(self._node, changes.items, changes.as_of, now)
        if changes.items:
            # More changes often follow; the next call returns all of them.
            await asyncio.sleep(COALESCE_SECONDS)

    def _record_skipped(self, answer: StoreItems) -> None:
        if answer.skipped:
            self._node.counters.add('store_items_refused')
            self._node.events.add('items_skipped', items=answer.skipped)
