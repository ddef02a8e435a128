"""Sends attempts to upstreams over pooled HTTP connections."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final, final

from tornado import http1connection, httputil, iostream

from chervilstep.adapters.answering import AnswerReader
from chervilstep.adapters.dialect import new_dialect
from chervilstep.adapters.streams import (
    InspectableStream,
    connect,
    enable_keep_alive,
    ignore_exception,
)
from chervilstep.calls import Attempt, Ending, Outcome
from chervilstep.settings import Settings
from chervilstep.types import Deadline, Instant, Verdict, new_deadline

#: How long an unused connection is kept.
IDLE_SECONDS: Final = 30
#: How many unused connections are kept for one upstream; all instances
#: together stay below what an upstream accepts.
MAX_IDLE_CONNECTIONS: Final = 6
#: A connection is not used in the last part of the time that the upstream
#: keeps it, which is when the upstream may be closing it.
IDLE_MARGIN: Final = 0.8
#: Answers to other requests that are skipped before the own one.
MAX_STRAY_ANSWERS: Final = 2
#: The longest time for opening a connection.
CONNECT_SECONDS: Final = 1


@final
class Connection:
    """One open stream to an upstream, and when it was opened."""

    __slots__ = ('_idle_until', '_opened_at', '_stream')

    def __init__(self, stream: InspectableStream, opened_at: Instant) -> None:
        """Wraps a connected stream."""
        self._stream = stream
        self._opened_at = opened_at
        self._idle_until = new_deadline(opened_at, IDLE_SECONDS)

    @property
    def stream(self) -> InspectableStream:
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

    def park(self, now: Instant, kept_seconds: float | None) -> None:
        """Starts the time of being unused.

        ``kept_seconds`` is how long the upstream says that it waits.
        """
        seconds: float = IDLE_SECONDS
        if kept_seconds is not None:
            seconds = min(seconds, IDLE_MARGIN * kept_seconds)
        self._idle_until = new_deadline(now, seconds)


@final
class HttpPool:
    """Sends each attempt and says how it ended and whether it ran.

    A connection returns to the pool only after a whole answer; after any
    other ending it is closed, so that no late answer meets another request.
    """

    __slots__ = (
        '_body_limit_bytes',
        '_clock',
        '_dialect',
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
        self._dialect = new_dialect(settings.dialect)
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
        enable_keep_alive(stream.socket)
        return Connection(stream, self._clock())

    async def _exchange(
        self, attempt: Attempt, connection: Connection
    ) -> Outcome:
        stream = connection.stream
        if stream.closed():
            return self._failed(Ending.LOST_BEFORE_WRITE, Verdict.NOT_RUN)
        http = http1connection.HTTP1Connection(stream, True, self._params)
        reader = self._new_reader(attempt)
        try:
            async with asyncio.timeout(
                attempt.deadline.remaining(self._clock())
            ):
                written = self._write(http, attempt)
                reader = await self._read(http, attempt, reader, stream)
        except TimeoutError:
            stream.close()
            return self._failed(Ending.TIMED_OUT, Verdict.MAY_HAVE_RUN)
        except (iostream.StreamClosedError, iostream.UnsatisfiableReadError):
            stream.close()
            return self._incomplete(reader)
        if not written.done():
            # The rest of a body that was answered early is still due.
            reader.forbid_reuse()
        return self._conclude(attempt, connection, reader)

    async def _read(
        self,
        http: http1connection.HTTP1Connection,
        attempt: Attempt,
        reader: AnswerReader,
        stream: InspectableStream,
    ) -> AnswerReader:
        """Reads until the answer of the attempt; strays belong to no one."""
        for _ in range(MAX_STRAY_ANSWERS):
            await http.read_response(reader)
            if self._dialect.belongs(attempt, reader.header_map):
                return reader
            http = http1connection.HTTP1Connection(stream, True, self._params)
            reader = self._new_reader(attempt)
            reader.forbid_reuse()
        await http.read_response(reader)
        if not self._dialect.belongs(attempt, reader.header_map):
            raise iostream.StreamClosedError
        return reader

    def _new_reader(self, attempt: Attempt) -> AnswerReader:
        return AnswerReader(attempt.ticket.call.method, self._body_limit_bytes)

    def _write(
        self, http: http1connection.HTTP1Connection, attempt: Attempt
    ) -> 'asyncio.Future[None]':
        call = attempt.ticket.call
        headers = httputil.HTTPHeaders()
        for name, text in call.headers:
            headers.add(name, text)
        if call.body or call.method in {'POST', 'PUT', 'PATCH'}:
            headers['Content-Length'] = str(len(call.body))
        for name, text in self._dialect.request_headers(attempt, self._clock()):
            headers[name] = text
        start = httputil.RequestStartLine(call.method, call.target, 'HTTP/1.1')
        written = http.write_headers(start, headers, call.body or None)
        # Reading tells of a lost connection; nobody awaits the write.
        written.add_done_callback(ignore_exception)
        http.finish()
        return written

    def _conclude(
        self, attempt: Attempt, connection: Connection, reader: AnswerReader
    ) -> Outcome:
        answer = reader.answer
        if answer is None or not self._is_whole(connection, reader):
            connection.stream.close()
            return self._incomplete(reader)
        if reader.keeps_alive:
            self._park(attempt.upstream.name, connection, reader.kept_seconds)
        else:
            connection.stream.close()
        now = self._clock()
        report = self._dialect.report(reader.header_map, now)
        refusal = self._dialect.refusal(answer, reader)
        if refusal is not None:
            return Outcome(refusal, Verdict.NOT_RUN, now, report=report)
        return Outcome(Ending.ANSWERED, Verdict.RAN, now, answer, report)

    def _is_whole(self, connection: Connection, reader: AnswerReader) -> bool:
        if reader.has_length:
            return True
        was_reset = connection.stream.error is not None
        return self._dialect.takes_unframed and not was_reset

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
            if self._is_usable(name, connection, now):
                return connection
            stream.close()
        return None

    def _is_usable(
        self, name: str, connection: Connection, now: Instant
    ) -> bool:
        stream = connection.stream
        # Whatever came unasked makes what follows unreadable.
        if stream.closed() or stream.has_unread_bytes:
            return False
        if connection.idle_until.has_passed(now):
            return False
        return self._is_trusted(name, connection.opened_at)

    def _park(
        self, name: str, connection: Connection, kept_seconds: float | None
    ) -> None:
        stream = connection.stream
        if stream.closed():
            return
        if stream.has_unread_bytes:
            stream.close()
            return
        connections = self._idle.setdefault(name, deque())
        if len(connections) >= MAX_IDLE_CONNECTIONS:
            connections.popleft().stream.close()
        connection.park(self._clock(), kept_seconds)
        connections.append(connection)
        # A close callback makes the stream watch for the other end's close.
        stream.set_close_callback(_do_nothing)


def _do_nothing() -> None:
    """Receives the close of an idle stream; taking it skips closed ones."""


def new_pool(
    settings: Settings,
    clock: Callable[[], Instant],
    is_trusted: Callable[[str, Instant], bool],
) -> HttpPool:
    """Creates an empty pool of connections."""
    return HttpPool(settings, clock, is_trusted)
