"""A TCP server that outlasts a lack of descriptors, and serves its backlog."""

import asyncio
import contextlib
import errno
import socket
from collections.abc import Callable, Iterable
from typing import Final, final

from tornado import tcpserver

#: A turn of the event loop accepts at most so many connections.
ACCEPTS_PER_TURN: Final = 16
#: How long no connection is accepted after a lack of descriptors or memory.
PAUSE_SECONDS: Final = 0.1
_SHORTAGES: Final = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)


@final
class Acceptor:
    """Accepts the connections of one listening socket.

    Without descriptors it pauses: the connections in the backlog keep the
    socket readable, and the loop would call it again at once.
    """

    __slots__ = ('_accept', '_is_stopped', '_listening', '_on_shortage')

    def __init__(
        self,
        listening: socket.socket,
        accept: Callable[[socket.socket, object], None],
        on_shortage: Callable[[], None],
    ) -> None:
        """Creates an acceptor; ``start`` begins to accept."""
        self._listening = listening
        self._accept = accept
        self._on_shortage = on_shortage
        self._is_stopped = False

    def start(self) -> None:
        """Accepts connections until stopped."""
        if not self._is_stopped:
            loop = asyncio.get_running_loop()
            loop.add_reader(self._listening, self._accept_some)

    def stop(self) -> None:
        """Accepts no further connections."""
        self._is_stopped = True
        asyncio.get_running_loop().remove_reader(self._listening)

    def _accept_some(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            if self._is_stopped:
                return
            try:
                connection, address = self._listening.accept()
            except BlockingIOError:
                return
            except OSError as fault:
                if fault.errno in _SHORTAGES:
                    self._pause()
                    return
                # The caller has closed the connection in the meantime.
                continue
            self._accept(connection, address)

    def _pause(self) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listening)
        loop.call_later(PAUSE_SECONDS, self.start)
        self._on_shortage()


class BacklogServer(tcpserver.TCPServer):
    """Accepts the connections that wait in its backlog before it stops.

    The kernel would reset them, and the requests sent on them would be lost.
    """

    # The base class has a __dict__, and this class adds no attributes.
    __slots__ = ()

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Starts to accept connections on listening sockets."""
        for listening in sockets:
            acceptor = Acceptor(
                listening, self._handle_connection, self.handle_shortage
            )
            number = listening.fileno()
            self._sockets[number] = listening
            self._handlers[number] = acceptor.stop
            acceptor.start()

    def handle_shortage(self) -> None:
        """Called when a connection could not be accepted; does nothing."""

    def stop(self) -> None:
        """Stops listening after accepting the connections in the backlog."""
        for listening in self._sockets.values():
            self._accept_backlog(listening)
        super().stop()

    def _accept_backlog(self, listening: socket.socket) -> None:
        # Ends with BlockingIOError, or another error if stopped before.
        with contextlib.suppress(OSError):
            while True:
                connection, address = listening.accept()
                self._handle_connection(connection, address)
