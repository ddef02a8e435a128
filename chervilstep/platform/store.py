"""The client of the platform's store: reads, listings and watches."""

import base64
import json
from collections.abc import Iterable
from typing import Any, Final, final
from urllib.parse import urlencode

from chervilstep.adapters.kept import KeptClient
from chervilstep.exceptions import FetchError, StoreError
from chervilstep.platform.decoding import DECODE_ERRORS
from chervilstep.replica import StoredItem
from chervilstep.types import MS_PER_SECOND

#: What an answer may take beyond the wait of a watch.
ANSWER_SECONDS: Final = 1.5
#: Above the largest page, which holds 1 MB and its encoding.
MAX_ANSWER_BYTES: Final = 8 * 1024 * 1024

_OK: Final = 200
#: The store has discarded the history that a watch asks for.
_GONE: Final = 410


@final
class Changes:
    """Items of the store, and the revision up to which these are all."""

    __slots__ = ('_as_of', '_has_more', '_items')

    def __init__(
        self,
        items: Iterable[StoredItem],
        as_of: int,
        *,
        has_more: bool = False,
    ) -> None:
        """Creates an answer, or a page of one."""
        self._has_more = has_more
        self._items = tuple(items)
        self._as_of = as_of

    @property
    def items(self) -> tuple[StoredItem, ...]:
        """The items in the order of the answer."""
        return self._items

    @property
    def has_more(self) -> bool:
        """Whether another page follows."""
        return self._has_more

    @property
    def as_of(self) -> int:
        """The store's revision."""
        return self._as_of


@final
class StoreClient:
    """Sends one read at a time over a kept connection."""

    __slots__ = ('_client',)

    def __init__(self, address: str) -> None:
        """Creates a client of the store at ``ip:port``."""
        self._client = KeptClient(address, MAX_ANSWER_BYTES)

    async def list_all(self) -> Changes:
        """Reads every item, a page after the other.

        Pages are no snapshot, so the answer is as old as the first one.

        Raises:
            StoreError: There was no answer, or not a proper one.
        """
        page = await self._page('')
        items = list(page.items)
        as_of = page.as_of
        while page.has_more:
            page = await self._page(items[-1].key)
            items.extend(page.items)
        return Changes(items, as_of)

    async def watch(self, after: int, wait_seconds: float) -> Changes:
        """Waits for the items that change after a revision.

        Raises:
            StoreError: There was no answer, or not a proper one; its
                ``is_compacted`` says whether the history is gone.
        """
        query = {
            'prefix': '',
            'after': str(after),
            'waitMs': str(int(wait_seconds * MS_PER_SECOND)),
        }
        return _changes(await self._get('kv-watch', query, wait_seconds))

    def close(self) -> None:
        """Closes the connection."""
        self._client.close()

    async def _page(self, after: str) -> Changes:
        query = {'prefix': '', 'after': after}
        page = _changes(await self._get('kv-range', query, 0))
        if page.has_more and not page.items:
            raise StoreError('a page that is not the last one is empty')
        return page

    async def _get(
        self, verb: str, query: dict[str, str], wait_seconds: float
    ) -> dict[str, Any]:
        target = f'/api/{verb}?{urlencode(query)}'
        try:
            fetched = await self._client.get(
                target, wait_seconds + ANSWER_SECONDS
            )
        except FetchError as fault:
            raise StoreError(str(fault)) from fault
        if fetched.status != _OK:
            raise StoreError(
                f'status {fetched.status}',
                is_compacted=fetched.status == _GONE,
            )
        return _table_of(fetched.body)


def _table_of(body: bytes) -> dict[str, Any]:
    try:
        table = json.loads(body)
    except ValueError as fault:
        raise StoreError(f'the answer is not JSON: {fault}') from fault
    if not isinstance(table, dict):
        raise StoreError('the answer is not a table')
    return table


def _changes(table: dict[str, Any]) -> Changes:
    entries = table.get('events', table.get('items', ()))
    try:
        return Changes(
            map(_item_of, entries),
            int(table['asOf']),
            has_more=bool(table.get('hasMore')),
        )
    except DECODE_ERRORS as fault:
        raise StoreError(f'items cannot be read: {fault}') from fault


def _item_of(table: dict[str, Any]) -> StoredItem:
    if table.get('deleted'):
        return StoredItem(table['key'], int(table['revision']), None)
    return StoredItem(
        table['key'],
        int(table['revision']),
        base64.b64decode(table['value'], validate=True),
    )


def new_store_client(address: str) -> StoreClient:
    """Creates a client without a connection."""
    return StoreClient(address)
