"""Starts chervilstep from one file, loading C extensions from memory.

Python imports pure modules from a zip file, but not extensions, since the
loader of the system wants a file. Here each extension is copied to an
anonymous file in memory and loaded through its descriptor, so that nothing is
unpacked to a disk and no other process is started.
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

SUFFIX: Final = importlib.machinery.EXTENSION_SUFFIXES[0]


@final
class MemoryFinder(MetaPathFinder):
    """Finds the extensions of the file that this program was started from."""

    __slots__ = ('_archive', '_names')

    def __init__(self, archive: str) -> None:
        """Lists the extensions in ``archive``."""
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
        """Returns how to load an extension, or None for anything else."""
        name = fullname.replace('.', '/') + SUFFIX
        if name not in self._names:
            return None
        with zipfile.ZipFile(self._archive) as opened:
            code = opened.read(name)
        location = _in_memory(fullname, code)
        loader = importlib.machinery.ExtensionFileLoader(fullname, location)
        return importlib.util.spec_from_file_location(
            fullname, location, loader=loader
        )


def _in_memory(name: str, code: bytes) -> str:
    """Copies ``code`` to memory and returns a path to it.

    The descriptor stays open for as long as the process runs.
    """
    descriptor = os.memfd_create(name, os.MFD_CLOEXEC)
    with os.fdopen(os.dup(descriptor), 'wb') as copy:
        copy.write(code)
    return f'/proc/self/fd/{descriptor}'


def run() -> int:
    """Runs the command line of the archive in ``sys.path[0]``."""
    sys.meta_path.insert(0, MemoryFinder(sys.path[0]))
    from chervilstep.cmdline import main

    return main()


if __name__ == '__main__':
    sys.exit(run())
