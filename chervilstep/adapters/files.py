"""The source for a single instance: a TOML file, or a directory of them."""

import asyncio
import pathlib
from collections.abc import Iterator
from typing import Final, final

from chervilstep.adapters.source import SOURCES
from chervilstep.commands.configuration import apply_sections
from chervilstep.node import Node

POLL_SECONDS: Final = 1
READ_FAILURES: Final = 'source_failures'


@final
@SOURCES.register('file')
class FileSource:
    """Reads ``file:PATH`` again whenever its text changed.

    Each file is a section called by the stem of its name. The revisions
    count the changes since the start of the process.
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
        """Reads until it is cancelled."""
        while True:
            self.read_once(asyncio.get_running_loop().time())
            await asyncio.sleep(POLL_SECONDS)

    def read_once(self, now: float) -> None:
        """Offers the sections whose text changed."""
        try:
            texts = dict(self._read())
        except (OSError, UnicodeDecodeError) as fault:
            self._node.counters.add(READ_FAILURES)
            self._tell(str(fault))
            return
        self._tell('')
        offers = []
        for name in sorted(texts.keys() | self._texts.keys()):
            if texts.get(name) != self._texts.get(name):
                self._revision += 1
                offers.append((name, self._revision, texts.get(name)))
        self._texts = texts
        apply_sections(self._node, offers, now)

    def _tell(self, fault: str) -> None:
        """Writes a line when the files become unreadable, or readable."""
        if fault != self._fault:
            name = 'source_unreadable' if fault else 'source_regained'
            self._node.events.add(name, path=str(self._path), fault=fault)
        self._fault = fault

    def _read(self) -> Iterator[tuple[str, str]]:
        paths = [self._path]
        if self._path.is_dir():
            paths = sorted(self._path.glob('*.toml'))
        for path in paths:
            yield path.stem.lower(), path.read_text('utf-8')
