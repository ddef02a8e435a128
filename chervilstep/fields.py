"""Validation of the fields of messages from peers."""

from collections.abc import Sequence
from typing import Final, TypeAlias, TypeVar

from chervilstep.exceptions import PeerError

Field = TypeVar('Field')
#: The second argument of ``isinstance``.
ExpectedType: TypeAlias = type[object] | tuple[type[object], ...]

#: The maximum number of items of a list or table in one field.
MAX_FIELD_ITEMS: Final = 1000


def require_type(value: Field, expected_type: ExpectedType) -> Field:
    """Returns ``value`` if it has the expected type and is not a bool.

    Raises:
        PeerError: The value has another type.
    """
    if isinstance(value, bool) or not isinstance(value, expected_type):
        raise PeerError(f'unexpected {type(value).__name__} in a message field')
    return value


def require_table(table: dict[str, Field]) -> dict[str, Field]:
    """Returns ``table`` if it is a bounded dictionary with string keys.

    Raises:
        PeerError: It is not a dictionary, is too large, or has other keys.
    """
    require_type(table, dict)
    require_length(tuple(table))
    for name in table:
        require_type(name, str)
    return table


def require_length(items: Sequence[Field]) -> Sequence[Field]:
    """Returns ``items`` if there are at most ``MAX_FIELD_ITEMS``.

    Raises:
        PeerError: There are more items.
    """
    if len(items) > MAX_FIELD_ITEMS:
        raise PeerError('message field has too many items')
    return items
