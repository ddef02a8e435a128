"""The HTTP front end that receives the requests of callers."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final, cast, final
from urllib.parse import parse_qs

from tornado import http1connection, httputil, iostream

from chervilstep.adapters.buffering import RequestBuffering, Reservation
from chervilstep.adapters.streams import ignore_exception
from chervilstep.calls import Answer, Call, Reply
from chervilstep.node import Node
from chervilstep.queries import headers as header_rules
from chervilstep.queries.locator import entry_addresses
from chervilstep.refusals import (
    BODY_TOO_LARGE,
    HEADERS_TOO_LARGE,
    INTERNAL_ERROR,
    KEY_IN_QUERY,
    MEMORY_FULL,
    Refusal,
)
from chervilstep.types import MS_PER_SECOND, Deadline, Instant, new_deadline

#: The path at which callers look up the addresses of entry instances.
LOCATOR_PATH: Final = '/chervilstep/addresses'

_JSON: Final = ('Content-Type', 'application/json')


@final
class EntryFrontEnd(httputil.HTTPServerConnectionDelegate):
    """Converts HTTP requests to calls and replies to HTTP responses."""

    __slots__ = ('_clock', '_handle', '_node', '_tasks')

    def __init__(
        self,
        node: Node,
        handle: Callable[[Call], Awaitable[Reply]],
        clock: Callable[[], Instant],
    ) -> None:
        """Creates a front end that passes each call to ``handle``."""
        self._node = node
        self._handle = handle
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def in_flight(self) -> int:
        """The number of requests in progress."""
        return len(self._tasks)

    @property
    def node(self) -> Node:
        """The node that the front end serves."""
        return self._node

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Returns the reader of a new request."""
        return RequestReader(self, request_conn)

    def new_reservation(self, headers: httputil.HTTPHeaders) -> Reservation:
        """Returns the reservation for the body of a request."""
        buffering = RequestBuffering(self._node, self._clock)
        return buffering.new_reservation(headers).reservation

    def start_call(
        self, reader: 'RequestReader', call: Call
    ) -> asyncio.Task[None]:
        """Starts a task that answers a complete request."""
        task = asyncio.get_running_loop().create_task(
            self._answer_call(reader, call)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def deadline_after(self, milliseconds: int) -> Deadline:
        """Returns the deadline ``milliseconds`` from now."""
        return new_deadline(self._clock(), milliseconds / MS_PER_SECOND)

    def answer_locator_query(self, reader: 'RequestReader', query: str) -> None:
        """Writes the addresses of the entry instances for a caller."""
        zone = parse_qs(query).get('zone')
        entries = entry_addresses(
            self._node, self._clock(), zone[0] if zone else None
        )
        self._node.counters.add('locator_answers')
        reader.write(
            Answer(
                200,
                'OK',
                (_JSON, ('Cache-Control', 'no-store')),
                json.dumps(
                    {
                        'addresses': entries.addresses,
                        'keep_ms': int(entries.ttl_seconds * MS_PER_SECOND),
                    }
                ).encode(),
            )
        )

    async def _answer_call(self, reader: 'RequestReader', call: Call) -> None:
        try:
            reply = await self._handle(call)
        except Exception:
            # The caller receives a verdict even after an unexpected error.
            self._node.counters.add('internal_errors')
            reader.write(refusal_answer(INTERNAL_ERROR))
            raise
        reader.write(
            refusal_answer(reply) if isinstance(reply, Refusal) else reply
        )


@final
class RequestReader(httputil.HTTPMessageDelegate):
    """Reads one request and writes its response."""

    __slots__ = (
        '_chunks',
        '_connection',
        '_front_end',
        '_headers',
        '_is_answered',
        '_received_bytes',
        '_refusal',
        '_reservation',
        '_start_line',
        '_task',
    )

    def __init__(
        self, front_end: EntryFrontEnd, connection: httputil.HTTPConnection
    ) -> None:
        """Creates a reader for a request on ``connection``."""
        self._front_end = front_end
        self._reservation: Reservation | None = None
        self._connection = cast(http1connection.HTTP1Connection, connection)
        self._chunks: list[bytes] = []
        self._received_bytes = 0
        self._is_answered = False
        self._refusal: Refusal | None = None
        self._task: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Stores the head and checks it against the size limits."""
        if isinstance(start_line, httputil.RequestStartLine):
            self._start_line = start_line
        self._headers = headers
        self._reservation = self._front_end.new_reservation(headers)
        limit = self._front_end.node.settings.header_limit_bytes
        if sum(len(name) + len(text) for name, text in headers.get_all()) > (
            limit
        ):
            self._refusal = HEADERS_TOO_LARGE
        elif self._content_length() > self._body_limit_bytes():
            self._refusal = BODY_TOO_LARGE

    def data_received(self, chunk: bytes) -> None:
        """Stores a chunk of the body.

        A body above the limit is read to its end and discarded: closing a
        connection with unread input resets it, and the caller could lose the
        refusal.
        """
        self._received_bytes += len(chunk)
        if self._received_bytes > self._body_limit_bytes():
            self._refusal = BODY_TOO_LARGE
            self._chunks.clear()
        if self._refusal is None:
            self._store(chunk)

    def _store(self, chunk: bytes) -> None:
        if self._reservation and self._reservation.try_extend(len(chunk)):
            self._chunks.append(chunk)
        else:
            self._refusal = MEMORY_FULL
            self._chunks.clear()

    def finish(self) -> None:
        """Answers the complete request or starts its call."""
        path, _, query = self._start_line.path.partition('?')
        if self._refusal is not None:
            self._refuse(self._refusal)
        elif path == LOCATOR_PATH:
            self._front_end.answer_locator_query(self, query)
        elif header_rules.has_key_in_query(self._start_line.path):
            self._refuse(KEY_IN_QUERY)
        else:
            self._task = self._front_end.start_call(self, self._new_call())
            self._connection.set_close_callback(self.on_connection_close)

    def on_connection_close(self) -> None:
        """Cancels the call when the caller disconnects."""
        self._is_answered = True
        if self._task is not None:
            self._task.cancel()

    def write(self, answer: Answer) -> None:
        """Writes the answer unless one was sent or the caller disconnected."""
        if self._is_answered:
            return
        self._is_answered = True
        headers = httputil.HTTPHeaders()
        for name, text in answer.headers:
            headers.add(name, text)
        body = None
        if _has_body(answer, self._start_line.method):
            headers['Content-Length'] = str(len(answer.body))
            body = bytes(answer.body) or None
        if self._front_end.node.members.is_leaving:
            # A request on a kept connection could cross the close at the end.
            headers['Connection'] = 'close'
        try:
            written = self._connection.write_headers(
                httputil.ResponseStartLine(
                    'HTTP/1.1', answer.status, answer.reason
                ),
                headers,
                body,
            )
        except iostream.StreamClosedError:
            return
        written.add_done_callback(ignore_exception)
        self._connection.finish()

    def _refuse(self, refusal: Refusal) -> None:
        self._front_end.node.counters.add('refusals', reason=refusal.reason)
        self.write(refusal_answer(refusal))

    def _new_call(self) -> Call:
        headers = self._headers
        key = header_rules.bearer_key(headers.get(header_rules.KEY_HEADER))
        milliseconds = header_rules.parse_milliseconds(
            headers.get(header_rules.DEADLINE_HEADER)
        )
        return Call(
            self._start_line.method,
            self._start_line.path,
            header_rules.request_headers(headers.get_all()),
            b''.join(self._chunks),
            key_digest=header_rules.digest_key(key) if key else None,
            deadline=(
                None
                if milliseconds is None
                else self._front_end.deadline_after(milliseconds)
            ),
            attempt=header_rules.parse_milliseconds(
                headers.get(header_rules.ATTEMPT_HEADER)
            )
            or 1,
        )

    def _content_length(self) -> int:
        return header_rules.parse_content_length(
            self._headers.get('Content-Length')
        )

    def _body_limit_bytes(self) -> int:
        return self._front_end.node.settings.body_limit_bytes


def refusal_answer(refusal: Refusal) -> Answer:
    """Returns the HTTP answer that carries a refusal."""
    verdict = refusal.verdict.value
    body = json.dumps(
        {
            'reason': refusal.reason,
            'verdict': verdict,
            'message': refusal.message,
        }
    )
    return Answer(
        refusal.status,
        HTTPStatus(refusal.status).phrase,
        (
            _JSON,
            (header_rules.VERDICT_HEADER, verdict),
            (header_rules.REASON_HEADER, refusal.reason),
        ),
        body.encode(),
    )


def _has_body(answer: Answer, method: str) -> bool:
    return method != 'HEAD' and answer.status not in {204, 304}


def new_entry_front_end(
    node: Node,
    handle: Callable[[Call], Awaitable[Reply]],
    clock: Callable[[], Instant],
) -> EntryFrontEnd:
    """Creates the HTTP front end of a node."""
    return EntryFrontEnd(node, handle, clock)
