"""The client of the platform's store: listings and watches."""

import base64
import json
import re
from collections.abc import Iterable
from typing import Any, Final, final
from urllib.parse import urlencode

from chervilstep.adapters.keepalive import KeepAliveClient
from chervilstep.exceptions import FetchError, StoreError
from chervilstep.platform import fields
from chervilstep.platform.decoding import DECODE_ERRORS
from chervilstep.replica import StoredItem
from chervilstep.revisions import Revision
from chervilstep.types import MS_PER_SECOND

#: The timeout of an answer, in addition to the wait of a watch, unless the caller
#: sets a shorter one.
ANSWER_TIMEOUT_SECONDS: Final = 1.5
#: More than the largest page, which holds 1 MB before its encoding.
MAX_ANSWER_BYTES: Final = 8 * 1024 * 1024

#: The number of times that the store has returned from a copy.
_EPOCH_HEADER: Final = 'Store-Era'
_EPOCH_PATTERN: Final = re.compile('[0-9]{1,18}')
_STATUS_OK: Final = 200
#: The store has discarded the revisions that a watch requests.
_STATUS_GONE: Final = 410


@final
class StoreItems:
    """Items of the store, complete up to a revision."""

    __slots__ = ('_as_of', '_has_more', '_items', '_skipped')

    def __init__(
        self,
        items: Iterable[StoredItem],
        as_of: Revision,
        *,
        has_more: bool = False,
        skipped: int = 0,
    ) -> None:
        """Creates an answer, or one page of a listing."""
        self._skipped = skipped
        self._has_more = has_more
        self._items = tuple(items)
        self._as_of = as_of

    @property
    def items(self) -> tuple[StoredItem, ...]:
        """The items, in the order in which the store sent them."""
        return self._items

    @property
    def skipped(self) -> int:
        """The number of items left out, whose key or revision is invalid."""
        return self._skipped

    @property
    def has_more(self) -> bool:
        """Whether another page follows."""
        return self._has_more

    @property
    def as_of(self) -> Revision:
        """The revision up to which the items are complete."""
        return self._as_of


@final
class StoreClient:
    """Sends one read at a time over a persistent connection."""

    __slots__ = ('_client',)

    def __init__(self, address: str) -> None:
        """Creates a client of the store at ``ip:port``."""
        self._client = KeepAliveClient(address, MAX_ANSWER_BYTES)

    async def list_all(self) -> StoreItems:
        """Reads every item, page by page.

        The pages are not one snapshot, so the result has the revision of the
        first page.

        Raises:
            StoreError: The store did not answer, its answer is invalid, or it
                returned from a copy between two pages.
        """
        page = await self._get_page('')
        items = list(page.items)
        as_of = page.as_of
        skipped = page.skipped
        while page.has_more:
            page = await self._get_page(items[-1].key)
            if page.as_of.epoch != as_of.epoch:
                raise StoreError('the epoch of the store changed in a listing')
            items.extend(page.items)
            skipped += page.skipped
        return StoreItems(items, as_of, skipped=skipped)

    async def watch(
        self,
        after: Revision,
        wait_seconds: float,
        answer_seconds: float = ANSWER_TIMEOUT_SECONDS,
    ) -> StoreItems:
        """Waits for items that change after the revision ``after``.

        The store has ``answer_seconds`` beyond the wait for its answer.

        Raises:
            StoreError: The store did not answer, or its answer is invalid.
                ``is_compacted`` is true if the store does not have the
                revisions after ``after``, or has returned from a copy.
        """
        query = {
            'prefix': '',
            'after': str(after.number),
            'waitMs': str(int(wait_seconds * MS_PER_SECOND)),
        }
        timeout_seconds = wait_seconds + answer_seconds
        changes = await self._get('kv-watch', query, timeout_seconds)
        if changes.as_of.epoch > after.epoch:
            raise StoreError(
                'the store has returned from a copy', is_compacted=True
            )
        return changes

    def close(self) -> None:
        """Closes the connection."""
        self._client.close()

    async def _get_page(self, after: str) -> StoreItems:
        query = {'prefix': '', 'after': after}
        page = await self._get('kv-range', query, ANSWER_TIMEOUT_SECONDS)
        if page.has_more and not page.items:
            raise StoreError('the store sent an empty page before the last one')
        return page

    async def _get(
        self, operation: str, query: dict[str, str], timeout_seconds: float
    ) -> StoreItems:
        target = f'/api/{operation}?{urlencode(query)}'
        try:
            response = await self._client.get(target, timeout_seconds)
        except FetchError as fault:
            raise StoreError(str(fault)) from fault
        if response.status != _STATUS_OK:
            raise StoreError(
                f'the store answered with status {response.status}',
                is_compacted=response.status == _STATUS_GONE,
            )
        epoch = _decode_epoch(response.headers.get(_EPOCH_HEADER, '0'))
        return _decode_items(_parse_table(response.body), epoch)


def _parse_table(body: bytes) -> dict[str, Any]:
    try:
        table = json.loads(body)
    except DECODE_ERRORS as fault:
        raise StoreError(
            f'the answer of the store is not JSON: {fault}'
        ) from fault
    if not isinstance(table, dict):
        raise StoreError('the answer of the store is not a JSON object')
    return table


def _decode_epoch(text: str) -> int:
    if not _EPOCH_PATTERN.fullmatch(text):
        raise StoreError('the epoch of the store is not a number')
    return int(text)


def _decode_items(table: dict[str, Any], epoch: int) -> StoreItems:
    try:
        return _store_items(table, epoch)
    except DECODE_ERRORS as fault:
        raise StoreError(
            f'cannot decode the items of the store: {fault}'
        ) from fault


def _store_items(table: dict[str, Any], epoch: int) -> StoreItems:
    entries = table.get('events', table.get('items', []))
    items = [
        _try_decode_item(entry, epoch) for entry in fields.require_list(entries)
    ]
    sound = [item for item in items if item is not None]
    return StoreItems(
        sound,
        _revision(table['asOf'], epoch),
        has_more=bool(table.get('hasMore')),
        skipped=len(items) - len(sound),
    )


def _try_decode_item(entry: object, epoch: int) -> StoredItem | None:
    """Returns an item, or None if its key or its revision is invalid.

    Any process can write to the store, so one odd item must not hide the
    others.
    """
    try:
        return _decode_item(fields.require_table(entry), epoch)
    except DECODE_ERRORS:
        return None


def _decode_item(table: fields.Table, epoch: int) -> StoredItem:
    key = fields.require_name(table['key'])
    revision = _revision(table['revision'], epoch)
    if table.get('deleted'):
        return StoredItem(key, revision, None)
    return StoredItem(key, revision, _decode_value(table.get('value')))


def _revision(field: object, epoch: int) -> Revision:
    return Revision(fields.require_integer(field, 0, fields.MAX_INTEGER), epoch)


def _decode_value(encoded: object) -> bytes:
    """Returns the decoded value, or an empty one, which no reader accepts."""
    try:
        return base64.b64decode(fields.require_string(encoded), validate=True)
    except DECODE_ERRORS:
        return b''


def new_store_client(address: str) -> StoreClient:
    """Creates a client without a connection."""
    return StoreClient(address)
