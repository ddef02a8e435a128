"""One connection of a caller to a server that handles pipelined requests."""

import asyncio
from collections import deque
from collections.abc import Awaitable
from functools import partial
from typing import TYPE_CHECKING, Final, final

from tornado import iostream

from chervilstep.adapters.admission import set_receive_buffer
from chervilstep.adapters.callerinput import CallerInput
from chervilstep.adapters.exchanges import Exchange, drop_written, response_of
from chervilstep.adapters.reading import RequestReader
from chervilstep.adapters.requests import Response
from chervilstep.callers import Phase
from chervilstep.exceptions import RequestError
from chervilstep.types import Deadline, Instant, new_deadline

if TYPE_CHECKING:
    from chervilstep.adapters.http1 import PipelineServer

#: The limit on concurrent requests of a connection, where reading pauses.
MAX_PIPELINED_REQUESTS: Final = 16
#: How long a connection stays open for reading after its last response, and after
#: further input: a caller that still sends a refused body reads the refusal later.
LINGER_SECONDS: Final = 1.0
MAX_LINGER_SECONDS: Final = 10.0


@final
class ServerConnection:
    """One connection of a caller."""

    __slots__ = (
        '_can_read',
        '_discarded_at',
        '_exchanges',
        '_has_served',
        '_input',
        '_is_closing',
        '_reader',
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
        self._input = CallerInput(stream, self._handle_input)
        self._reader = RequestReader(server, self, self._input)
        self._exchanges: deque[Exchange] = deque()
        self._can_read = asyncio.Event()
        self._can_read.set()
        self._is_closing = False
        self._has_served = False
        self._sent_last_response = False
        self._timer: asyncio.TimerHandle | None = None
        self._discarded_at: Instant = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request is handled, being read or waits to be read.

        The caller has taken all responses as well.
        """
        if self._is_replying or self._reader.is_receiving:
            return False
        return not self._input.has_pending and not self._input.has_received

    @property
    def phase(self) -> Phase:
        """What the connection waits for."""
        if self._is_replying:
            return Phase.REPLY
        if self._is_closing:
            return Phase.CLOSING
        if self._reader.is_receiving:
            return Phase.BODY
        if self._input.buffered or not self._has_served:
            return Phase.HEAD
        return Phase.IDLE

    @property
    def _is_replying(self) -> bool:
        return bool(self._exchanges) or self._stream.writing()

    async def run(self) -> None:
        """Reads requests until the connection is closed."""
        try:
            await self._read_requests()
        except iostream.StreamClosedError:
            self._abort()
        except RequestError as error:
            self._refuse(error)
        finally:
            self.cancel_timer()
        # The error, which refers to the body that was read, is gone by now.
        if not self._stream.closed():
            await self._discard_input()

    def close(self) -> None:
        """Cancels the requests in progress and closes the connection."""
        self._abort()

    def set_receive_buffer(self, size: int) -> None:
        """Sets the size of the kernel's receive buffer, in bytes."""
        if not self._stream.closed():
            set_receive_buffer(self._stream.socket, size)

    def update_phase(self) -> None:
        """Records what the connection waits for."""
        now = asyncio.get_running_loop().time()
        self._server.connections.move(self, self.phase, now)

    def restart_timer(self, seconds: float) -> None:
        """Restarts the timeout for the next input from the caller."""
        self.cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(
            seconds, self._handle_timeout
        )

    def cancel_timer(self) -> None:
        """Cancels the timeout for the next input from the caller."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    async def write_interim(self, response: bytes) -> None:
        """Writes an interim response, unless it would precede an earlier one."""
        if not self._exchanges:
            await self._stream.write(response)

    async def _read_requests(self) -> None:
        while not self._is_closing:
            await self._can_read.wait()
            self._start_idle_timer()
            request = await self._reader.read()
            if self._stream.closed():
                # Nobody would get the answer; the request has not run.
                break
            if self._reader.ends_connection:
                self._is_closing = True
            if self._sent_last_response:
                # A request that follows the last response is not handled.
                break
            self._start_exchange(
                self._server.handle(request), is_head=request.method == 'HEAD'
            )

    def _handle_input(self, buffered_bytes: int) -> None:
        """Counts input that was read or taken."""
        server = self._server
        begins_head = buffered_bytes and not server.connections.buffered_by(
            self
        )
        server.count_input(self, buffered_bytes)
        if self._reader.is_receiving:
            server.connections.touch(self, asyncio.get_running_loop().time())
        elif begins_head and not self._exchanges and not self._is_closing:
            self.restart_timer(server.limits.head_seconds)
            self.update_phase()

    def _start_exchange(
        self, response: Awaitable[Response], *, is_head: bool = False
    ) -> None:
        task = asyncio.ensure_future(response)
        self._exchanges.append(Exchange(task, is_head=is_head))
        self.update_phase()
        if len(self._exchanges) >= MAX_PIPELINED_REQUESTS:
            self._can_read.clear()
        task.add_done_callback(self._flush_responses)

    def _refuse(self, error: RequestError) -> None:
        """Refuses a request that was not read, after all earlier responses."""
        self._is_closing = True
        self._server.report_refusal(error)
        self._start_exchange(self._server.options.refuse(error))

    async def _discard_input(self) -> None:
        """Detects that the caller closes the connection."""
        try:
            async for _ in self._input.discard():
                self._discarded_at = asyncio.get_running_loop().time()
                await self._server.discards.wait()
        except iostream.StreamClosedError:
            self._abort()

    def _flush_responses(self, task: 'asyncio.Task[Response]') -> None:
        """Writes finished responses, in the order of their requests."""
        while self._exchanges and self._exchanges[0].task.done():
            exchange = self._exchanges.popleft()
            if not exchange.task.cancelled():
                self._write_response(exchange)
        self._can_read.set()
        self._has_served = True
        self.update_phase()
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
        written.add_done_callback(self._handle_written)
        if closes:
            self._sent_last_response = True
            written.add_done_callback(self._half_close)

    def _handle_written(self, written: 'asyncio.Future[None]') -> None:
        self.update_phase()

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
        self.cancel_timer()
        if self._exchanges or self._stream.closed():
            return
        limits = self._server.limits
        begins_head = self._input.buffered and not self._reader.is_receiving
        self.restart_timer(
            limits.head_seconds if begins_head else limits.idle_seconds
        )

    def _handle_timeout(self) -> None:
        if self._exchanges:
            # The connection is closed after the last pending response.
            self._is_closing = True
        else:
            self._stream.close()
