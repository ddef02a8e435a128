"""What the platform's read-and-watch service answers."""

from collections.abc import Iterable
from typing import final


@final
class PlatformValue:
    """One value of the platform at one revision."""

    __slots__ = ('_name', '_revision', '_text')

    def __init__(self, name: str, revision: int, text: str | None) -> None:
        """Creates a value; ``name`` stands without its prefix."""
        self._name = name
        self._revision = revision
        self._text = text

    @property
    def name(self) -> str:
        """The name without the prefix that was asked for."""
        return self._name

    @property
    def revision(self) -> int:
        """The revision of the value's last change."""
        return self._revision

    @property
    def text(self) -> str | None:
        """The text, or None when the value was deleted."""
        return self._text


@final
class PlatformAnswer:
    """The values of one prefix, as one replica of the platform has them."""

    __slots__ = ('_is_complete', '_revision', '_values')

    def __init__(
        self,
        revision: int,
        values: Iterable[PlatformValue],
        *,
        is_complete: bool,
    ) -> None:
        """Creates an answer; a complete one has every value there is."""
        self._revision = revision
        self._values = tuple(values)
        self._is_complete = is_complete

    @property
    def revision(self) -> int:
        """The replica's revision, over all prefixes."""
        return self._revision

    @property
    def values(self) -> tuple[PlatformValue, ...]:
        """The values, or those that changed."""
        return self._values

    @property
    def is_complete(self) -> bool:
        """Whether a value that is not in the answer does not exist."""
        return self._is_complete
