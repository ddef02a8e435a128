"""Reads the requests of one connection."""

import asyncio
import contextlib
from typing import TYPE_CHECKING, Final, final

from tornado import httputil

from chervilstep.adapters.callerinput import CallerInput
from chervilstep.adapters.exchanges import RequestReservation
from chervilstep.adapters.framing import (
    SMALL_BODY_BYTES,
    Framing,
    parse_framing,
    read_body,
)
from chervilstep.adapters.requests import Request, parse_head
from chervilstep.calls import Body
from chervilstep.queries.callers import STALL_SECONDS
from chervilstep.types import new_deadline

if TYPE_CHECKING:
    from chervilstep.adapters.connection import ServerConnection
    from chervilstep.adapters.http1 import PipelineServer

#: A long head takes this many times its size once it is parsed.
PARSED_HEAD_FACTOR: Final = 8
#: Shorter heads, those of ordinary callers, are not counted.
UNCOUNTED_HEAD_BYTES: Final = 2048
#: The receive buffer of a connection whose body has its room.
BODY_RECEIVE_BYTES: Final = 1024 * 1024
#: How often a body that is being read is checked for progress; less than the time
#: for which a reservation waits for room.
PROGRESS_PERIOD_SECONDS: Final = 0.25

_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


@final
class RequestReader:
    """Reads one request after another."""

    __slots__ = (
        '_connection',
        '_ends_connection',
        '_input',
        '_is_receiving',
        '_server',
        '_timer',
    )

    def __init__(
        self,
        server: 'PipelineServer',
        connection: 'ServerConnection',
        caller_input: CallerInput,
    ) -> None:
        """Creates the reader of a connection."""
        self._server = server
        self._connection = connection
        self._input = caller_input
        self._is_receiving = False
        self._ends_connection = False
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_receiving(self) -> bool:
        """Whether a head has been read and its request has not."""
        return self._is_receiving

    @property
    def ends_connection(self) -> bool:
        """Whether the caller sends no request after the last one read."""
        return self._ends_connection

    async def read(self) -> Request:
        """Reads a request.

        Raises:
            RequestError: The request is malformed, or there is no room for it.
            StreamClosedError: The caller closed the connection.
        """
        head = await self._input.read_head(self._server.limits.head_bytes)
        self._connection.cancel_timer()
        with contextlib.ExitStack() as stack:
            stack.callback(self._end_receiving)
            self._is_receiving = True
            return await self._read_rest(head)

    async def _read_rest(self, head: bytes) -> Request:
        start, headers = parse_head(
            head, requires_host=self._server.options.requires_host
        )
        framing = parse_framing(headers, self._server.limits.body_bytes)
        body: Body = b''
        holding = None
        if framing.has_body or len(head) > UNCOUNTED_HEAD_BYTES:
            reservation = self._server.new_reservation(headers)
            if len(head) > UNCOUNTED_HEAD_BYTES:
                await reservation.extend(PARSED_HEAD_FACTOR * len(head))
            body = await self._read_body(headers, framing, reservation)
            holding = reservation.holding
        has_close = headers.get('Connection', '').lower() == 'close'
        self._ends_connection = has_close or start.version == 'HTTP/1.0'
        return Request(start.method, start.path, headers, body, holding)

    async def _read_body(
        self,
        headers: httputil.HTTPHeaders,
        framing: Framing,
        reservation: RequestReservation,
    ) -> Body:
        if not framing.has_body:
            return b''
        self._connection.update_phase()
        if not framing.is_chunked:
            await reservation.extend(framing.length)
        if framing.length > SMALL_BODY_BYTES:
            # What the kernel holds is counted with the body.
            self._connection.set_receive_buffer(BODY_RECEIVE_BYTES)
        await self._send_continue(headers)
        self._connection.restart_timer(self._server.limits.idle_seconds)
        self._watch_progress(reservation)
        with contextlib.ExitStack() as stack:
            stack.callback(self._connection.cancel_timer)
            stack.callback(self._cancel_watch)
            return await read_body(
                self._input,
                framing,
                self._server.limits.body_bytes,
                reservation.extend,
                self._server.turnstile,
            )

    def _end_receiving(self) -> None:
        self._is_receiving = False

    async def _send_continue(self, headers: httputil.HTTPHeaders) -> None:
        if headers.get('Expect', '').lower() == '100-continue':
            await self._connection.write_interim(_CONTINUE)

    def _watch_progress(self, reservation: RequestReservation) -> None:
        """Gives up a body whose caller stalls while others want the room."""
        self._timer = asyncio.get_running_loop().call_later(
            PROGRESS_PERIOD_SECONDS, self._check_progress, reservation
        )

    def _check_progress(self, reservation: RequestReservation) -> None:
        if reservation.is_wanted and self._is_stalled():
            self._input.interrupt(reservation.refusal())
        else:
            self._watch_progress(reservation)

    def _is_stalled(self) -> bool:
        connections = self._server.connections
        if not self._input.is_waiting or not connections.has(self._connection):
            return False
        active_at = connections.active_at(self._connection)
        now = asyncio.get_running_loop().time()
        return new_deadline(active_at, STALL_SECONDS).has_passed(now)

    def _cancel_watch(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
