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
from chervilstep.platform.store import new_store_client
from chervilstep.queries.tables import is_address

#: How long a watch waits. Each one is a call that the platform bills; but one
#: that the store has forgotten hears nothing, and changes have to be in force
#: within 3 s of the store's recovery.
WATCH_SECONDS: Final = 2.0
#: How long changes are left to gather before the next watch: a fraction of
#: the time in which a change has to be in force.
GATHER_SECONDS: Final = 0.6
#: The first pause after a failure, which doubles up to the longest.
MIN_PAUSE_SECONDS: Final = 0.1
MAX_PAUSE_SECONDS: Final = 0.8
#: Pauses vary by this part, so that instances do not come back together.
PAUSE_JITTER: Final = 0.5
READS: Final = 'store_reads'


@final
@SOURCES.register('store')
class StoreSource:
    """Reads ``store://ip:port`` once, and watches it from there."""

    __slots__ = ('_client', '_is_listed', '_node')

    def __init__(self, node: Node, url: str) -> None:
        """Creates the source of the store in ``url``.

        Raises:
            SettingsError: The URL does not name an address.
        """
        address = url.partition('://')[2]
        if not is_address(address):
            raise SettingsError(f'{url!r} is not store://ip:port')
        self._node = node
        self._client = new_store_client(address)
        self._is_listed = False

    async def run(self) -> None:
        """Follows the store until cancelled."""
        self._node.replica.enable()
        pause = MIN_PAUSE_SECONDS
        with contextlib.closing(self._client):
            while True:
                if await self._step():
                    pause = MIN_PAUSE_SECONDS
                    continue
                spread = self._node.rng.uniform(1, 1 + PAUSE_JITTER)
                await asyncio.sleep(pause * spread)
                pause = min(2 * pause, MAX_PAUSE_SECONDS)

    async def _step(self) -> bool:
        """Reads once; False after a failure."""
        self._node.counters.add(READS)
        try:
            await self._read()
        except StoreError as fault:
            now = time.monotonic()
            if fault.is_compacted:
                self._is_listed = False
                self._node.events.add('store_compacted')
                return True
            record_store_failure(self._node, str(fault), now)
            return False
        return True

    async def _read(self) -> None:
        replica = self._node.replica
        if not self._is_listed:
            listing = await self._client.list_all()
            now = time.monotonic()
            record_store_answer(self._node, now)
            apply_listing(self._node, listing.items, listing.as_of, now)
            self._is_listed = True
            return
        # After an outage a short watch tells soon that the store is back.
        wait = 0 if replica.unavailable_since is not None else WATCH_SECONDS
        changes = await self._client.watch(replica.as_of, wait)
        now = time.monotonic()
        record_store_answer(self._node, now)
        apply_items(self._node, changes.items, changes.as_of, now)
        if changes.items:
            # More changes often follow; one call brings all of them.
            await asyncio.sleep(GATHER_SECONDS)
