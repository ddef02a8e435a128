"""Validation of the fields of messages from peers."""

from collections.abc import Sequence
from typing import Final, TypeAlias, TypeVar

from chervilstep.exceptions import PeerError

Field = TypeVar('Field')
Number = TypeVar('Number', bound=float)
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


def require_range(value: Number, maximum: float) -> Number:
    """Returns ``value`` if it is a number from zero to ``maximum``.

    Raises:
        PeerError: The value is no number, or out of the range.
    """
    # A comparison with a NaN is false.
    if not 0 <= require_type(value, (int, float)) <= maximum:
        raise PeerError('number in a message field is out of range')
    return value


def require_length(items: Sequence[Field]) -> Sequence[Field]:
    """Returns ``items`` if there are at most ``MAX_FIELD_ITEMS``.

    Raises:
        PeerError: There are more items.
    """
    if len(items) > MAX_FIELD_ITEMS:
        raise PeerError('message field has too many items')
    return items
