"""The front end that speaks this project's own interface."""

from collections.abc import Callable
from typing import Final, final

from tornado import httpserver

from chervilstep.adapters.admin import new_admin
from chervilstep.adapters.edge import EDGES, NATIVE, Handle
from chervilstep.adapters.entry import EntryFront, new_entry_front
from chervilstep.adapters.streams import split_address
from chervilstep.node import Node
from chervilstep.types import Instant

#: The largest body that is read in order to be thrown away.
DISCARD_LIMIT_BYTES: Final = 64 * 1024 * 1024
IDLE_CONNECTION_SECONDS: Final = 600
BODY_SECONDS: Final = 30
#: Heads above the limit of the settings, up to this many times, are read so
#: that they can be refused with a reason.
HEADER_GRACE: Final = 4


@final
@EDGES.register(NATIVE)
class NativeEdge:
    """Serves callers of this project's own interface."""

    __slots__ = ('_admin', '_front', '_node', '_server')

    def __init__(
        self, node: Node, handle: Handle, clock: Callable[[], Instant]
    ) -> None:
        """Builds the server; nothing listens yet."""
        self._node = node
        self._admin = httpserver.HTTPServer(new_admin(node, clock))
        self._front: EntryFront = new_entry_front(node, handle, clock)
        self._server = httpserver.HTTPServer(
            self._front,
            idle_connection_timeout=IDLE_CONNECTION_SECONDS,
            body_timeout=BODY_SECONDS,
            max_header_size=HEADER_GRACE * node.settings.header_limit_bytes,
            max_body_size=DISCARD_LIMIT_BYTES,
        )

    @property
    def in_flight(self) -> int:
        """How many requests are being answered."""
        return self._front.in_flight

    def listen(self) -> None:
        """Takes connections of callers and of operators."""
        settings = self._node.settings
        host, port = split_address(settings.admin_address)
        self._admin.listen(port, host)
        host, port = split_address(settings.entry_address)
        self._server.listen(port, host)

    def leave(self) -> None:
        """Leaves it to the locator to tell callers."""

    def stop(self) -> None:
        """Takes no new connections."""
        self._server.stop()

    def retire(self) -> None:
        """Leaves idle connections to the end: they cost nothing here."""

    async def close(self) -> None:
        """Closes every connection."""
        self._admin.stop()
        await self._server.close_all_connections()
