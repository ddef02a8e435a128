"""Builders of malformed input: random field values and mutated bytes."""

import copy
import random

from hypothesis import strategies as st

#: Any JSON value, which replaces the valid value of a field.
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**63)
    | st.floats(allow_nan=True)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=6,
)
#: Any msgpack value; msgpack also has bytes.
MSGPACK_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**63)
    | st.floats(allow_nan=True)
    | st.text(max_size=8)
    | st.binary(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=10,
)
_HTTP_FRAGMENTS = (
    b'\r\n',
    b'\r\n\r\n',
    b'\n',
    b'\x00',
    b'Content-Length: 7\r\n',
    b'Content-Length: -1\r\n',
    b'Transfer-Encoding: chunked\r\n',
    b'Connection: close\r\n',
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 100 Continue\r\n\r\n',
    b'ffffffffffff\r\n',
    b'0\r\n\r\n',
    b' ' * 300,
)


def mutate(text, rng):
    """Returns ``text`` with one to four random edits."""
    changed = bytearray(text)
    for _ in range(rng.randint(1, 4)):
        at = rng.randrange(len(changed) + 1)
        edit = rng.randrange(4)
        if edit == 0:
            changed[at:at] = rng.choice(_HTTP_FRAGMENTS)
        elif edit == 1:
            del changed[at : at + rng.randint(1, 20)]
        elif edit == 2:
            changed[at : at + 1] = bytes([rng.randrange(256)])
        else:
            changed[at:at] = changed[at : at + rng.randint(1, 40)]
    return bytes(changed)


def some_mutated(texts, count, seed):
    rng = random.Random(seed)
    return [mutate(rng.choice(texts), rng) for _ in range(count)]


def field_paths(table, path=()):
    """Returns the path of every field in a nested table."""
    paths = []
    pairs = table.items() if isinstance(table, dict) else enumerate(table)
    for name, entry in pairs:
        paths.append((*path, name))
        if isinstance(entry, (dict, list)):
            paths.extend(field_paths(entry, (*path, name)))
    return paths


def with_field(table, path, replacement):
    """Returns a copy of a nested table with another value at ``path``."""
    changed = copy.deepcopy(table)
    inner = changed
    for name in path[:-1]:
        inner = inner[name]
    inner[path[-1]] = replacement
    return changed
