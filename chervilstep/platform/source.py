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
from chervilstep.platform.store import (
    ANSWER_TIMEOUT_SECONDS,
    StoreItems,
    new_store_client,
)
from chervilstep.queries.tables import is_address
from chervilstep.types import Instant, new_deadline

#: How long a watch waits for a change. Longer waits mean fewer calls, which the
#: platform bills. But a watch that the store has dropped, or whose connection has
#: gone silent, receives nothing until it times out, and changes must be in force
#: 3 s after that. The wait, the timeout of the answer and a new connection fit in.
WATCH_WAIT_SECONDS: Final = 2.0
#: The timeout of a watch's answer, in addition to its wait.
WATCH_ANSWER_SECONDS: Final = 0.6
#: The delay between a change and the next watch, in which further changes
#: accumulate: a fraction of the time in which a change must be in force.
COALESCE_SECONDS: Final = 0.6
#: The time between the first failed attempt and the next one; it doubles a few
#: times. The recovery of the store must be seen soon, as deletions wait for some
#: time after it.
MIN_BACKOFF_SECONDS: Final = 0.1
MAX_BACKOFF_DOUBLINGS: Final = 2
#: The timeout of an answer during an outage, in which a lost request would
#: otherwise hide the recovery.
OUTAGE_TIMEOUT_SECONDS: Final = 0.6
#: Each so many failures one request has the usual timeout, for a slow store.
PATIENT_PERIOD: Final = 8
#: Delays grow by up to this fraction, so that instances do not retry together.
MAX_JITTER_FRACTION: Final = 0.5
READS_COUNTER: Final = 'store_reads'


@final
@SOURCES.register('store')
class StoreSource:
    """Lists the items of a store (``store://ip:port``), then watches them."""

    __slots__ = (
        '_client',
        '_failures',
        '_has_listing',
        '_has_watched',
        '_node',
    )

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
        #: Whether a watch has succeeded since the last listing.
        self._has_watched = False
        self._failures = 0

    async def run(self) -> None:
        """Follows the store until cancelled."""
        self._node.replica.enable()
        with contextlib.closing(self._client):
            while True:
                attempt_at = time.monotonic()
                if await self._try_read(attempt_at):
                    continue
                retry_at = new_deadline(attempt_at, self._backoff_seconds())
                self._failures += 1
                await asyncio.sleep(retry_at.remaining(time.monotonic()))

    def _backoff_seconds(self) -> float:
        """Returns the time from a failed attempt to the next one."""
        factor: int = 2 ** min(self._failures, MAX_BACKOFF_DOUBLINGS)
        jitter_factor = self._node.rng.uniform(1, 1 + MAX_JITTER_FRACTION)
        return MIN_BACKOFF_SECONDS * factor * jitter_factor

    async def _try_read(self, attempt_at: Instant) -> bool:
        """Reads once; returns whether to continue without a delay."""
        self._node.counters.add(READS_COUNTER)
        try:
            await self._read()
        except StoreError as fault:
            if fault.is_compacted and self._has_listing:
                self._has_listing = False
                self._node.events.add('store_compacted', reason=str(fault))
                # A store that discards each revision at once is not listed
                # without a pause.
                return self._has_watched
            record_store_failure(
                self._node, str(fault), attempt_at, time.monotonic()
            )
            return False
        return True

    async def _read(self) -> None:
        if not self._has_listing:
            listing = await self._client.list_all()
            self._require_epoch(listing)
            now = time.monotonic()
            record_store_answer(self._node, now)
            self._record_skipped(listing)
            apply_listing(self._node, listing.items, listing.as_of, now)
            self._has_listing = True
            self._has_watched = False
            return
        changes = await self._client.watch(
            self._node.replica.as_of, *self._watch_times()
        )
        self._require_epoch(changes)
        self._has_watched = True
        self._failures = 0
        now = time.monotonic()
        record_store_answer(self._node, now)
        self._record_skipped(changes)
        apply_items(self._node, changes.items, changes.as_of, now)
        if changes.items:
            # More changes often follow; the next call returns all of them.
            await asyncio.sleep(COALESCE_SECONDS)

    def _watch_times(self) -> tuple[float, float]:
        """Returns how long a watch waits, and how long it may take beyond that.

        During an outage it does not wait, which detects the recovery sooner.
        """
        if self._node.replica.unavailable_since is None:
            return WATCH_WAIT_SECONDS, WATCH_ANSWER_SECONDS
        if self._failures % PATIENT_PERIOD == 0:
            return 0, ANSWER_TIMEOUT_SECONDS
        return 0, OUTAGE_TIMEOUT_SECONDS

    def _require_epoch(self, answer: StoreItems) -> None:
        """Refuses an answer from before the last return from a copy."""
        known_epoch = self._node.replica.as_of.epoch
        if answer.as_of.epoch < known_epoch:
            raise StoreError(
                f'the answer is of epoch {answer.as_of.epoch}, not {known_epoch}'
            )

    def _record_skipped(self, answer: StoreItems) -> None:
        if answer.skipped:
            self._node.counters.add('store_items_refused')
            self._node.events.add('items_skipped', items=answer.skipped)
