"""Finds the line of a TOML file that a dotted path stands in."""

import re
from collections.abc import Iterator
from typing import Final

_HEADER: Final = re.compile(r'\s*\[(\[?)\s*([^\]]+?)\s*\]')
_KEY: Final = re.compile(r'\s*([A-Za-z0-9_.-]+)\s*=')
_INDEX: Final = re.compile(r'\[\d+\]$')


def line_of(text: str, path: str) -> int | None:
    """Returns the number of the line that defines ``path``.

    A path that is missing leads to the table that should hold it.
    """
    lines = {defined: number for number, defined in _definitions(text)}
    while path:
        found = lines.get(path) or lines.get(f'{path}[0]')
        if found:
            return found
        path = _parent_of(path)
    return None


def _definitions(text: str) -> Iterator[tuple[int, str]]:
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


def _parent_of(path: str) -> str:
    shorter = _INDEX.sub('', path)
    if shorter != path:
        return shorter
    return path.rpartition('.')[0]
