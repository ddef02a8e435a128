"""Finds the line of a TOML file that defines a dotted path."""

import re
from collections.abc import Iterator
from typing import Final

_HEADER: Final = re.compile(r'\s*\[(\[?)\s*([^\]]+?)\s*\]')
_KEY: Final = re.compile(r'\s*([A-Za-z0-9_.-]+)\s*=')
_INDEX: Final = re.compile(r'\[\d+\]$')


def line_number(text: str, path: str) -> int | None:
    """Returns the number of the line that defines ``path``.

    For a path that is not defined, this is the line of its closest parent, or
    None when no parent is defined either.
    """
    numbers = {
        defined_path: number for number, defined_path in _defined_paths(text)
    }
    while path:
        found = numbers.get(path) or numbers.get(f'{path}[0]')
        if found:
            return found
        path = _parent_path(path)
    return None


def _defined_paths(text: str) -> Iterator[tuple[int, str]]:
    prefix = ''
    counts: dict[str, int] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        header = _HEADER.match(line)
        key = _KEY.match(line)
        if header and header.group(1):
            name = header.group(2)
            counts[name] = counts.get(name, -1) + 1
            prefix = f'{name}[{counts[name]}]'
            yield number, prefix
        elif header:
            prefix = header.group(2)
            yield number, prefix
        elif key:
            yield number, f'{prefix}.{key.group(1)}'.removeprefix('.')


def _parent_path(path: str) -> str:
    without_index = _INDEX.sub('', path)
    if without_index != path:
        return without_index
    return path.rpartition('.')[0]
