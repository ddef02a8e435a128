"""Sends attempts to upstreams over pooled HTTP/1.1 connections."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final, cast, final

from tornado import http1connection, httputil, iostream

from chervilstep.adapters.answers import AnswerConnection, AnswerReader
from chervilstep.adapters.buffering import Reservation
from chervilstep.adapters.dialect import new_dialect
from chervilstep.adapters.requests import MAX_COPIED_BYTES
from chervilstep.adapters.streams import (
    InspectableStream,
    connect,
    enable_keep_alive,
    ignore_exception,
)
from chervilstep.calls import Attempt, Ending, Outcome
from chervilstep.settings import Settings
from chervilstep.types import Deadline, Instant, Verdict, new_deadline

#: How long an idle connection stays in the pool.
IDLE_TIMEOUT_SECONDS: Final = 30
#: The number of idle connections per upstream. All instances together stay
#: below the number of connections that an upstream accepts.
MAX_IDLE_CONNECTIONS: Final = 6
#: The fraction of the upstream's keep-alive timeout in which a connection is
#: reused. After that, the upstream may be about to close the connection.
KEEP_ALIVE_FRACTION: Final = 0.8
#: The limit on skipped responses that belong to other requests.
MAX_UNMATCHED_ANSWERS: Final = 2
CONNECT_TIMEOUT_SECONDS: Final = 1


@final
class Connection:
    """An open connection to an upstream."""

    __slots__ = ('_idle_deadline', '_opened_at', '_stream', '_was_used')

    def __init__(self, stream: InspectableStream, opened_at: Instant) -> None:
        """Creates a connection on a connected stream."""
        self._stream = stream
        self._opened_at = opened_at
        self._idle_deadline = new_deadline(opened_at, IDLE_TIMEOUT_SECONDS)
        self._was_used = False

    @property
    def stream(self) -> InspectableStream:
        """The connected stream."""
        return self._stream

    @property
    def opened_at(self) -> Instant:
        """The instant at which the connection was opened."""
        return self._opened_at

    @property
    def idle_deadline(self) -> Deadline:
        """The deadline after which the idle connection is not reused."""
        return self._idle_deadline

    @property
    def was_used(self) -> bool:
        """Whether an earlier request was sent on the connection."""
        return self._was_used

    def mark_idle(self, now: Instant, keep_alive_seconds: float | None) -> None:
        """Starts the idle timeout.

        ``keep_alive_seconds`` is the keep-alive timeout of the upstream, or
        None if the upstream states none.
        """
        seconds: float = IDLE_TIMEOUT_SECONDS
        if keep_alive_seconds is not None:
            seconds = min(seconds, KEEP_ALIVE_FRACTION * keep_alive_seconds)
        self._was_used = True
        self._idle_deadline = new_deadline(now, seconds)


@final
class HttpPool:
    """Sends attempts and reports how each ended and whether it ran.

    A connection returns to the pool only after a complete answer. After any
    other ending it is closed, so that a late answer is never read as the
    answer to another request.
    """

    __slots__ = (
        '_body_limit_bytes',
        '_clock',
        '_dialect',
        '_idle',
        '_is_trusted',
        '_params',
        '_reserve_for',
    )

    def __init__(
        self,
        settings: Settings,
        clock: Callable[[], Instant],
        is_trusted: Callable[[str, Instant], bool],
        reserve_for: Callable[[str], Reservation] | None,
    ) -> None:
        """Creates an empty pool.

        ``is_trusted`` returns whether an idle connection may be reused, given
        the name of the upstream and the instant of opening. ``reserve_for``
        returns a reservation for an answer of the service with a name.
        """
        self._reserve_for = reserve_for
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
        """Sends the attempt and reads the complete answer.

        Cancelling closes the connection, so the upstream can abort its work.
        """
        seconds = attempt.deadline.remaining(self._clock())
        if not seconds:
            return self._failed_outcome(Ending.CANCELLED, Verdict.NOT_RUN)
        connection = self._pop_idle(attempt.upstream.name)
        if connection is None:
            connection = await self._connect(attempt, seconds)
        if connection is None:
            return self._failed_outcome(Ending.CONNECT_FAILED, Verdict.NOT_RUN)
        try:
            return await self._exchange(attempt, connection)
        except BaseException:
            connection.stream.close()
            raise

    def close(self) -> None:
        """Closes the idle connections."""
        for connections in self._idle.values():
            while connections:
                connections.pop().stream.close()

    async def _connect(
        self, attempt: Attempt, seconds: float
    ) -> Connection | None:
        try:
            async with asyncio.timeout(min(seconds, CONNECT_TIMEOUT_SECONDS)):
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
            return self._failed_outcome(
                Ending.LOST_BEFORE_WRITE, Verdict.NOT_RUN
            )
        http = self._new_answer_connection(attempt, stream)
        reader = http.reader
        try:
            async with asyncio.timeout(
                attempt.deadline.remaining(self._clock())
            ):
                self._write_request(http, attempt)
                reader = await self._read_answer(http, attempt, stream)
        except TimeoutError:
            stream.close()
            return self._failed_outcome(Ending.TIMED_OUT, Verdict.MAY_HAVE_RUN)
        except (iostream.StreamClosedError, iostream.UnsatisfiableReadError):
            stream.close()
            return self._incomplete_outcome(reader)
        if stream.writing():
            # The upstream answered before the whole request was sent.
            reader.forbid_reuse()
        return self._response_outcome(attempt, connection, reader)

    async def _read_answer(
        self,
        http: AnswerConnection,
        attempt: Attempt,
        stream: InspectableStream,
    ) -> AnswerReader:
        """Reads the answer to the attempt and skips unmatched responses."""
        for _ in range(MAX_UNMATCHED_ANSWERS):
            await http.read_answer()
            if self._is_final(attempt, http.reader):
                return http.reader
            http = self._new_answer_connection(attempt, stream)
            # The request is already sent; otherwise the reader would wait for
            # its end.
            http.finish()
            http.reader.forbid_reuse()
        await http.read_answer()
        if not self._is_final(attempt, http.reader):
            http.reader.record_fault('answers to other requests')
        return http.reader

    def _is_final(self, attempt: Attempt, reader: AnswerReader) -> bool:
        """Whether the response is that to the attempt, or malformed."""
        if reader.fault is not None:
            return True
        return self._dialect.matches_attempt(attempt, reader.headers)

    def _new_answer_connection(
        self, attempt: Attempt, stream: InspectableStream
    ) -> AnswerConnection:
        reservation = None
        if self._reserve_for is not None:
            reservation = self._reserve_for(attempt.ticket.route.service)
        reader = AnswerReader(
            attempt.ticket.call.method,
            self._body_limit_bytes,
            stream.close,
            reservation,
        )
        return AnswerConnection(stream, self._params, reader)

    def _write_request(
        self, http: http1connection.HTTP1Connection, attempt: Attempt
    ) -> None:
        call = attempt.ticket.call
        headers = httputil.HTTPHeaders()
        for name, text in call.headers:
            headers.add(name, text)
        if call.body or call.method in {'POST', 'PUT', 'PATCH'}:
            headers['Content-Length'] = str(len(call.body))
        for name, text in self._dialect.request_headers(attempt, self._clock()):
            headers[name] = text
        start = httputil.RequestStartLine(call.method, call.target, 'HTTP/1.1')
        # A lost connection is detected by reading, so writes are not awaited.
        if len(call.body) > MAX_COPIED_BYTES:
            written = http.write_headers(start, headers)
            written.add_done_callback(ignore_exception)
            written = http.write(cast(bytes, call.body))
        else:
            body = bytes(call.body) or None
            written = http.write_headers(start, headers, body)
        written.add_done_callback(ignore_exception)
        http.finish()

    def _response_outcome(
        self, attempt: Attempt, connection: Connection, reader: AnswerReader
    ) -> Outcome:
        answer = reader.answer
        if answer is None:
            connection.stream.close()
            return self._incomplete_outcome(reader)
        fault = self._length_fault(reader)
        if fault is None and connection.was_used:
            # This may be a second copy of the answer to an earlier request.
            fault = self._identity_fault(attempt, reader)
        if fault is not None:
            connection.stream.close()
            return self._bad_answer_outcome(fault)
        if reader.keeps_alive:
            self._release(
                attempt.upstream.name, connection, reader.keep_alive_seconds
            )
        else:
            connection.stream.close()
        now = self._clock()
        report = self._dialect.load_report(reader.headers, now)
        limit = self._dialect.stated_limit(reader.headers)
        notice = self._dialect.notice(answer.status, reader.headers)
        refusal = self._dialect.refusal_ending(answer, reader)
        if refusal is not None:
            return Outcome(
                refusal, Verdict.NOT_RUN, now, None, report, limit, notice
            )
        return Outcome(
            Ending.ANSWERED, Verdict.RAN, now, answer, report, limit, notice
        )

    def _length_fault(self, reader: AnswerReader) -> str | None:
        if reader.is_self_delimited or self._dialect.allows_close_delimited:
            return None
        return 'body without a length'

    def _identity_fault(
        self, attempt: Attempt, reader: AnswerReader
    ) -> str | None:
        if self._dialect.identifies_attempt(attempt, reader.headers):
            return None
        return 'no request ID on a reused connection'

    def _incomplete_outcome(self, reader: AnswerReader) -> Outcome:
        if reader.is_overlong:
            return self._bad_answer_outcome('body without end')
        if reader.is_too_large:
            return self._failed_outcome(Ending.TOO_LARGE, Verdict.RAN)
        if reader.fault is not None:
            return self._bad_answer_outcome(reader.fault)
        if reader.has_head:
            return self._bad_answer_outcome(
                'connection closed within the answer'
            )
        return self._failed_outcome(Ending.LOST, Verdict.MAY_HAVE_RUN)

    def _bad_answer_outcome(self, fault: str) -> Outcome:
        return Outcome(
            Ending.BAD_ANSWER, Verdict.MAY_HAVE_RUN, self._clock(), fault=fault
        )

    def _failed_outcome(self, ending: Ending, verdict: Verdict) -> Outcome:
        return Outcome(ending, verdict, self._clock())

    def _pop_idle(self, name: str) -> Connection | None:
        """Removes and returns the most recently used usable connection."""
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
        # Unsolicited input would be read as the response to the next request.
        if stream.has_unread_input:
            return False
        if connection.idle_deadline.has_passed(now):
            return False
        return self._is_trusted(name, connection.opened_at)

    def _release(
        self,
        name: str,
        connection: Connection,
        keep_alive_seconds: float | None,
    ) -> None:
        stream = connection.stream
        if stream.has_unread_input:
            stream.close()
            return
        connections = self._idle.setdefault(name, deque())
        if len(connections) >= MAX_IDLE_CONNECTIONS:
            connections.popleft().stream.close()
        connection.mark_idle(self._clock(), keep_alive_seconds)
        connections.append(connection)
        # The stream detects a close by the upstream only with a callback set.
        stream.set_close_callback(_ignore_close)


def _ignore_close() -> None:
    """Ignores the close: ``_pop_idle`` skips closed connections."""


def new_pool(
    settings: Settings,
    clock: Callable[[], Instant],
    is_trusted: Callable[[str, Instant], bool],
    reserve_for: Callable[[str], Reservation] | None = None,
) -> HttpPool:
    """Creates an empty connection pool."""
    return HttpPool(settings, clock, is_trusted, reserve_for)
