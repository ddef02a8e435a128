"""Builds the distributed binary, an executable zip archive.

The archive contains the package, its dependencies with their C extensions, and
``bootstrap.py``. A machine that runs it needs only the Python version that the
archive was built with.
"""

import importlib.metadata
import pathlib
import py_compile
import re
import sys
import tempfile
import zipfile
from collections.abc import Iterator
from typing import Final

from packaging.requirements import Requirement

ROOT: Final = pathlib.Path(__file__).parent.parent
TARGET: Final = ROOT / 'dist' / 'chervilstep'
#: Libraries to include; matplotlib, for plots of the report, is left out.
LIBRARIES: Final = (
    'defopt',
    'jinja2',
    'msgpack',
    'opentelemetry-exporter-prometheus',
    'opentelemetry-sdk',
    'structlog',
    'tornado',
    'xxhash',
)
SHEBANG: Final = b'#!/usr/bin/env python3\n'
_EXCLUDED_FILES: Final = re.compile(r'(^|/)(tests?|__pycache__)/|^\.\.|\.pyi$')


def build(target: pathlib.Path = TARGET) -> pathlib.Path:
    """Builds the archive at ``target`` and returns its path."""
    target.parent.mkdir(exist_ok=True)
    with target.open('wb') as binary:
        binary.write(SHEBANG)
        with zipfile.ZipFile(binary, 'w', zipfile.ZIP_DEFLATED) as archive:
            files = sorted(_archive_files())
            # zipimport finds namespace packages only by a directory entry.
            for folder in sorted(_parent_folders(name for name, _ in files)):
                archive.writestr(f'{folder}/', b'')
            for name, path in files:
                archive.write(path, name)
                if name.endswith('.py'):
                    archive.writestr(f'{name}c', _compile(path))
    target.chmod(0o755)
    return target


def dependency_closure(
    names: Iterator[str] | tuple[str, ...],
) -> frozenset[str]:
    """Returns ``names`` and the names of all transitive dependencies."""
    found: set[str] = set()
    pending = list(names)
    while pending:
        name = pending.pop().lower().replace('_', '-')
        if name in found:
            continue
        found.add(name)
        pending.extend(_direct_dependencies(name))
    return frozenset(found)


def _compile(path: pathlib.Path) -> bytes:
    """Returns the byte code of a module, so that no start has to compile it."""
    with tempfile.TemporaryDirectory() as folder:
        target = pathlib.Path(folder) / 'module.pyc'
        py_compile.compile(
            str(path),
            str(target),
            dfile=path.name,
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
        )
        return target.read_bytes()


def _parent_folders(names: Iterator[str]) -> frozenset[str]:
    return frozenset(
        str(parent)
        for name in names
        for parent in pathlib.PurePosixPath(name).parents
        if parent.name
    )


def _direct_dependencies(name: str) -> Iterator[str]:
    for requirement in map(
        Requirement, importlib.metadata.requires(name) or ()
    ):
        if requirement.marker is None or requirement.marker.evaluate(
            {'extra': ''}
        ):
            yield requirement.name


def _archive_files() -> Iterator[tuple[str, pathlib.Path]]:
    yield '__main__.py', ROOT / 'tools' / 'bootstrap.py'
    for path in (ROOT / 'chervilstep').rglob('*.py'):
        yield str(path.relative_to(ROOT)), path
    for name in dependency_closure(LIBRARIES):
        for file in importlib.metadata.files(name) or ():
            if not _EXCLUDED_FILES.search(str(file)):
                yield str(file), pathlib.Path(str(file.locate()))


if __name__ == '__main__':
    sys.stdout.write(f'{build().name}\n')
