"""Reads HTTP responses of upstreams and checks their completeness."""

import re
import sys
from collections.abc import Awaitable, Callable
from typing import Final, final

from tornado import http1connection, httputil, iostream

from chervilstep.adapters.buffering import Reservation
from chervilstep.adapters.requests import MAX_COPIED_BYTES
from chervilstep.adapters.streams import InspectableStream
from chervilstep.calls import Answer, Headers
from chervilstep.queries.headers import (
    answer_headers,
    parse_content_length,
    single_length,
)
from chervilstep.statuses import status_fault

#: Answers are much shorter than this, unless something is wrong.
OVERLONG_BYTES: Final = 4 * 1024 * 1024
#: Longer descriptions of faults, which may quote the response, are cut.
MAX_FAULT_CHARACTERS: Final = 100
_KEEP_ALIVE_TIMEOUT: Final = re.compile(r'timeout=(\d+)')
_STATUSES_WITHOUT_BODY: Final = frozenset((204, 304))


@final
class AnswerReader(httputil.HTTPMessageDelegate):
    """Collects one HTTP response and builds an answer when it is complete."""

    __slots__ = (
        '_abort',
        '_body',
        '_body_limit_bytes',
        '_fault',
        '_headers',
        '_is_aborted',
        '_is_finished',
        '_is_head',
        '_is_reusable',
        '_reservation',
        '_size',
        '_start_line',
    )

    def __init__(
        self,
        method: str,
        body_limit_bytes: int,
        abort: Callable[[], None] | None = None,
        reservation: Reservation | None = None,
    ) -> None:
        """Creates a reader for the response to a ``method`` request.

        Args:
            method: The method of the request.
            body_limit_bytes: The longest accepted body.
            abort: Closes the connection when a body cannot be held.
            reservation: Reserves the bytes of the body, which is otherwise
                only bounded by its limit.
        """
        self._is_head = method == 'HEAD'
        self._body_limit_bytes = body_limit_bytes
        self._abort = abort
        self._reservation = reservation
        self._body = bytearray()
        self._fault: str | None = None
        self._is_aborted = False
        self._size = 0
        self._headers = httputil.HTTPHeaders()
        self._start_line: httputil.ResponseStartLine | None = None
        self._is_finished = False
        self._is_reusable = True

    @property
    def headers(self) -> httputil.HTTPHeaders:
        """The response headers, with case-insensitive names."""
        return self._headers

    @property
    def keep_alive_seconds(self) -> float | None:
        """The ``timeout`` of the ``Keep-Alive`` header, or None."""
        match = _KEEP_ALIVE_TIMEOUT.search(self._headers.get('Keep-Alive', ''))
        return float(match.group(1)) if match else None

    @property
    def fault(self) -> str | None:
        """What is malformed in the response, or None."""
        return self._fault

    @property
    def has_head(self) -> bool:
        """Whether the status line and the headers have arrived."""
        return self._start_line is not None

    @property
    def is_too_large(self) -> bool:
        """Whether the body is above the limit, or there is no room for it."""
        length = parse_content_length(self._headers.get('Content-Length'))
        return self._is_aborted or length > self._body_limit_bytes

    @property
    def is_overlong(self) -> bool:
        """Whether a long body was given up for lack of room.

        Such a body probably has no end, and its upstream is at fault.
        """
        return self._is_aborted and self._size > OVERLONG_BYTES

    @property
    def keeps_alive(self) -> bool:
        """Whether the connection can be reused for another request."""
        connection = self._headers.get('Connection', '').lower()
        start = self._start_line
        if start is None or not self._is_reusable or not self.is_self_delimited:
            return False
        return start.version == 'HTTP/1.1' and connection != 'close'

    @property
    def is_self_delimited(self) -> bool:
        """Whether the end of the body is known without a close."""
        if self._is_head:
            return True
        if self._start_line and self._start_line.code in _STATUSES_WITHOUT_BODY:
            return True
        return (
            'Content-Length' in self._headers
            or 'Transfer-Encoding' in self._headers
        )

    @property
    def answer(self) -> Answer | None:
        """The answer, or None until it is complete."""
        start = self._start_line
        if start is None or not self._is_finished or self._is_aborted:
            return None
        if self._fault is not None:
            return None
        return Answer(
            start.code,
            start.reason,
            self._end_to_end_headers(),
            self._body
            if len(self._body) > MAX_COPIED_BYTES
            else bytes(self._body),
            self._reservation.holding if self._reservation else None,
        )

    def record_fault(self, fault: str) -> None:
        """Records what is malformed in the response, if nothing is yet."""
        if self._fault is None:
            self._fault = fault[:MAX_FAULT_CHARACTERS]

    def forbid_reuse(self) -> None:
        """Prevents the reuse of the connection for another request."""
        self._is_reusable = False

    def has_header(self, name: str) -> bool:
        """Whether the response has the header ``name``."""
        return name in self._headers

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Stores the head; the final one replaces that of a 1xx response.

        Raises:
            HTTPInputError: The response is malformed; nothing of it is stored.
        """
        if isinstance(start_line, httputil.ResponseStartLine):
            fault = status_fault(start_line.code)
            if fault is not None:
                # The connection records this error and closes.
                raise httputil.HTTPInputError(fault)
            if self._is_head or start_line.code in _STATUSES_WITHOUT_BODY:
                _check_framing(headers)
            self._start_line = start_line
            self._headers = headers

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Stores a chunk of the body; the next one waits for the result."""
        if self._reserve_now(len(chunk)):
            self._body += chunk
            return None
        return self._store_later(chunk)

    def finish(self) -> None:
        """Marks the body as complete according to its framing."""
        self._is_finished = True

    def _reserve_now(self, size: int) -> bool:
        return self._reservation is None or self._reservation.try_extend(size)

    async def _store_later(self, chunk: bytes) -> None:
        """Stores a chunk once there is room, or closes the connection."""
        if self._reservation is None or await self._reservation.extend(
            len(chunk)
        ):
            self._body += chunk
            return
        self._is_aborted = True
        self._size = len(self._body)
        self._body.clear()
        if self._abort is not None:
            self._abort()

    def _end_to_end_headers(self) -> Headers:
        headers = answer_headers(self._headers.get_all())
        # A response to HEAD states the length of a body that is not sent.
        if self._is_head and 'Content-Length' in self._headers:
            return (
                *headers,
                ('Content-Length', self._headers['Content-Length']),
            )
        return headers


def _check_framing(headers: httputil.HTTPHeaders) -> None:
    """Checks the length and the coding of a response without a body.

    The parser checks only the framing of bodies that it reads. Repetitions of
    one length are reduced to one.

    Raises:
        HTTPInputError: The length or the coding is malformed.
    """
    http1connection.is_transfer_encoding_chunked(headers)
    stated = headers.get('Content-Length')
    if stated is None:
        return
    length = single_length(stated)
    if length is None:
        raise httputil.HTTPInputError(f'malformed Content-Length {stated!r}')
    headers['Content-Length'] = length


@final
class AnswerConnection(http1connection.HTTP1Connection):
    """A client connection that reads one response."""

    # The base class has a __dict__; the slots declare the attributes.
    __slots__ = ('_inspectable', '_reader')

    def __init__(
        self,
        stream: InspectableStream,
        parameters: http1connection.HTTP1ConnectionParameters,
        reader: AnswerReader,
    ) -> None:
        """Creates a connection on an open stream."""
        super().__init__(stream, True, parameters)
        self._reader = reader
        self._inspectable = stream

    @property
    def reader(self) -> AnswerReader:
        """The reader that receives the response."""
        return self._reader

    async def read_answer(self) -> None:
        """Reads one response into the reader.

        Raises:
            StreamClosedError: The connection was lost, or a line is too long.
        """
        try:
            await self.read_response(self._reader)
        except iostream.StreamClosedError:
            self._record_lost_connection()
            raise
        # A body may end with its connection, unless that was reset.
        if self.stream.error is not None and not self._reader.is_self_delimited:
            self._reader.record_fault('body cut by a reset')

    def close(self) -> None:
        """Closes the stream, and tells the reader if the response is malformed.

        The base class closes while it handles the parser's error, which it
        does not pass on.
        """
        error = sys.exception()
        if isinstance(error, httputil.HTTPInputError):
            self._reader.record_fault(str(error))
        super().close()

    def _record_lost_connection(self) -> None:
        """Records a fault unless the connection ended before the response."""
        if isinstance(self.stream.error, iostream.UnsatisfiableReadError):
            self._reader.record_fault('head or chunk size above its limit')
        elif self._inspectable.has_partial_input and not self._reader.has_head:
            self._reader.record_fault('connection closed within the head')

    async def _deliver_body(
        self, delegate: httputil.HTTPMessageDelegate, data: bytes
    ) -> None:
        # The base class takes every exception of the reader for a fault, logs
        # it and raises another one. A cancelled attempt must end as cancelled.
        stored = delegate.data_received(data)
        if stored is not None:
            await stored
