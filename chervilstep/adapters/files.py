"""The source for a single instance: a TOML file, or a directory of them."""

import asyncio
import pathlib
from collections.abc import Iterator
from typing import Final, final

from chervilstep.adapters.source import SOURCES
from chervilstep.commands.configuration import offer_section
from chervilstep.commands.platform import confirm_alone, take_instances
from chervilstep.members import Instance
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

    __slots__ = ('_node', '_path', '_revision', '_texts')

    def __init__(self, node: Node, url: str) -> None:
        """Creates the source of the file or directory in ``url``."""
        self._node = node
        self._path = pathlib.Path(url.partition(':')[2])
        self._texts: dict[str, str] = {}
        self._revision = 0

    async def run(self) -> None:
        """Lists this instance alone, then reads until it is cancelled."""
        take_instances(
            self._node, 1, [self._itself()], gone=(), is_complete=True
        )
        while True:
            self.read_once(asyncio.get_running_loop().time())
            await asyncio.sleep(POLL_SECONDS)

    def read_once(self, now: float) -> None:
        """Offers the sections whose text changed."""
        try:
            texts = dict(self._read())
        except (OSError, UnicodeDecodeError):
            self._node.counters.add(READ_FAILURES)
            return
        for name in sorted(texts.keys() | self._texts.keys()):
            if texts.get(name) != self._texts.get(name):
                self._revision += 1
                offer_section(
                    self._node, name, self._revision, texts.get(name), now
                )
        self._texts = texts
        confirm_alone(self._node, now)

    def _read(self) -> Iterator[tuple[str, str]]:
        paths = [self._path]
        if self._path.is_dir():
            paths = sorted(self._path.glob('*.toml'))
        for path in paths:
            yield path.stem.lower(), path.read_text('utf-8')

    def _itself(self) -> Instance:
        settings = self._node.settings
        return Instance(
            settings.name,
            settings.zone,
            settings.entry_address,
            settings.peer_address,
        )
