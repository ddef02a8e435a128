"""An HTTP/1.1 server that handles pipelined requests concurrently.

The server of Tornado reads a request only after the response to the previous
one. Pipelined requests would then run one after another, and a disconnect of
the caller would go unnoticed while a request is handled. This server runs
pipelined requests concurrently and writes responses in the order of requests.
"""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from typing import final

from tornado import httputil, iostream

from chervilstep.adapters.backlog import BacklogServer
from chervilstep.adapters.callerinput import READ_BYTES
from chervilstep.adapters.connection import ServerConnection
from chervilstep.adapters.exchanges import (
    Handler,
    RequestLimits,
    RequestReservation,
    ServerOptions,
)
from chervilstep.adapters.requests import Request, Response
from chervilstep.adapters.turnstile import Turnstile
from chervilstep.callers import ConnectionTable
from chervilstep.exceptions import RequestError
from chervilstep.queries.callers import (
    connection_to_evict,
    largest_holder,
    receive_buffer_bytes,
)


@final
class PipelineServer(BacklogServer):
    """Accepts connections and passes their requests to a handler."""

    # The base class has a __dict__; the slots declare the attributes.
    __slots__ = (
        '_connections',
        '_discards',
        '_handler',
        '_is_lame_duck',
        '_limits',
        '_new_reservation',
        '_on_refusal',
        '_options',
        '_receive_bytes',
        '_turnstile',
    )

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], RequestLimits],
        on_refusal: Callable[[RequestError], None],
        new_reservation: Callable[[httputil.HTTPHeaders], RequestReservation],
        options: ServerOptions | None = None,
    ) -> None:
        """Creates a server; ``limits`` is called for each request."""
        super().__init__(read_chunk_size=READ_BYTES)
        self._new_reservation = new_reservation
        self._handler = handler
        self._limits = limits
        self._on_refusal = on_refusal
        self._options = options or ServerOptions()
        self._is_lame_duck = False
        self._connections: ConnectionTable[ServerConnection] = ConnectionTable()
        self._receive_bytes = 0
        self._turnstile = Turnstile()
        self._discards = Turnstile()

    @property
    def connections(self) -> ConnectionTable[ServerConnection]:
        """The open connections."""
        return self._connections

    @property
    def discards(self) -> Turnstile:
        """The turns in which unwanted input is dropped."""
        return self._discards

    @property
    def limits(self) -> RequestLimits:
        """The current limits on requests."""
        return self._limits()

    @property
    def options(self) -> ServerOptions:
        """What differs between servers."""
        return self._options

    @property
    def is_lame_duck(self) -> bool:
        """Whether connections are closed after their pending responses."""
        return self._is_lame_duck or self._options.is_leaving()

    @property
    def open_connections(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    @property
    def requests_in_progress(self) -> int:
        """The number of requests that are read or handled."""
        connections = self._connections.connections
        return sum(not connection.is_idle for connection in connections)

    @property
    def turnstile(self) -> Turnstile:
        """The turns that long bodies of all connections take."""
        return self._turnstile

    def new_reservation(
        self, headers: httputil.HTTPHeaders
    ) -> RequestReservation:
        """Returns the reservation for the body of a request."""
        return self._new_reservation(headers)

    def handle(self, request: Request) -> Awaitable[Response]:
        """Calls the handler with a request."""
        return self._handler(request)

    def report_refusal(self, error: RequestError) -> None:
        """Reports a request that was not read to ``on_refusal``."""
        self._on_refusal(error)

    def enter_lame_duck(self) -> None:
        """Starts to close connections after their pending responses."""
        self._is_lame_duck = True

    def close_idle(self) -> None:
        """Closes the connections on which no request is in progress.

        A request that arrives later is not read, so it has not run.
        """
        for connection in self._connections.connections:
            if connection.is_idle:
                connection.close()

    def close_all(self) -> None:
        """Closes every connection."""
        for connection in self._connections.connections:
            connection.close()

    def shut_down_writes(self, stream: iostream.IOStream) -> None:
        """Shuts down the write side of a stream."""
        try:
            stream.socket.shutdown(socket.SHUT_WR)
        except OSError:
            # The caller has already closed the connection.
            stream.close()

    def count_input(
        self, connection: ServerConnection, buffered_bytes: int
    ) -> None:
        """Counts buffered input; closes connections where it is too much."""
        self._connections.count_buffered(connection, buffered_bytes)
        limits = self._options.admission.limits
        while holder := largest_holder(self._connections, limits):
            self._evict(holder, 'input')

    def has_room(self) -> bool:
        """Whether a connection can be accepted; may close another one for it.

        Without room new callers wait in the backlog: a request that is handled
        soon makes room.
        """
        limit = self._options.admission.limits.connections
        while self.open_connections >= limit:
            if not self._make_room('connections'):
                self._options.admission.report_closed('full', None)
                return False
        return True

    def handle_shortage(self) -> None:
        """Frees the descriptor of a connection."""
        self._make_room('descriptors')

    async def handle_stream(
        self, stream: iostream.IOStream, address: object
    ) -> None:
        """Serves an accepted connection until it is closed."""
        stream.set_nodelay(True)
        connection = ServerConnection(self, stream)
        now = asyncio.get_running_loop().time()
        with contextlib.ExitStack() as stack:
            self._connections.add(connection, now)
            stack.callback(self._connections.remove, connection)
            self._share_receive_buffers(connection)
            await connection.run()

    def _make_room(self, reason: str) -> bool:
        """Closes a connection that gives way to others, if there is one."""
        now = asyncio.get_running_loop().time()
        connection = connection_to_evict(self._connections, now)
        if connection is None:
            return False
        self._evict(connection, reason)
        return True

    def _evict(self, connection: ServerConnection, reason: str) -> None:
        phase = self._connections.phase_of(connection)
        self._options.admission.report_closed(reason, phase)
        self._connections.remove(connection)
        connection.close()

    def _share_receive_buffers(self, connection: ServerConnection) -> None:
        """Divides the kernel's memory for input among all connections."""
        size = receive_buffer_bytes(
            len(self._connections), self._options.admission.limits
        )
        if size == self._receive_bytes:
            if size:
                connection.set_receive_buffer(size)
            return
        if size and (size < self._receive_bytes or not self._receive_bytes):
            for other in self._connections.connections:
                other.set_receive_buffer(size)
        self._receive_bytes = size
