"""A replica of the platform's store, updated by the store and by peers."""

from collections.abc import Mapping
from typing import final

from chervilstep.revisions import Revision
from chervilstep.types import Deadline, Instant


@final
class StoredItem:
    """The value of one key of the store at one revision."""

    __slots__ = ('_key', '_revision', '_value')

    def __init__(
        self, key: str, revision: Revision, value: bytes | None
    ) -> None:
        """Creates an item; ``value`` is None for a deleted key."""
        self._key = key
        self._revision = revision
        self._value = value

    @property
    def key(self) -> str:
        """The key in the store."""
        return self._key

    @property
    def revision(self) -> Revision:
        """The store's revision at the last change of the key."""
        return self._revision

    @property
    def value(self) -> bytes | None:
        """The value, or None for a deleted key."""
        return self._value


@final
class PostponedItem:
    """An item that is applied at a deadline unless a newer one arrives."""

    __slots__ = ('_item', '_postponed_until')

    def __init__(self, item: StoredItem, postponed_until: Deadline) -> None:
        """Creates a postponed item."""
        self._item = item
        self._postponed_until = postponed_until

    @property
    def item(self) -> StoredItem:
        """The item."""
        return self._item

    @property
    def postponed_until(self) -> Deadline:
        """When the item is applied."""
        return self._postponed_until


@final
class Replica:
    """The newest known revision of each item of the store."""

    __slots__ = (
        '_answered_at',
        '_as_of',
        '_failed_attempt_at',
        '_is_enabled',
        '_items',
        '_last_values',
        '_listed_at',
        '_postponed',
        '_postponed_until',
        '_received_to',
        '_refusals_logged',
        '_unavailable_since',
    )

    def __init__(self) -> None:
        """Creates an empty replica that is not enabled."""
        self._items: dict[str, StoredItem] = {}
        self._last_values: dict[str, StoredItem] = {}
        self._as_of = Revision(0)
        self._listed_at = Revision(0)
        self._received_to = Revision(0)
        self._answered_at: Instant | None = None
        self._failed_attempt_at: Instant | None = None
        self._is_enabled = False
        self._unavailable_since: Instant | None = None
        self._postponed_until: Deadline | None = None
        self._postponed: dict[str, PostponedItem] = {}
        self._refusals_logged: dict[str, Deadline] = {}

    @property
    def items(self) -> Mapping[str, StoredItem]:
        """The items by key, including deletions."""
        return self._items

    @property
    def last_values(self) -> Mapping[str, StoredItem]:
        """The last items of deleted keys before their deletion."""
        return self._last_values

    @property
    def as_of(self) -> Revision:
        """The store's revision up to which no change is missing here.

        Postponed changes count as known.
        """
        return self._as_of

    @property
    def listed_at(self) -> Revision:
        """The revision of the last listing.

        A listing shows which keys exist, but not which were deleted before.
        Deletions are therefore only known from this revision on.
        """
        return self._listed_at

    @property
    def received_to(self) -> Revision:
        """The revision up to which peers have sent the items that they have.

        Unlike ``as_of`` it does not mean that no deletion is missing.
        """
        return max(self._as_of, self._received_to)

    @property
    def answered_at(self) -> Instant | None:
        """When the store last answered; None before its first answer."""
        return self._answered_at

    @property
    def failed_attempt_at(self) -> Instant | None:
        """When the last failed request of the latest outage was sent.

        It is None after the second answer of the store.
        """
        return self._failed_attempt_at

    @property
    def is_enabled(self) -> bool:
        """Whether this instance reads a store."""
        return self._is_enabled

    @property
    def unavailable_since(self) -> Instant | None:
        """When the store became unavailable; None while it is available."""
        return self._unavailable_since

    @property
    def postponed_until(self) -> Deadline | None:
        """The deadline until which deletions wait after an outage."""
        return self._postponed_until

    @property
    def postponed(self) -> Mapping[str, PostponedItem]:
        """The items that are not applied yet, by key."""
        return self._postponed

    @property
    def refusals_logged(self) -> Mapping[str, Deadline]:
        """Until when further refused or outdated items are not logged, by key."""
        return self._refusals_logged

    def enable(self) -> None:
        """Records that this instance reads a store."""
        self._is_enabled = True

    def put(self, item: StoredItem) -> None:
        """Stores an item, which must be newer than the present one."""
        previous = self._items.get(item.key)
        self._items[item.key] = item
        self._postponed.pop(item.key, None)
        if item.value is not None:
            self._last_values.pop(item.key, None)
            return
        self._refusals_logged.pop(item.key, None)
        if previous is not None and previous.value is not None:
            self._last_values[item.key] = previous

    def keep(self, key: str, revision: Revision) -> None:
        """Keeps the present value of a key as the one of a later revision."""
        known = self._items.get(key)
        value = None if known is None else known.value
        self._items[key] = StoredItem(key, revision, value)
        self._postponed.pop(key, None)

    def postpone(self, item: StoredItem, postponed_until: Deadline) -> None:
        """Stores an item to be applied at a deadline."""
        self._postponed[item.key] = PostponedItem(item, postponed_until)

    def discard_postponed(self, key: str) -> None:
        """Drops the postponed item of a key, if there is one."""
        self._postponed.pop(key, None)

    def advance(self, as_of: Revision) -> None:
        """Records that the replica is complete up to a revision."""
        self._as_of = max(self._as_of, as_of)

    def record_refusal(self, key: str, logged_until: Deadline) -> None:
        """Records that a refused or outdated item of a key was logged."""
        self._refusals_logged[key] = logged_until

    def record_answer(self, now: Instant) -> None:
        """Records an answer of the store."""
        self._answered_at = now
        if self._unavailable_since is None:
            self._failed_attempt_at = None

    def record_listing(self, as_of: Revision) -> None:
        """Records that the items come from a listing at a revision."""
        self._listed_at = as_of

    def record_received(self, revision: Revision) -> None:
        """Records up to which revision a peer has sent its items."""
        self._received_to = max(self._received_to, revision)

    def record_outage(self, attempt_at: Instant, now: Instant) -> None:
        """Records that a request to the store, sent at a time, failed."""
        self._failed_attempt_at = attempt_at
        if self._unavailable_since is None:
            self._unavailable_since = now

    def record_recovery(self) -> None:
        """Records that the store is available again."""
        self._unavailable_since = None

    def postpone_deletions(self, postponed_until: Deadline) -> None:
        """Sets the deadline until which deletions wait."""
        self._postponed_until = postponed_until
