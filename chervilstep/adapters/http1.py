"""Serves HTTP/1.1 connections whose requests may arrive ahead of answers.

The library's server reads a request only once the one before was answered.
Callers that send several at once would wait for each of them, and nothing
would tell that they have left. Here requests run side by side and answers
leave in their order.
"""

import asyncio
import contextlib
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Final, Protocol, TypeAlias, final

from tornado import httputil, iostream, tcpserver

from chervilstep.adapters.framing import Framing, framing_of, read_body
from chervilstep.adapters.requests import Request, Response, parse_head
from chervilstep.adapters.streams import ignore_exception
from chervilstep.exceptions import RequestError

#: Requests of one connection that run side by side; more are not read yet.
MAX_AHEAD: Final = 16
#: What is read of a connection that is about to be closed.
LINGER_SECONDS: Final = 1.0
#: Heads above the limit, up to this many times, are read to be refused.
HEAD_GRACE: Final = 2

_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_HEAD_END: Final = rb'\r?\n\r?\n'


class Limits(Protocol):
    """What callers may send."""

    @property
    def head_bytes(self) -> int:
        """The largest head."""

    @property
    def body_bytes(self) -> int:
        """The largest body."""

    @property
    def idle_seconds(self) -> float:
        """How long a connection may be idle."""


#: Answers one request; cancelled when its caller has left.
Handler: TypeAlias = Callable[[Request], Awaitable[Response]]


@final
class Exchange:
    """A request that was read, and the task that answers it."""

    __slots__ = ('_is_head', '_task')

    def __init__(
        self, task: 'asyncio.Task[Response]', *, is_head: bool
    ) -> None:
        """Creates an exchange whose answer is not known yet."""
        self._task = task
        self._is_head = is_head

    @property
    def task(self) -> 'asyncio.Task[Response]':
        """The task that answers."""
        return self._task

    @property
    def is_head(self) -> bool:
        """Whether the answer has no body."""
        return self._is_head


@final
class ServerConnection:
    """One connection of a caller."""

    __slots__ = (
        '_closes',
        '_has_ended',
        '_exchanges',
        '_idle_timer',
        '_is_receiving',
        '_room',
        '_server',
        '_stream',
    )

    def __init__(
        self, server: 'PipelineServer', stream: iostream.IOStream
    ) -> None:
        """Wraps an accepted stream."""
        self._server = server
        self._stream = stream
        self._exchanges: deque[Exchange] = deque()
        self._room = asyncio.Event()
        self._room.set()
        self._closes = False
        self._has_ended = False
        self._is_receiving = False
        self._idle_timer: asyncio.TimerHandle | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return not self._exchanges and not self._is_receiving

    async def run(self) -> None:
        """Reads requests until the connection ends."""
        try:
            await self._read_all()
        except iostream.StreamClosedError:
            self._abandon()
        except RequestError as fault:
            self._refuse(fault)
        except iostream.UnsatisfiableReadError:
            self._refuse(RequestError(431, 'The head is too large.'))
        finally:
            self._disarm()

    def close(self) -> None:
        """Closes the connection, whatever it is doing."""
        self._abandon()
        self._stream.close()

    async def _read_all(self) -> None:
        while not self._closes:
            await self._room.wait()
            self._arm()
            request = await self._read()
            self._is_receiving = False
            if self._has_ended:
                # What follows the last answer counts as not read.
                break
            self._begin(
                self._server.handle(request), is_head=request.method == 'HEAD'
            )
        # Whatever still arrives is thrown away, until the caller has left.
        await self._stream.read_until_close()
        raise iostream.StreamClosedError

    async def _read(self) -> Request:
        limits = self._server.limits
        head = await self._stream.read_until_regex(
            _HEAD_END, max_bytes=HEAD_GRACE * limits.head_bytes
        )
        if len(head) > limits.head_bytes:
            raise RequestError(431, 'The head is too large.')
        self._disarm()
        self._is_receiving = True
        start, headers = parse_head(head)
        framing = framing_of(headers, limits.body_bytes)
        await self._welcome(headers, framing)
        self._start_timer()
        body = await read_body(self._stream, framing, limits.body_bytes)
        self._disarm()
        if headers.get('Connection', '').lower() == 'close':
            self._closes = True
        if start.version == 'HTTP/1.0':
            self._closes = True
        return Request(start.method, start.path, headers, body)

    async def _welcome(
        self, headers: httputil.HTTPHeaders, framing: Framing
    ) -> None:
        is_expected = headers.get('Expect', '').lower() == '100-continue'
        if is_expected and framing.has_body and not self._exchanges:
            await self._stream.write(_CONTINUE)

    def _begin(
        self, answer: Awaitable[Response], *, is_head: bool = False
    ) -> None:
        task = asyncio.ensure_future(answer)
        self._exchanges.append(Exchange(task, is_head=is_head))
        if len(self._exchanges) >= MAX_AHEAD:
            self._room.clear()
        task.add_done_callback(self._flush)

    def _refuse(self, fault: RequestError) -> None:
        """Answers what cannot be read, after everything before it."""
        self._closes = True
        self._server.note_refusal(fault)
        self._begin(_refusal(fault))
        task = asyncio.ensure_future(self._drain())
        task.add_done_callback(ignore_exception)

    async def _drain(self) -> None:
        try:
            await self._stream.read_until_close()
        except iostream.StreamClosedError:
            self._abandon()
            return
        self._abandon()

    def _flush(self, task: 'asyncio.Task[Response]') -> None:
        """Writes the answers that are due."""
        while self._exchanges and self._exchanges[0].task.done():
            exchange = self._exchanges.popleft()
            if not exchange.task.cancelled():
                self._write(exchange)
        self._room.set()
        if not self._exchanges:
            self._arm()

    def _write(self, exchange: Exchange) -> None:
        if self._stream.closed():
            return
        if self._server.is_leaving:
            self._closes = True
        closes = self._closes and not self._exchanges
        response = exchange.task.result()
        encoded = response.encode(is_head=exchange.is_head, closes=closes)
        try:
            written = self._stream.write(encoded)
        except iostream.StreamClosedError:
            return
        written.add_done_callback(ignore_exception)
        if closes:
            self._has_ended = True
            written.add_done_callback(self._half_close)

    def _half_close(self, written: 'asyncio.Future[None]') -> None:
        """Ends the answers, and lets the caller read them in peace.

        To close on unread bytes would reset the connection, and take the
        last answer from the caller.
        """
        if not self._stream.closed():
            self._server.shut_down(self._stream)
            asyncio.get_running_loop().call_later(
                LINGER_SECONDS, self._stream.close
            )

    def _abandon(self) -> None:
        """Cancels the work for a caller that has left."""
        while self._exchanges:
            self._exchanges.popleft().task.cancel()
        self._stream.close()

    def _arm(self) -> None:
        self._disarm()
        if not self._exchanges and not self._stream.closed():
            self._start_timer()

    def _start_timer(self) -> None:
        """Gives the caller as long as it may be idle to send the rest."""
        self._disarm()
        self._idle_timer = asyncio.get_running_loop().call_later(
            self._server.limits.idle_seconds, self._expire
        )

    def _disarm(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _expire(self) -> None:
        if self._exchanges:
            # The last of the answers that are due ends the connection.
            self._closes = True
        else:
            self._stream.close()


@final
class PipelineServer(tcpserver.TCPServer):
    """Accepts connections and answers their requests."""

    # The base class has a dictionary; these names are still declared.
    __slots__ = (
        '_connections',
        '_handler',
        '_is_leaving',
        '_limits',
        '_on_refusal',
    )

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], Limits],
        on_refusal: Callable[[RequestError], None],
    ) -> None:
        """Creates a server; ``limits`` is asked for each request."""
        super().__init__()
        self._handler = handler
        self._limits = limits
        self._on_refusal = on_refusal
        self._is_leaving = False
        self._connections: set[ServerConnection] = set()

    @property
    def limits(self) -> Limits:
        """What callers may send at the moment."""
        return self._limits()

    @property
    def is_leaving(self) -> bool:
        """Whether answers end their connections."""
        return self._is_leaving

    @property
    def open_connections(self) -> int:
        """How many connections are open."""
        return len(self._connections)

    def handle(self, request: Request) -> Awaitable[Response]:
        """Starts to answer a request."""
        return self._handler(request)

    def note_refusal(self, fault: RequestError) -> None:
        """Tells of a request that could not be read."""
        self._on_refusal(fault)

    def leave(self) -> None:
        """Has every further answer end its connection."""
        self._is_leaving = True

    def close_idle(self) -> None:
        """Closes the connections on which no request is in progress.

        A request that crosses this was not read, so nothing of it has run.
        """
        for connection in tuple(self._connections):
            if connection.is_idle:
                connection.close()

    def close_all(self) -> None:
        """Closes every connection."""
        for connection in tuple(self._connections):
            connection.close()

    def shut_down(self, stream: iostream.IOStream) -> None:
        """Sends the end of the answers, and keeps reading."""
        try:
            stream.socket.shutdown(_SHUT_WR)
        except OSError:
            # The caller was faster; there is nobody left to tell.
            stream.close()

    async def handle_stream(
        self, stream: iostream.IOStream, address: object
    ) -> None:
        """Serves one connection."""
        stream.set_nodelay(True)
        connection = ServerConnection(self, stream)
        with contextlib.ExitStack() as stack:
            self._connections.add(connection)
            stack.callback(self._connections.discard, connection)
            await connection.run()


async def _refusal(fault: RequestError) -> Response:
    return Response(fault.status, (), f'{fault}\n'.encode())


#: ``socket.SHUT_WR``.
_SHUT_WR: Final = 1
