"""The configuration source for TOML files on a local disk."""

import asyncio
import pathlib
from collections.abc import Iterator
from typing import Final, final

from chervilstep.adapters.source import SOURCES
from chervilstep.commands.configuration import apply_sections
from chervilstep.node import Node
from chervilstep.revisions import Revision

POLL_PERIOD_SECONDS: Final = 1
READ_FAILURES_COUNTER: Final = 'source_failures'


@final
@SOURCES.register('file')
class FileSource:
    """Polls the file or directory of ``file:PATH`` for changes.

    Each file is a section, named by the stem of the file name in lower case.
    Revisions count the changes since the start of the process, so this source
    is meant for a single instance.
    """

    __slots__ = ('_fault', '_node', '_path', '_revision', '_texts')

    def __init__(self, node: Node, url: str) -> None:
        """Creates the source of the file or directory in ``url``."""
        self._node = node
        self._path = pathlib.Path(url.partition(':')[2])
        self._texts: dict[str, str] = {}
        self._revision = 0
        self._fault = ''

    async def run(self) -> None:
        """Polls the files until cancelled."""
        while True:
            self.read_once(asyncio.get_running_loop().time())
            await asyncio.sleep(POLL_PERIOD_SECONDS)

    def read_once(self, now: float) -> None:
        """Reads the files and applies the sections that have changed."""
        try:
            texts = dict(self._read_sections())
        except (OSError, UnicodeDecodeError) as fault:
            self._node.counters.add(READ_FAILURES_COUNTER)
            self._record_fault(str(fault))
            return
        self._record_fault('')
        revisions = []
        for name in sorted(texts.keys() | self._texts.keys()):
            if texts.get(name) != self._texts.get(name):
                self._revision += 1
                revision = Revision(self._revision)
                revisions.append((name, revision, texts.get(name)))
        self._texts = texts
        apply_sections(self._node, revisions, now)

    def _record_fault(self, fault: str) -> None:
        """Records an event when the files become unreadable or readable."""
        if fault != self._fault:
            name = 'source_unreadable' if fault else 'source_regained'
            self._node.events.add(name, path=str(self._path), fault=fault)
        self._fault = fault

    def _read_sections(self) -> Iterator[tuple[str, str]]:
        paths = [self._path]
        if self._path.is_dir():
            paths = sorted(self._path.glob('*.toml'))
        for path in paths:
            yield path.stem.lower(), path.read_text('utf-8')
