"""The state of the store stand-in: keys and values with revisions."""

import collections
from collections.abc import Mapping
from typing import Final, final

#: The revision of a store without changes.
EMPTY_REVISION: Final = 1
FIRST_EPOCH: Final = 1
#: The platform's store lists this many keys per page.
PAGE_ITEMS: Final = 500


@final
class KeyValue:
    """The value of a key at one revision."""

    __slots__ = ('_key', '_revision', '_text')

    def __init__(self, key: str, revision: int, text: str | None) -> None:
        """Creates the value; a text of None marks a deletion."""
        self._key = key
        self._revision = revision
        self._text = text

    @property
    def key(self) -> str:
        """The key."""
        return self._key

    @property
    def revision(self) -> int:
        """The revision of the change."""
        return self._revision

    @property
    def text(self) -> str | None:
        """The text, or None if the key is deleted."""
        return self._text


@final
class StoreFaults:
    """The faults of the store that last until they are cleared."""

    __slots__ = (
        '_frozen_revision',
        '_omits_changes',
        '_is_forgetful',
        '_is_hanging',
        '_refusal_status',
    )

    def __init__(
        self,
        *,
        frozen_revision: int | None = None,
        refusal_status: int | None = None,
        omits_changes: bool = False,
        is_hanging: bool = False,
        is_forgetful: bool = False,
    ) -> None:
        """Creates a set of faults, by default an empty one."""
        self._frozen_revision = frozen_revision
        self._refusal_status = refusal_status
        self._omits_changes = omits_changes
        self._is_hanging = is_hanging
        self._is_forgetful = is_forgetful

    @property
    def frozen_revision(self) -> int | None:
        """The newest revision that reads return, or None without a limit."""
        return self._frozen_revision

    @property
    def refusal_status(self) -> int | None:
        """The HTTP status with which every call is refused, or None."""
        return self._refusal_status

    @property
    def omits_changes(self) -> bool:
        """Whether watches omit all changes."""
        return self._omits_changes

    @property
    def is_forgetful(self) -> bool:
        """Whether the store has no history at all for watches."""
        return self._is_forgetful

    @property
    def is_hanging(self) -> bool:
        """Whether calls are accepted and never answered."""
        return self._is_hanging


@final
class Store:
    """The history of all keys, and the faults of the store."""

    __slots__ = (
        '_calls',
        '_changes',
        '_compacted_revision',
        '_epoch',
        '_faults',
        '_page_items',
    )

    def __init__(self, page_items: int = PAGE_ITEMS) -> None:
        """Creates an empty store."""
        self._changes: list[KeyValue] = []
        self._calls: collections.Counter[str] = collections.Counter()
        self._page_items = page_items
        self._compacted_revision = 0
        self._epoch = FIRST_EPOCH
        self._faults = StoreFaults()

    @property
    def calls(self) -> Mapping[str, int]:
        """The number of calls by kind."""
        return self._calls

    @property
    def changes(self) -> tuple[KeyValue, ...]:
        """Every change, oldest first."""
        return tuple(self._changes)

    @property
    def newest_revision(self) -> int:
        """The revision of the last change."""
        return EMPTY_REVISION + len(self._changes)

    @property
    def page_items(self) -> int:
        """The maximum number of keys on a page of a listing."""
        return self._page_items

    @property
    def compacted_revision(self) -> int:
        """The revision up to which the history is discarded."""
        return self._compacted_revision

    @property
    def epoch(self) -> int:
        """The number of the history, which rises with each restore."""
        return self._epoch

    @property
    def faults(self) -> StoreFaults:
        """The faults in effect."""
        return self._faults

    def put(self, key: str, text: str | None) -> None:
        """Sets a key, or deletes it when the text is None."""
        revision = self.newest_revision + 1
        self._changes.append(KeyValue(key, revision, text))

    def count_call(self, kind: str) -> None:
        """Counts a call."""
        self._calls[kind] += 1

    def compact(self) -> None:
        """Discards the history up to the newest revision."""
        self._compacted_revision = self.newest_revision

    def restore(self, revision: int) -> None:
        """Returns to a copy made at a revision; later changes are lost."""
        self._changes = [
            change for change in self._changes if change.revision <= revision
        ]
        self._compacted_revision = min(self._compacted_revision, revision)
        self._epoch += 1

    def set_faults(self, faults: StoreFaults) -> None:
        """Replaces the faults in effect."""
        self._faults = faults
