"""Sends attempts to upstreams over pooled HTTP connections."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final, final

from tornado import http1connection, httputil, iostream

from chervilstep.adapters.answering import AnswerReader
from chervilstep.adapters.streams import connect, ignore_failure
from chervilstep.calls import Answer, Attempt, Ending, Outcome
from chervilstep.queries.headers import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    NOT_RUN_HEADER,
)
from chervilstep.settings import Settings
from chervilstep.types import (
    MS_PER_SECOND,
    Deadline,
    Instant,
    Verdict,
    new_deadline,
)

#: How long an unused connection is kept.
IDLE_SECONDS: Final = 30
#: How many unused connections are kept for one upstream.
MAX_IDLE_CONNECTIONS: Final = 16
#: The longest time for opening a connection.
CONNECT_SECONDS: Final = 1

_STATUS_SHED: Final = 503


@final
class Connection:
    """One open stream to an upstream, and when it was opened."""

    __slots__ = ('_idle_until', '_opened_at', '_stream')

    def __init__(self, stream: iostream.IOStream, opened_at: Instant) -> None:
        """Wraps a connected stream."""
        self._stream = stream
        self._opened_at = opened_at
        self._idle_until = new_deadline(opened_at, IDLE_SECONDS)

    @property
    def stream(self) -> iostream.IOStream:
        """The connected stream."""
        return self._stream

    @property
    def opened_at(self) -> Instant:
        """When the connection was opened."""
        return self._opened_at

    @property
    def idle_until(self) -> Deadline:
        """When the connection has been unused for too long."""
        return self._idle_until

    def park(self, now: Instant) -> None:
        """Starts the time of being unused."""
        self._idle_until = new_deadline(now, IDLE_SECONDS)


@final
class HttpPool:
    """Sends each attempt and says how it ended and whether it ran.

    A connection returns to the pool only after a whole answer; after any
    other ending it is closed, so that no late answer meets another request.
    """

    __slots__ = (
        '_body_limit_bytes',
        '_clock',
        '_idle',
        '_is_trusted',
        '_params',
    )

    def __init__(
        self,
        settings: Settings,
        clock: Callable[[], Instant],
        is_trusted: Callable[[str, Instant], bool],
    ) -> None:
        """Creates an empty pool.

        ``is_trusted`` says by the upstream's name and the instant of opening
        whether a kept connection may still be used.
        """
        self._clock = clock
        self._is_trusted = is_trusted
        self._body_limit_bytes = settings.body_limit_bytes
        self._idle: dict[str, deque[Connection]] = {}
        self._params = http1connection.HTTP1ConnectionParameters(
            max_header_size=settings.header_limit_bytes,
            max_body_size=settings.body_limit_bytes,
        )

    async def send(self, attempt: Attempt) -> Outcome:
        """Sends the attempt and reads the whole answer.

        Cancelling closes the connection, which tells the upstream.
        """
        seconds = attempt.deadline.remaining(self._clock())
        if not seconds:
            return self._failed(Ending.CANCELLED, Verdict.NOT_RUN)
        connection = self._take(attempt.upstream.name)
        if connection is None:
            connection = await self._connect(attempt, seconds)
        if connection is None:
            return self._failed(Ending.CONNECT_FAILED, Verdict.NOT_RUN)
        try:
            return await self._exchange(attempt, connection)
        except asyncio.CancelledError:
            connection.stream.close()
            raise

    def close(self) -> None:
        """Closes the connections that are not in use."""
        for connections in self._idle.values():
            while connections:
                connections.pop().stream.close()

    async def _connect(
        self, attempt: Attempt, seconds: float
    ) -> Connection | None:
        try:
            async with asyncio.timeout(min(seconds, CONNECT_SECONDS)):
                stream = await connect(attempt.upstream.address)
        except (OSError, iostream.StreamClosedError):
            return None
        return Connection(stream, self._clock())

    async def _exchange(
        self, attempt: Attempt, connection: Connection
    ) -> Outcome:
        stream = connection.stream
        if stream.closed():
            return self._failed(Ending.LOST_BEFORE_WRITE, Verdict.NOT_RUN)
        reader = AnswerReader(
            attempt.ticket.call.method, self._body_limit_bytes
        )
        http = http1connection.HTTP1Connection(stream, True, self._params)
        try:
            async with asyncio.timeout(
                attempt.deadline.remaining(self._clock())
            ):
                self._write(http, attempt)
                await http.read_response(reader)
        except TimeoutError:
            stream.close()
            return self._failed(Ending.TIMED_OUT, Verdict.MAY_HAVE_RUN)
        except (iostream.StreamClosedError, iostream.UnsatisfiableReadError):
            stream.close()
            return self._incomplete(reader)
        return self._conclude(attempt, connection, reader)

    def _write(
        self, http: http1connection.HTTP1Connection, attempt: Attempt
    ) -> None:
        call = attempt.ticket.call
        headers = httputil.HTTPHeaders()
        for name, text in call.headers:
            headers.add(name, text)
        if call.body or call.method in {'POST', 'PUT', 'PATCH'}:
            headers['Content-Length'] = str(len(call.body))
        remaining = attempt.deadline.remaining(self._clock())
        headers[DEADLINE_HEADER] = str(int(remaining * MS_PER_SECOND))
        headers[ATTEMPT_HEADER] = str(attempt.number)
        start = httputil.RequestStartLine(call.method, call.target, 'HTTP/1.1')
        written = http.write_headers(start, headers, call.body or None)
        # Reading tells of a lost connection; nobody awaits the write.
        written.add_done_callback(ignore_failure)
        http.finish()

    def _conclude(
        self, attempt: Attempt, connection: Connection, reader: AnswerReader
    ) -> Outcome:
        answer = reader.answer
        if answer is None:
            connection.stream.close()
            return self._incomplete(reader)
        if reader.keeps_alive:
            self._park(attempt.upstream.name, connection)
        else:
            connection.stream.close()
        if _says_not_run(answer, reader):
            return self._failed(Ending.SHED, Verdict.NOT_RUN)
        return Outcome(Ending.ANSWERED, Verdict.RAN, self._clock(), answer)

    def _incomplete(self, reader: AnswerReader) -> Outcome:
        if reader.is_too_large:
            return self._failed(Ending.TOO_LARGE, Verdict.RAN)
        if reader.has_head:
            return self._failed(Ending.BAD_ANSWER, Verdict.MAY_HAVE_RUN)
        return self._failed(Ending.LOST, Verdict.MAY_HAVE_RUN)

    def _failed(self, ending: Ending, verdict: Verdict) -> Outcome:
        return Outcome(ending, verdict, self._clock())

    def _take(self, name: str) -> Connection | None:
        """Takes the most recently used connection that is still good."""
        connections = self._idle.get(name)
        now = self._clock()
        while connections:
            connection = connections.pop()
            stream = connection.stream
            stream.set_close_callback(None)
            if stream.closed():
                continue
            is_fresh = not connection.idle_until.has_passed(now)
            if is_fresh and self._is_trusted(name, connection.opened_at):
                return connection
            stream.close()
        return None

    def _park(self, name: str, connection: Connection) -> None:
        stream = connection.stream
        if stream.closed():
            return
        connections = self._idle.setdefault(name, deque())
        if len(connections) >= MAX_IDLE_CONNECTIONS:
            connections.popleft().stream.close()
        connection.park(self._clock())
        connections.append(connection)
        # A close callback makes the stream watch for the other end's close.
        stream.set_close_callback(_do_nothing)


def _says_not_run(answer: Answer, reader: AnswerReader) -> bool:
    return answer.status == _STATUS_SHED and reader.has_header(NOT_RUN_HEADER)


def _do_nothing() -> None:
    """Receives the close of an idle stream; taking it skips closed ones."""


def new_pool(
    settings: Settings,
    clock: Callable[[], Instant],
    is_trusted: Callable[[str, Instant], bool],
) -> HttpPool:
    """Creates an empty pool of connections."""
    return HttpPool(settings, clock, is_trusted)
