"""A copy of the platform's store, kept by reading it and asking peers."""

from collections.abc import Mapping
from typing import final

from chervilstep.types import Deadline, Instant


@final
class StoredItem:
    """One value of the store at one revision; without text it was deleted."""

    __slots__ = ('_content', '_key', '_revision')

    def __init__(self, key: str, revision: int, content: bytes | None) -> None:
        """Creates an item; ``content`` is None for a deletion."""
        self._key = key
        self._revision = revision
        self._content = content

    @property
    def key(self) -> str:
        """The key in the store."""
        return self._key

    @property
    def revision(self) -> int:
        """The store's revision of the last change."""
        return self._revision

    @property
    def content(self) -> bytes | None:
        """The value, or None when it was deleted."""
        return self._content


@final
class Replica:
    """The newest known revision of each item."""

    __slots__ = (
        '_as_of',
        '_is_followed',
        '_items',
        '_kept_until',
        '_lost_at',
        '_postponed',
    )

    def __init__(self) -> None:
        """Starts empty, and not followed."""
        self._items: dict[str, StoredItem] = {}
        self._as_of = 0
        self._is_followed = False
        self._lost_at: Instant | None = None
        self._kept_until: Deadline | None = None
        self._postponed: dict[str, StoredItem] = {}

    @property
    def items(self) -> Mapping[str, StoredItem]:
        """The items by key, deleted ones included."""
        return self._items

    @property
    def as_of(self) -> int:
        """The store's revision up to which nothing is missing."""
        return self._as_of

    @property
    def is_followed(self) -> bool:
        """Whether this instance reads a store of this kind at all."""
        return self._is_followed

    @property
    def lost_at(self) -> Instant | None:
        """When the store stopped answering; None while it answers."""
        return self._lost_at

    @property
    def kept_until(self) -> Deadline | None:
        """Until when deletions wait after the store was away."""
        return self._kept_until

    @property
    def postponed(self) -> Mapping[str, StoredItem]:
        """The deletions that wait, by key."""
        return self._postponed

    def follow(self) -> None:
        """Notes that this instance reads the store."""
        self._is_followed = True

    def put(self, item: StoredItem) -> None:
        """Takes in an item; the caller has checked that it is newer."""
        self._items[item.key] = item
        self._postponed.pop(item.key, None)

    def postpone(self, item: StoredItem) -> None:
        """Lets a deletion wait."""
        self._postponed[item.key] = item

    def advance(self, as_of: int) -> None:
        """Notes that nothing up to a revision is missing."""
        self._as_of = max(self._as_of, as_of)

    def lose(self, now: Instant) -> None:
        """Notes that the store does not answer."""
        if self._lost_at is None:
            self._lost_at = now

    def regain(self, kept_until: Deadline | None) -> None:
        """Notes that the store answers again."""
        self._lost_at = None
        if kept_until is not None:
            self._kept_until = kept_until
