"""Reads TOML tables and collects all faults with their dotted paths."""

import difflib
import enum
import ipaddress
import math
import re
import tomllib
from collections.abc import Iterable, Iterator, Mapping
from typing import Final, TypeVar, final

Choice = TypeVar('Choice', bound=enum.Enum)

#: Names are used in metric labels and URLs, so few characters are allowed.
NAME_PATTERN: Final = re.compile('[a-z0-9][a-z0-9._-]{0,63}')
MAX_PORT: Final = 65535
_PORT_PATTERN: Final = re.compile('[0-9]{1,5}')


@final
class Table:
    """A TOML table that is being validated.

    When an entry is missing or invalid, the method that reads it adds a fault
    and returns a placeholder. The caller that created the list of faults raises
    the error at the end.
    """

    __slots__ = ('_entries', '_faults', '_path')

    def __init__(
        self, entries: Mapping[str, object], path: str, faults: list[str]
    ) -> None:
        """Wraps ``entries`` of the table at the dotted ``path``."""
        self._entries = entries
        self._path = path
        self._faults = faults

    @property
    def names(self) -> tuple[str, ...]:
        """The names of the entries in the order of the file."""
        return tuple(self._entries)

    def has(self, name: str) -> bool:
        """Whether the table has an entry ``name``."""
        return name in self._entries

    def add_fault(self, name: str, message: str) -> None:
        """Adds a fault of the entry ``name``."""
        self._faults.append(f'{self.path(name)}: {message}')

    def path(self, name: str) -> str:
        """Returns the dotted path of an entry."""
        return '.'.join(part for part in (self._path, name) if part)

    def allow_only(self, names: Iterable[str]) -> None:
        """Adds a fault for each entry that is not one of ``names``."""
        known = tuple(names)
        for name in self._entries:
            if name not in known:
                self.add_fault(name, f'unknown name{suggestion(name, known)}')

    def text(self, name: str, default: str | None = None) -> str:
        """Reads a non-empty string."""
        found = self._entries.get(name, default)
        if isinstance(found, str) and found:
            return found
        self._add_type_fault(name, 'a non-empty string')
        return ''

    def name(self, name: str) -> str:
        """Reads a string that must be a valid name."""
        found = self.text(name)
        if found and not NAME_PATTERN.fullmatch(found):
            self.add_fault(name, f'{found!r} is not a valid name')
        return found

    def texts(self, name: str, default: Iterable[str] = ()) -> tuple[str, ...]:
        """Reads a list of unique strings."""
        found = self._entries.get(name, list(default))
        if not isinstance(found, list) or not all(
            isinstance(item, str) and item for item in found
        ):
            self._add_type_fault(name, 'a list of non-empty strings')
            return ()
        if len(set(found)) < len(found):
            self.add_fault(name, 'has a duplicate item')
        return tuple(found)

    def flag(self, name: str) -> bool:
        """Reads a boolean, false by default."""
        found = self._entries.get(name, False)
        if not isinstance(found, bool):
            self._add_type_fault(name, 'true or false')
            return False
        return found

    def number(
        self,
        name: str,
        low: float,
        high: float,
        default: float | None = None,
    ) -> float:
        """Reads a finite number from ``low`` to ``high``, inclusive."""
        found = self._entries.get(name, default)
        if (
            isinstance(found, bool)
            or not isinstance(found, int | float)
            or not math.isfinite(found)
            or not low <= found <= high
        ):
            self._add_type_fault(name, f'a number from {low:g} to {high:g}')
            return low
        return found

    def integer(
        self, name: str, low: int, high: int, default: int | None = None
    ) -> int:
        """Reads an integer from ``low`` to ``high``, inclusive."""
        found = self._entries.get(name, default)
        if (
            isinstance(found, bool)
            or not isinstance(found, int)
            or not low <= found <= high
        ):
            self._add_type_fault(name, f'a whole number from {low} to {high}')
            return low
        return found

    def choice(self, name: str, default: Choice, label: str = '') -> Choice:
        """Reads a member of an enumeration."""
        options = {_option_name(option): option for option in type(default)}
        found = self._entries.get(name, _option_name(default))
        if isinstance(found, str) and found in options:
            return options[found]
        known = ', '.join(options)
        hint = suggestion(str(found), options)
        self.add_fault(name, f'{found!r} is not one of {known}{hint}')
        return default

    def address(self, name: str) -> str:
        """Reads an ``ip:port`` address."""
        found = self.text(name)
        if found and not is_address(found):
            self.add_fault(name, f'{found!r} is not an ip:port address')
        return found

    def tables(self) -> Iterator[tuple[str, 'Table']]:
        """Yields the entries, each of which must be a table."""
        for name, entries in self._entries.items():
            if not NAME_PATTERN.fullmatch(name):
                self.add_fault(name, f'{name!r} is not a valid name')
            elif isinstance(entries, dict):
                yield name, Table(entries, self.path(name), self._faults)
            else:
                self.add_fault(name, 'must be a table')

    def table(self, name: str) -> 'Table':
        """Reads a table."""
        entries = self._entries.get(name, {})
        if not isinstance(entries, dict):
            self.add_fault(name, 'must be a table')
            entries = {}
        return Table(entries, self.path(name), self._faults)

    def array(self, name: str) -> tuple['Table', ...]:
        """Reads an array of tables."""
        items = self._entries.get(name, [])
        if not isinstance(items, list) or not all(
            isinstance(entries, dict) for entries in items
        ):
            self.add_fault(name, 'must be an array of tables')
            return ()
        return tuple(
            Table(entries, self.path(f'{name}[{index}]'), self._faults)
            for index, entries in enumerate(items)
        )

    def _add_type_fault(self, name: str, expected: str) -> None:
        if name in self._entries:
            self.add_fault(name, f'must be {expected}')
        else:
            self.add_fault(name, f'is missing; it must be {expected}')


def parse_toml(text: str, faults: list[str]) -> Mapping[str, object]:
    """Parses TOML; a syntax error is added to the faults with its line."""
    try:
        return tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        faults.append(f'syntax: {error}')
        return {}


def suggestion(name: str, known: Iterable[str]) -> str:
    """Returns a hint with the known name closest to ``name``, if any."""
    close = difflib.get_close_matches(name, tuple(known), n=1)
    return f'; did you mean {close[0]!r}?' if close else ''


def is_address(text: str) -> bool:
    """Whether ``text`` is an IP address and a port, joined by a colon."""
    host, _, port = text.rpartition(':')
    if not _PORT_PATTERN.fullmatch(port) or int(port) > MAX_PORT:
        return False
    try:
        ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    except ValueError:
        return False
    return True


def _option_name(option: enum.Enum) -> str:
    if isinstance(option, enum.IntEnum):
        return option.name.lower()
    return str(option.value)
