"""Checks of the fields in items of the platform's store.

Any process can write to the store. No field is converted from another type,
and every number and text is bounded, so that a decoded item is safe to compare,
hash, log, send to peers and put into a header.
"""

import ipaddress
import math
import re
from collections.abc import Mapping
from typing import Any, Final, TypeAlias

#: A decoded JSON object.
Table: TypeAlias = Mapping[str, Any]

#: Far more than the keys of the store, which have at most 200 bytes.
MAX_NAME_CHARS: Final = 256
#: More than a request line may have on any known deployment.
MAX_TEXT_CHARS: Final = 8192
#: The largest integer that msgpack encodes with and without a sign.
MAX_INTEGER: Final = 2**63 - 1
#: Longer times are not told apart from this, about eleven days.
MAX_SECONDS: Final = 10**6
MAX_PORT: Final = 65535
_PORT_PATTERN: Final = re.compile('[1-9][0-9]{0,4}')


def require_table(field: object) -> Table:
    """Returns a JSON object.

    Raises:
        TypeError: The field has another type.
    """
    if not isinstance(field, dict):
        raise TypeError('a field is not an object')
    return field


def require_list(field: object) -> list[Any]:
    """Returns a JSON array.

    Raises:
        TypeError: The field has another type.
    """
    if not isinstance(field, list):
        raise TypeError('a field is not an array')
    return field


def require_flag(field: object) -> bool:
    """Returns a boolean.

    Raises:
        TypeError: The field has another type.
    """
    if not isinstance(field, bool):
        raise TypeError('a field is not a boolean')
    return field


def require_string(field: object) -> str:
    """Returns a text of any length and characters.

    Raises:
        TypeError: The field has another type.
    """
    if not isinstance(field, str):
        raise TypeError('a field is not a text')
    return field


def require_text(field: object) -> str:
    """Returns a printable text, which may be empty.

    Raises:
        TypeError: The field is no text.
        ValueError: The text is too long, or has control characters or lone
            surrogates.
    """
    text = require_string(field)
    if len(text) > MAX_TEXT_CHARS:
        raise ValueError('a text is too long')
    if not text.isprintable():
        raise ValueError('a text has characters that cannot be printed')
    return text


def require_name(field: object) -> str:
    """Returns a printable text that is neither empty nor long.

    Raises:
        TypeError: The field is no text.
        ValueError: The text is no name.
    """
    name = require_text(field)
    if not 0 < len(name) <= MAX_NAME_CHARS:
        raise ValueError('a name is empty or too long')
    return name


def require_token(field: object) -> str:
    """Returns a name that is a valid header value (RFC 9110, section 5.5).

    Raises:
        TypeError: The field is no text.
        ValueError: The text is no name or has other characters than ASCII.
    """
    token = require_name(field)
    if not token.isascii():
        raise ValueError('an identity has characters beyond ASCII')
    return token


def require_integer(field: object, low: int, high: int) -> int:
    """Returns an integer from ``low`` to ``high``, inclusive.

    Raises:
        TypeError: The field is no integer; a boolean is none.
        ValueError: The integer is out of range.
    """
    if isinstance(field, bool) or not isinstance(field, int):
        raise TypeError('a field is not an integer')
    if not low <= field <= high:
        raise ValueError('an integer is out of range')
    return field


def require_number(field: object, low: float, high: float) -> float:
    """Returns a finite number from ``low`` to ``high``, inclusive.

    Raises:
        TypeError: The field is no number; a boolean is none.
        ValueError: The number is out of range.
    """
    if isinstance(field, bool) or not isinstance(field, int | float):
        raise TypeError('a field is not a number')
    # A comparison with a NaN is false.
    if not low <= field <= high or not math.isfinite(field):
        raise ValueError('a number is out of range')
    return float(field)


def require_address(field: object) -> str:
    """Returns the ``ip:port`` of one host, an IPv4 address and a port.

    Raises:
        TypeError: The field is no text.
        ValueError: The text is no such address.
    """
    address = require_name(field)
    host, _, port = address.rpartition(':')
    if not _PORT_PATTERN.fullmatch(port) or int(port) > MAX_PORT:
        raise ValueError('the port of an address is out of range')
    parsed = ipaddress.IPv4Address(host)
    if parsed.is_unspecified or parsed.is_multicast:
        raise ValueError('an address does not belong to one host')
    return address
