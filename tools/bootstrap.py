"""Starts chervilstep from a zip archive, loading C extensions from memory.

Python imports pure modules from a zip archive, but not C extensions, because
the dynamic loader of the system requires a file. Each extension is copied to
an anonymous file in memory and loaded through its descriptor, so that nothing
is unpacked to disk and no other process is started.
"""

import importlib.machinery
import importlib.util
import os
import sys
import zipfile
from collections.abc import Sequence
from importlib.abc import MetaPathFinder
from types import ModuleType
from typing import Final, final

EXTENSION_SUFFIX: Final = importlib.machinery.EXTENSION_SUFFIXES[0]


@final
class MemoryFinder(MetaPathFinder):
    """Finds the C extensions in the archive that is running."""

    __slots__ = ('_archive', '_names')

    def __init__(self, archive: str) -> None:
        """Reads the names of the extensions in ``archive``."""
        self._archive = archive
        with zipfile.ZipFile(archive) as opened:
            self._names = frozenset(
                name for name in opened.namelist() if name.endswith('.so')
            )

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: ModuleType | None = None,
    ) -> importlib.machinery.ModuleSpec | None:
        """Returns the spec of a C extension, or None for other modules."""
        name = fullname.replace('.', '/') + EXTENSION_SUFFIX
        if name not in self._names:
            return None
        with zipfile.ZipFile(self._archive) as opened:
            code = opened.read(name)
        location = _copy_to_memory(fullname, code)
        loader = importlib.machinery.ExtensionFileLoader(fullname, location)
        return importlib.util.spec_from_file_location(
            fullname, location, loader=loader
        )


def _copy_to_memory(name: str, code: bytes) -> str:
    """Copies ``code`` to an anonymous file in memory and returns its path.

    The descriptor stays open until the process ends, since the path refers
    to it.
    """
    descriptor = os.memfd_create(name, os.MFD_CLOEXEC)
    with os.fdopen(os.dup(descriptor), 'wb') as copy:
        copy.write(code)
    return f'/proc/self/fd/{descriptor}'


def run() -> int:
    """Runs the command line interface of the archive in ``sys.path[0]``."""
    sys.meta_path.insert(0, MemoryFinder(sys.path[0]))
    from chervilstep.cmdline import main

    return main()


if __name__ == '__main__':
    sys.exit(run())
