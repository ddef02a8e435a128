"""Starts child processes and terminates only these, by their ids."""

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

#: The range lies below the ephemeral ports of outgoing connections.
_FIRST_PORT: Final = 15000
_LAST_PORT: Final = 31000
_STOP_TIMEOUT_SECONDS: Final = 5
_POLL_SECONDS: Final = 0.05


@final
class Processes:
    """The child processes of a run; a context manager that ends them."""

    __slots__ = ('_children', '_folder')

    def __init__(self, folder: pathlib.Path) -> None:
        """Creates an empty group; the output of children goes to ``folder``."""
        self._folder = folder
        self._children: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> 'Processes':
        """Installs a SIGTERM handler, so that SIGTERM ends the children too."""
        signal.signal(signal.SIGTERM, _exit_on_signal)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Terminates every child, also after an error."""
        self.terminate_all()

    @property
    def ids(self) -> dict[str, int]:
        """The process ids of the running children by name."""
        return {
            name: child.pid
            for name, child in self._children.items()
            if child.poll() is None
        }

    def start(self, name: str, *arguments: str) -> None:
        """Starts ``python -m`` with the arguments as the child ``name``."""
        with (self._folder / f'{name}.log').open('ab') as log:
            self._children[name] = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def exit_code(self, name: str) -> int | None:
        """Returns the exit code of a child, or None while the child runs."""
        return self._children[name].poll()

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a child unless the child has exited."""
        child = self._children[name]
        if child.poll() is None:
            child.send_signal(number)

    async def wait_for_exit(self, name: str, seconds: float) -> None:
        """Waits until a child exits.

        Raises:
            TimeoutError: The child still runs after ``seconds``.
        """
        async with asyncio.timeout(seconds):
            while self._children[name].poll() is None:
                await asyncio.sleep(_POLL_SECONDS)

    def terminate_all(self) -> None:
        """Resumes and terminates every child; kills it after a timeout."""
        for name in self._children:
            self.send_signal(name, signal.SIGCONT)
            self.send_signal(name, signal.SIGTERM)
        deadline = time.monotonic() + _STOP_TIMEOUT_SECONDS
        while self.ids and time.monotonic() < deadline:
            time.sleep(_POLL_SECONDS)
        for name in tuple(self.ids):
            self.send_signal(name, signal.SIGKILL)
        for child in self._children.values():
            child.wait()


def free_ports(count: int) -> list[int]:
    """Returns free ports of the loopback address.

    The search starts at an offset by process id, so that parallel runs rarely
    find the same ports.

    Raises:
        OSError: The range has too few free ports.
    """
    span = _LAST_PORT - _FIRST_PORT
    found: list[int] = []
    offset = os.getpid() * 307
    for step in range(span):
        port = _FIRST_PORT + (offset + step) % span
        if _is_free(port):
            found.append(port)
        if len(found) == count:
            return found
    raise OSError(
        f'fewer than {count} ports between {_FIRST_PORT} and {_LAST_PORT}'
        ' are free'
    )


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


def _exit_on_signal(number: int, frame: object) -> None:
    sys.exit(1)
