"""The state of the platform stand-in: values with revisions."""

import collections
from collections.abc import Mapping
from typing import Final, final

#: The prefix of the list of entry instances, which lags.
INSTANCES: Final = 'instances/'


@final
class Value:
    """One value at one revision; a text of None means deleted."""

    __slots__ = ('_name', '_revision', '_text')

    def __init__(self, name: str, revision: int, text: str | None) -> None:
        """Creates a value."""
        self._name = name
        self._revision = revision
        self._text = text

    @property
    def name(self) -> str:
        """The name with its prefix."""
        return self._name

    @property
    def revision(self) -> int:
        """The revision of the last change."""
        return self._revision

    @property
    def text(self) -> str | None:
        """The text, or None when the value was deleted."""
        return self._text


@final
class Store:
    """All changes of all values, and how the service behaves now."""

    __slots__ = (
        '_calls',
        '_changes',
        '_frozen_at',
        '_is_hanging',
        '_lag_seconds',
    )

    def __init__(self) -> None:
        """Starts without values."""
        self._changes: list[Value] = []
        self._calls: collections.Counter[str] = collections.Counter()
        self._frozen_at: int | None = None
        self._is_hanging = False
        self._lag_seconds = float(0)

    @property
    def calls(self) -> Mapping[str, int]:
        """How many calls came, by the kind of call and prefix."""
        return self._calls

    @property
    def changes(self) -> tuple[Value, ...]:
        """Every change, the oldest first."""
        return tuple(self._changes)

    @property
    def newest_revision(self) -> int:
        """The revision of the last change."""
        return len(self._changes)

    @property
    def frozen_at(self) -> int | None:
        """The old revision that is served, or None."""
        return self._frozen_at

    @property
    def is_hanging(self) -> bool:
        """Whether calls are taken and never answered."""
        return self._is_hanging

    @property
    def lag_seconds(self) -> float:
        """How much later changes of the list of instances are seen."""
        return self._lag_seconds

    def put(self, name: str, text: str | None) -> None:
        """Sets a value, or deletes it with None."""
        revision = self.newest_revision + 1
        self._changes.append(Value(name, revision, text))

    def count(self, call: str) -> None:
        """Counts a call."""
        self._calls[call] += 1

    def freeze(self, revision: int | None) -> None:
        """Serves the state at an old revision; None ends that."""
        self._frozen_at = revision

    def hang(self, *, is_hanging: bool) -> None:
        """Starts or ends leaving calls without an answer."""
        self._is_hanging = is_hanging

    def lag(self, seconds: float) -> None:
        """Sets the lag of the list of instances."""
        self._lag_seconds = seconds
