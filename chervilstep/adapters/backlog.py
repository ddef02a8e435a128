"""A TCP server that serves its backlog when it stops listening."""

import contextlib
import socket

from tornado import tcpserver


class BacklogServer(tcpserver.TCPServer):
    """Accepts the connections that wait in its backlog before it stops.

    The kernel would reset them, and the requests sent on them would be lost.
    """

    # The base class has a __dict__, and this class adds no attributes.
    __slots__ = ()

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
