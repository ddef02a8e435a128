"""The edge with the native HTTP interface of Chervilstep."""

from collections.abc import Callable
from typing import Final, final

from chervilstep.adapters.admin import AdminServer, new_admin
from chervilstep.adapters.admission import new_admission
from chervilstep.adapters.edge import EDGES, NATIVE, CallHandler
from chervilstep.adapters.entry import EntryFrontEnd, new_entry_front_end
from chervilstep.adapters.http1 import PipelineServer
from chervilstep.adapters.servers import new_server
from chervilstep.adapters.streams import split_address
from chervilstep.catalog import ClientLimits
from chervilstep.exceptions import OverloadError, RequestError
from chervilstep.node import Node
from chervilstep.queries.partition import Address
from chervilstep.types import Instant

IDLE_TIMEOUT_SECONDS: Final = 600
HEAD_TIMEOUT_SECONDS: Final = 30


@final
@EDGES.register(NATIVE)
class NativeEdge:
    """Serves callers over the native interface."""

    __slots__ = ('_admin', '_node', '_server')

    def __init__(
        self, node: Node, handle: CallHandler, clock: Callable[[], Instant]
    ) -> None:
        """Creates the servers without listening yet."""
        self._node = node
        self._admin = AdminServer(
            new_admin(node, clock),
            new_admission(node, Address.METRICS, clock),
        )
        front_end = new_entry_front_end(node, handle, clock)
        self._server = new_entry_server(front_end, clock)

    @property
    def in_flight(self) -> int:
        """The number of requests in progress."""
        return self._server.requests_in_progress

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
        self._admin.close_all()
        self._server.stop()
        self._server.close_all()


def new_entry_server(
    front_end: EntryFrontEnd, clock: Callable[[], Instant]
) -> PipelineServer:
    """Creates the server of the native interface, without listening yet."""
    node = front_end.node

    def read_limits() -> ClientLimits:
        return ClientLimits(
            node.settings.header_limit_bytes,
            node.settings.body_limit_bytes,
            HEAD_TIMEOUT_SECONDS,
            IDLE_TIMEOUT_SECONDS,
        )

    def record_unread(error: RequestError) -> None:
        if not isinstance(error, OverloadError):
            node.counters.add('requests_malformed', status=str(error.status))

    return new_server(
        node,
        Address.CALLERS,
        clock,
        front_end.serve,
        read_limits,
        record_unread,
        refuse=front_end.refuse_unread,
        is_leaving=lambda: node.members.is_leaving,
        requires_host=False,
    )
