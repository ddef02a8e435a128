"""Registries of named implementations, filled by decorators."""

from collections.abc import Callable
from typing import Generic, TypeVar, final

from chervilstep.exceptions import UnknownName

Item = TypeVar('Item')


@final
class Registry(Generic[Item]):
    """Maps the names used in settings and documents to implementations.

    Implementations are decorated with ``@registry.register('name')`` and
    looked up with ``find``.
    """

    __slots__ = ('_entries', '_kind')

    def __init__(self, kind: str) -> None:
        """Creates an empty registry; ``kind`` describes its items."""
        self._kind = kind
        self._entries: dict[str, Item] = {}

    def __contains__(self, name: object) -> bool:
        """Whether an item is registered under ``name``."""
        return name in self._entries

    @property
    def names(self) -> tuple[str, ...]:
        """The registered names in alphabetical order."""
        return tuple(sorted(self._entries))

    @property
    def kind(self) -> str:
        """The kind of the items, as named in error messages."""
        return self._kind

    def register(self, name: str) -> Callable[[Item], Item]:
        """Returns a decorator that registers its target under ``name``."""

        def decorate(target: Item) -> Item:
            if name in self._entries:
                raise ValueError(f'{self._kind} {name!r} is already registered')
            self._entries[name] = target
            return target

        return decorate

    def find(self, name: str) -> Item:
        """Returns the item registered under ``name``.

        Raises:
            UnknownName: No item has that name; the message lists the known
                names.
        """
        try:
            return self._entries[name]
        except KeyError:
            raise UnknownName(self._kind, name, self.names) from None


def new_registry(kind: str) -> 'Registry[Item]':
    """Creates an empty registry; ``kind`` describes its items."""
    return Registry(kind)
