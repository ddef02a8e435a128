"""An HTTP/1.1 server that handles pipelined requests concurrently.

The server of Tornado reads a request only after the response to the previous
one. Pipelined requests would then run one after another, and a disconnect of
the caller would go unnoticed while a request is handled. This server runs
pipelined requests concurrently and writes responses in the order of requests.
"""

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final, final

from tornado import httputil, iostream

from chervilstep.adapters.backlog import BacklogServer
from chervilstep.adapters.exchanges import (
    Exchange,
    Handler,
    RequestLimits,
    RequestReservation,
    drop_written,
    refusal_response,
    response_of,
)
from chervilstep.adapters.framing import Framing, parse_framing, read_body
from chervilstep.adapters.requests import Request, Response, parse_head
from chervilstep.adapters.streams import (
    discarded_input,
    has_pending_input,
    ignore_exception,
)
from chervilstep.calls import Body
from chervilstep.exceptions import RequestError
from chervilstep.types import Deadline, Instant, new_deadline

#: The limit on concurrent requests of a connection, where reading pauses.
MAX_PIPELINED_REQUESTS: Final = 16
#: How long a connection stays open for reading after its last response, and after
#: further input: a caller that still sends a refused body reads the refusal later.
LINGER_SECONDS: Final = 1.0
MAX_LINGER_SECONDS: Final = 10.0
#: Heads of up to this many times the limit are read and answered with 431;
#: larger ones close the connection.
HEAD_READ_FACTOR: Final = 2

_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_HEAD_END: Final = rb'\r?\n\r?\n'


@final
class ServerConnection:
    """One connection of a caller."""

    __slots__ = (
        '_can_read',
        '_discarded_at',
        '_exchanges',
        '_is_closing',
        '_is_receiving',
        '_sent_last_response',
        '_server',
        '_stream',
        '_timer',
    )

    def __init__(
        self, server: 'PipelineServer', stream: iostream.IOStream
    ) -> None:
        """Creates a connection on an accepted stream."""
        self._server = server
        self._stream = stream
        self._exchanges: deque[Exchange] = deque()
        self._can_read = asyncio.Event()
        self._can_read.set()
        self._is_closing = False
        self._sent_last_response = False
        self._is_receiving = False
        self._timer: asyncio.TimerHandle | None = None
        self._discarded_at: Instant = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request is handled, being read or waits to be read."""
        if self._exchanges or self._is_receiving:
            return False
        return self._stream.closed() or not has_pending_input(
            self._stream.socket
        )

    async def run(self) -> None:
        """Reads requests until the connection is closed."""
        try:
            await self._read_requests()
        except iostream.StreamClosedError:
            self._abort()
        except RequestError as error:
            self._refuse_malformed(error)
        except iostream.UnsatisfiableReadError:
            self._refuse_malformed(RequestError(431, 'The head is too large.'))
        finally:
            self._cancel_timer()

    def close(self) -> None:
        """Cancels the requests in progress and closes the connection."""
        self._abort()
        self._stream.close()

    async def _read_requests(self) -> None:
        while not self._is_closing:
            await self._can_read.wait()
            self._start_idle_timer()
            request = await self._read_request()
            self._is_receiving = False
            if self._sent_last_response:
                # A request that follows the last response is not handled.
                break
            self._start_exchange(
                self._server.handle(request), is_head=request.method == 'HEAD'
            )
        # Detects that the caller closes the connection.
        await self._discard_all()

    async def _read_request(self) -> Request:
        limits = self._server.limits
        head = await self._stream.read_until_regex(
            _HEAD_END, max_bytes=HEAD_READ_FACTOR * limits.head_bytes
        )
        if len(head) > limits.head_bytes:
            raise RequestError(431, 'The head is too large.')
        self._cancel_timer()
        self._is_receiving = True
        start, headers = parse_head(head)
        framing = parse_framing(headers, limits.body_bytes)
        body: Body = b''
        holding = None
        if framing.has_body:
            reservation = self._server.new_reservation(headers)
            body = await self._read_body(headers, framing, reservation)
            holding = reservation.holding
        if headers.get('Connection', '').lower() == 'close':
            self._is_closing = True
        if start.version == 'HTTP/1.0':
            self._is_closing = True
        return Request(start.method, start.path, headers, body, holding)

    async def _read_body(
        self,
        headers: httputil.HTTPHeaders,
        framing: Framing,
        reservation: RequestReservation,
    ) -> Body:
        if not framing.is_chunked:
            await reservation.extend(framing.length)
        await self._send_continue(headers, framing)
        self._restart_timer()
        body = await read_body(
            self._stream,
            framing,
            self._server.limits.body_bytes,
            reservation.extend,
        )
        self._cancel_timer()
        return body

    async def _send_continue(
        self, headers: httputil.HTTPHeaders, framing: Framing
    ) -> None:
        expects_continue = headers.get('Expect', '').lower() == '100-continue'
        if expects_continue and framing.has_body and not self._exchanges:
            await self._stream.write(_CONTINUE)

    def _start_exchange(
        self, response: Awaitable[Response], *, is_head: bool = False
    ) -> None:
        task = asyncio.ensure_future(response)
        self._exchanges.append(Exchange(task, is_head=is_head))
        if len(self._exchanges) >= MAX_PIPELINED_REQUESTS:
            self._can_read.clear()
        task.add_done_callback(self._flush_responses)

    def _refuse_malformed(self, error: RequestError) -> None:
        """Refuses a malformed request after all earlier responses."""
        self._is_closing = True
        self._server.report_refusal(error)
        self._start_exchange(refusal_response(error))
        task = asyncio.ensure_future(self._discard_input())
        task.add_done_callback(ignore_exception)

    async def _discard_input(self) -> None:
        try:
            await self._discard_all()
        except iostream.StreamClosedError:
            self._abort()

    async def _discard_all(self) -> None:
        async for _ in discarded_input(self._stream):
            self._discarded_at = asyncio.get_running_loop().time()

    def _flush_responses(self, task: 'asyncio.Task[Response]') -> None:
        """Writes finished responses, in the order of their requests."""
        while self._exchanges and self._exchanges[0].task.done():
            exchange = self._exchanges.popleft()
            if not exchange.task.cancelled():
                self._write_response(exchange)
        self._can_read.set()
        if not self._exchanges:
            self._start_idle_timer()

    def _write_response(self, exchange: Exchange) -> None:
        if self._stream.closed():
            return
        if self._server.is_lame_duck:
            self._is_closing = True
        closes = self._is_closing and not self._exchanges
        response = response_of(exchange.task)
        parts = response.encode(is_head=exchange.is_head, closes=closes)
        try:
            written = [self._stream.write(part) for part in parts][-1]
        except iostream.StreamClosedError:
            return
        # The bytes of the body are held until the caller has taken them.
        written.add_done_callback(partial(drop_written, response))
        if closes:
            self._sent_last_response = True
            written.add_done_callback(self._half_close)

    def _half_close(self, written: 'asyncio.Future[None]') -> None:
        """Shuts down the write side and closes the stream after a delay.

        Closing a socket that has unread input resets the connection, and the
        caller could lose the last response.
        """
        if not self._stream.closed():
            self._server.shut_down_writes(self._stream)
            now = asyncio.get_running_loop().time()
            self._discarded_at = now
            self._close_when_quiet(new_deadline(now, MAX_LINGER_SECONDS))

    def _close_when_quiet(self, deadline: Deadline) -> None:
        """Closes the stream after ``LINGER_SECONDS`` without input."""
        loop = asyncio.get_running_loop()
        quiet_at = new_deadline(self._discarded_at, LINGER_SECONDS)
        close_at = quiet_at.earlier(deadline)
        if close_at.has_passed(loop.time()):
            self._stream.close()
        else:
            loop.call_at(close_at.at, self._close_when_quiet, deadline)

    def _abort(self) -> None:
        """Cancels the requests in progress and closes the stream."""
        while self._exchanges:
            self._exchanges.popleft().task.cancel()
        self._stream.close()

    def _start_idle_timer(self) -> None:
        self._cancel_timer()
        if not self._exchanges and not self._stream.closed():
            self._restart_timer()

    def _restart_timer(self) -> None:
        """Restarts the timeout for the next input from the caller."""
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(
            self._server.limits.idle_seconds, self._handle_timeout
        )

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle_timeout(self) -> None:
        if self._exchanges:
            # The connection is closed after the last pending response.
            self._is_closing = True
        else:
            self._stream.close()


@final
class PipelineServer(BacklogServer):
    """Accepts connections and passes their requests to a handler."""

    # The base class has a __dict__; the slots declare the attributes.
    __slots__ = (
        '_connections',
        '_handler',
        '_is_lame_duck',
        '_limits',
        '_new_reservation',
        '_on_refusal',
    )

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], RequestLimits],
        on_refusal: Callable[[RequestError], None],
        new_reservation: Callable[[httputil.HTTPHeaders], RequestReservation],
    ) -> None:
        """Creates a server; ``limits`` is called for each request."""
        super().__init__()
        self._new_reservation = new_reservation
        self._handler = handler
        self._limits = limits
        self._on_refusal = on_refusal
        self._is_lame_duck = False
        self._connections: set[ServerConnection] = set()

    @property
    def limits(self) -> RequestLimits:
        """The current limits on requests."""
        return self._limits()

    @property
    def is_lame_duck(self) -> bool:
        """Whether connections are closed after their pending responses."""
        return self._is_lame_duck

    @property
    def open_connections(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    def new_reservation(
        self, headers: httputil.HTTPHeaders
    ) -> RequestReservation:
        """Returns the reservation for the body of a request."""
        return self._new_reservation(headers)

    def handle(self, request: Request) -> Awaitable[Response]:
        """Calls the handler with a request."""
        return self._handler(request)

    def report_refusal(self, error: RequestError) -> None:
        """Reports a malformed request to the ``on_refusal`` callback."""
        self._on_refusal(error)

    def enter_lame_duck(self) -> None:
        """Starts to close connections after their pending responses."""
        self._is_lame_duck = True

    def close_idle(self) -> None:
        """Closes the connections on which no request is in progress.

        A request that arrives later is not read, so it has not run.
        """
        for connection in tuple(self._connections):
            if connection.is_idle:
                connection.close()

    def close_all(self) -> None:
        """Closes every connection."""
        for connection in tuple(self._connections):
            connection.close()

    def shut_down_writes(self, stream: iostream.IOStream) -> None:
        """Shuts down the write side of a stream."""
        try:
            stream.socket.shutdown(socket.SHUT_WR)
        except OSError:
            # The caller has already closed the connection.
            stream.close()

    async def handle_stream(
        self, stream: iostream.IOStream, address: object
    ) -> None:
        """Serves an accepted connection until it is closed."""
        stream.set_nodelay(True)
        connection = ServerConnection(self, stream)
        with contextlib.ExitStack() as stack:
            self._connections.add(connection)
            stack.callback(self._connections.discard, connection)
            await connection.run()
