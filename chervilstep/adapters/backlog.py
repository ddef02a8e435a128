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
#: How long new connections wait in the backlog after a lack of room.
PAUSE_SECONDS: Final = 0.05
_SHORTAGES: Final = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)


@final
class Acceptor:
    """Accepts the connections of one listening socket.

    Without room or descriptors it pauses: the connections in the backlog keep
    the socket readable, and the loop would call it again at once.
    """

    __slots__ = (
        '_accept',
        '_has_room',
        '_is_stopped',
        '_listening',
        '_on_shortage',
    )

    def __init__(
        self,
        listening: socket.socket,
        accept: Callable[[socket.socket, object], None],
        on_shortage: Callable[[], None],
        has_room: Callable[[], bool],
    ) -> None:
        """Creates an acceptor; ``start`` begins to accept.

        ``has_room`` is called before each connection, and ``on_shortage`` where
        the process has no descriptor for it.
        """
        self._has_room = has_room
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
        with contextlib.suppress(BlockingIOError):
            for _ in range(ACCEPTS_PER_TURN):
                if self._is_stopped:
                    return
                if not self._has_room() or not self._accept_one():
                    self._pause()
                    return

    def _accept_one(self) -> bool:
        """Accepts a connection; returns False for want of a descriptor."""
        try:
            connection, address = self._listening.accept()
        except BlockingIOError:
            raise
        except OSError as fault:
            if fault.errno in _SHORTAGES:
                self._on_shortage()
                return False
            # The caller has closed the connection in the meantime.
            return True
        self._accept(connection, address)
        return True

    def _pause(self) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listening)
        loop.call_later(PAUSE_SECONDS, self.start)


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
                listening,
                self._handle_connection,
                self.handle_shortage,
                self.has_room,
            )
            number = listening.fileno()
            self._sockets[number] = listening
            self._handlers[number] = acceptor.stop
            acceptor.start()

    def has_room(self) -> bool:
        """Whether one more connection can be accepted now."""
        return True

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
