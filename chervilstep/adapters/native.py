"""The edge with the native HTTP interface of Chervilstep."""

from collections.abc import Callable
from typing import Final, final

from tornado import httpserver

from chervilstep.adapters.admin import new_admin
from chervilstep.adapters.backlog import BacklogServer
from chervilstep.adapters.edge import EDGES, NATIVE, CallHandler
from chervilstep.adapters.entry import EntryFrontEnd, new_entry_front_end
from chervilstep.adapters.streams import split_address
from chervilstep.node import Node
from chervilstep.types import Instant

#: The largest body that is read and discarded before it is refused.
DISCARD_LIMIT_BYTES: Final = 64 * 1024 * 1024
IDLE_TIMEOUT_SECONDS: Final = 600
BODY_TIMEOUT_SECONDS: Final = 30
#: Heads of up to this many times the configured limit are read, so that they
#: can be refused with a reason.
HEADER_READ_FACTOR: Final = 4


@final
class EntryServer(BacklogServer, httpserver.HTTPServer):
    """The HTTP server of the native interface."""

    # The base class has a __dict__, and this class adds no attributes.
    __slots__ = ()


@final
@EDGES.register(NATIVE)
class NativeEdge:
    """Serves callers over the native interface."""

    __slots__ = ('_admin', '_front_end', '_node', '_server')

    def __init__(
        self, node: Node, handle: CallHandler, clock: Callable[[], Instant]
    ) -> None:
        """Creates the servers without listening yet."""
        self._node = node
        self._admin = httpserver.HTTPServer(new_admin(node, clock))
        self._front_end: EntryFrontEnd = new_entry_front_end(
            node, handle, clock
        )
        self._server = EntryServer(
            self._front_end,
            idle_connection_timeout=IDLE_TIMEOUT_SECONDS,
            body_timeout=BODY_TIMEOUT_SECONDS,
            max_header_size=HEADER_READ_FACTOR
            * node.settings.header_limit_bytes,
            max_body_size=DISCARD_LIMIT_BYTES,
        )

    @property
    def in_flight(self) -> int:
        """The number of requests in progress."""
        return self._front_end.in_flight

    def listen(self) -> None:
        """Starts to accept connections of callers and operators."""
        settings = self._node.settings
        host, port = split_address(settings.admin_address)
        self._admin.listen(port, host)
        host, port = split_address(settings.entry_address)
        self._server.listen(port, host)

    def enter_lame_duck(self) -> None:
        """Does nothing: the locator directs callers to other instances."""

    def stop_accepting(self) -> None:
        """Stops accepting connections of callers."""
        self._server.stop()

    def close_idle(self) -> None:
        """Does nothing: idle connections do not delay the stop."""

    async def close(self) -> None:
        """Closes every connection."""
        self._admin.stop()
        await self._server.close_all_connections()
