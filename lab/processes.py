"""Starts processes of this machine and ends exactly those, by their ids."""

import asyncio
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from types import TracebackType
from typing import Final, final

#: Ports below those that the system gives to outgoing connections.
_FIRST_PORT: Final = 15000
_LAST_PORT: Final = 31000
_STOP_SECONDS: Final = 5
_POLL_SECONDS: Final = 0.05


@final
class Processes:
    """The child processes of a run; leaving the block ends them all."""

    __slots__ = ('_children', '_folder')

    def __init__(self, folder: pathlib.Path) -> None:
        """Starts without children; their output goes to ``folder``."""
        self._folder = folder
        self._children: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> 'Processes':
        """Makes an end by SIGTERM end the children too."""
        signal.signal(signal.SIGTERM, _exit_on_signal)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Ends every child, also after an error."""
        self.end_all()

    @property
    def ids(self) -> dict[str, int]:
        """The process ids of the children that run, by name."""
        return {
            name: child.pid
            for name, child in self._children.items()
            if child.poll() is None
        }

    def start(self, name: str, *arguments: str) -> None:
        """Starts ``python -m`` with the arguments."""
        with (self._folder / f'{name}.log').open('ab') as log:
            self._children[name] = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def exit_code(self, name: str) -> int | None:
        """The exit code of a child, or None while it runs."""
        return self._children[name].poll()

    def send(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to one child that still runs."""
        child = self._children[name]
        if child.poll() is None:
            child.send_signal(number)

    async def ended(self, name: str, seconds: float) -> None:
        """Waits for one child to end.

        Raises:
            TimeoutError: It still runs after ``seconds``.
        """
        async with asyncio.timeout(seconds):
            while self._children[name].poll() is None:
                await asyncio.sleep(_POLL_SECONDS)

    def end_all(self) -> None:
        """Asks every child to stop and kills those that do not."""
        for name in self._children:
            self.send(name, signal.SIGCONT)
            self.send(name, signal.SIGTERM)
        until = time.monotonic() + _STOP_SECONDS
        while self.ids and time.monotonic() < until:
            time.sleep(_POLL_SECONDS)
        for name in tuple(self.ids):
            self.send(name, signal.SIGKILL)
        for child in self._children.values():
            child.wait()


def free_ports(count: int) -> list[int]:
    """Finds ports of the loopback address that nothing listens on."""
    span = _LAST_PORT - _FIRST_PORT
    found: list[int] = []
    offset = os.getpid() * 307
    for step in range(span):
        port = _FIRST_PORT + (offset + step) % span
        if _is_free(port):
            found.append(port)
        if len(found) == count:
            return found
    raise OSError(f'fewer than {count} ports are free')


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


def _exit_on_signal(number: int, frame: object) -> None:
    sys.exit(1)
