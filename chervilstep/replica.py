"""A replica of the platform's store, updated by the store and by peers."""

from collections.abc import Mapping
from typing import final

from chervilstep.types import Deadline, Instant


@final
class StoredItem:
    """The value of one key of the store at one revision."""

    __slots__ = ('_key', '_revision', '_value')

    def __init__(self, key: str, revision: int, value: bytes | None) -> None:
        """Creates an item; ``value`` is None for a deleted key."""
        self._key = key
        self._revision = revision
        self._value = value

    @property
    def key(self) -> str:
        """The key in the store."""
        return self._key

    @property
    def revision(self) -> int:
        """The store's revision at the last change of the key."""
        return self._revision

    @property
    def value(self) -> bytes | None:
        """The value, or None for a deleted key."""
        return self._value


@final
class Replica:
    """The newest known revision of each item of the store."""

    __slots__ = (
        '_answered_at',
        '_as_of',
        '_failed_attempt_at',
        '_is_enabled',
        '_items',
        '_listed_at',
        '_outdated_logged_until',
        '_postponed',
        '_postponed_until',
        '_received_to',
        '_refusals_logged',
        '_unavailable_since',
    )

    def __init__(self) -> None:
        """Creates an empty replica that is not enabled."""
        self._items: dict[str, StoredItem] = {}
        self._as_of = 0
        self._listed_at = 0
        self._received_to = 0
        self._answered_at: Instant | None = None
        self._outdated_logged_until: Deadline | None = None
        self._failed_attempt_at: Instant | None = None
        self._is_enabled = False
        self._unavailable_since: Instant | None = None
        self._postponed_until: Deadline | None = None
        self._postponed: dict[str, StoredItem] = {}
        self._refusals_logged: dict[str, Deadline] = {}

    @property
    def items(self) -> Mapping[str, StoredItem]:
        """The items by key, including deletions."""
        return self._items

    @property
    def as_of(self) -> int:
        """The store's revision up to which no change is missing here.

        Changes whose deletions are postponed count as known.
        """
        return self._as_of

    @property
    def listed_at(self) -> int:
        """The revision of the last listing.

        A listing shows which keys exist, but not which were deleted before.
        Deletions are therefore only known from this revision on.
        """
        return self._listed_at

    @property
    def received_to(self) -> int:
        """The revision up to which peers have sent the items that they have.

        Unlike ``as_of`` it does not mean that no deletion is missing.
        """
        return max(self._as_of, self._received_to)

    @property
    def answered_at(self) -> Instant | None:
        """When the store last answered; None before its first answer."""
        return self._answered_at

    @property
    def outdated_logged_until(self) -> Deadline | None:
        """Until when further outdated items are not logged."""
        return self._outdated_logged_until

    @property
    def failed_attempt_at(self) -> Instant | None:
        """When the last failed request to the store was sent."""
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
    def postponed(self) -> Mapping[str, StoredItem]:
        """The deletions that are not applied yet, by key."""
        return self._postponed

    @property
    def refusals_logged(self) -> Mapping[str, Deadline]:
        """Until when further refusals of a key are not logged."""
        return self._refusals_logged

    def enable(self) -> None:
        """Records that this instance reads a store."""
        self._is_enabled = True

    def put(self, item: StoredItem) -> None:
        """Stores an item, which must be newer than the present one."""
        self._items[item.key] = item
        self._postponed.pop(item.key, None)
        if item.value is None:
            self._refusals_logged.pop(item.key, None)

    def postpone(self, item: StoredItem) -> None:
        """Stores a deletion to be applied later."""
        self._postponed[item.key] = item

    def advance(self, as_of: int) -> None:
        """Records that the replica is complete up to a revision."""
        self._as_of = max(self._as_of, as_of)

    def record_refusal(self, key: str, logged_until: Deadline) -> None:
        """Records that a refusal of a key was logged."""
        self._refusals_logged[key] = logged_until

    def record_outdated(self, logged_until: Deadline) -> None:
        """Records that outdated items were logged."""
        self._outdated_logged_until = logged_until

    def record_answer(self, now: Instant) -> None:
        """Records an answer of the store."""
        self._answered_at = now

    def record_listing(self, as_of: int) -> None:
        """Records that the items come from a listing at a revision."""
        self._listed_at = as_of

    def record_received(self, revision: int) -> None:
        """Records up to which revision a peer has sent its items."""
        self._received_to = max(self._received_to, revision)

    def record_outage(self, attempt_at: Instant, now: Instant) -> None:
        """Records that a request to the store, sent at a time, failed."""
        self._failed_attempt_at = attempt_at
        if self._unavailable_since is None:
            self._unavailable_since = now

    def record_recovery(self, postponed_until: Deadline | None) -> None:
        """Records that the store is available again."""
        self._unavailable_since = None
        if postponed_until is not None:
            self._postponed_until = postponed_until
