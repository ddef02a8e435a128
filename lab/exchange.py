"""A request to an upstream stand-in and its answer."""

import asyncio
import json
import time
from typing import Any, Final, Protocol, final

import xxhash
from tornado import httputil
from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError

from chervilstep.types import Instant
from lab import headers as names

_REASON_PHRASES: Final = {200: 'OK', 500: 'Error', 503: 'Shed', 504: 'Late'}
_MS_PER_SECOND: Final = 1000


class ExchangeHandler(Protocol):
    """Serves the exchanges of a connection."""

    @property
    def call_limit(self) -> float | None:
        """The requests per second to state in answers, or None."""

    def handle_request(self, exchange: 'Exchange') -> None:
        """Handles a request that was read completely."""

    def end_exchange(self, exchange: 'Exchange', status: int) -> None:
        """Ends a running or queued exchange whose timer has fired."""

    def cancel_exchange(self, exchange: 'Exchange') -> None:
        """Cancels an exchange whose caller closed the connection."""


@final
class Exchange(httputil.HTTPMessageDelegate):
    """Reads one request, and writes its answer."""

    __slots__ = (
        '_body',
        '_connection',
        '_deadline_at',
        '_headers',
        '_is_open',
        '_is_running',
        '_opened_at',
        '_target',
        '_timer',
        '_handler',
    )

    def __init__(
        self,
        handler: 'ExchangeHandler',
        connection: HTTP1Connection,
        opened_at: Instant,
    ) -> None:
        """Creates an exchange on a connection opened at ``opened_at``."""
        self._handler = handler
        self._connection = connection
        self._opened_at = opened_at
        self._headers = httputil.HTTPHeaders()
        self._target = ''
        self._body = bytearray()
        self._deadline_at = float('inf')
        self._timer: asyncio.TimerHandle | None = None
        self._is_open = True
        self._is_running = False

    @property
    def target(self) -> str:
        """The path with its query string."""
        return self._target

    @property
    def opened_at(self) -> Instant:
        """The time at which the connection was opened."""
        return self._opened_at

    @property
    def deadline_at(self) -> Instant:
        """The deadline of the request; infinite if it has none."""
        return self._deadline_at

    @property
    def request_id(self) -> str:
        """The request id set by the caller, or an empty text."""
        return self._headers.get(names.REQUEST_ID, '')

    @property
    def carries_key(self) -> bool:
        """Whether the request has a customer's key; entries must remove it."""
        return any(name in self._headers for name in names.KEY_HEADERS)

    @property
    def is_open(self) -> bool:
        """Whether the caller still waits for an answer."""
        return self._is_open

    @property
    def is_running(self) -> bool:
        """Whether the exchange holds a slot."""
        return self._is_running

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Stores the target, the headers and the deadline."""
        assert isinstance(start_line, httputil.RequestStartLine)
        self._headers = headers
        self._target = start_line.path
        timeout_ms = headers.get(names.DEADLINE)
        if timeout_ms:
            self._deadline_at = (
                time.monotonic() + float(timeout_ms) / _MS_PER_SECOND
            )

    def data_received(self, chunk: bytes) -> None:
        """Appends a chunk of the body."""
        self._body += chunk

    def finish(self) -> None:
        """Passes the complete request to the handler."""
        self._connection.set_close_callback(self._handle_close)
        self._handler.handle_request(self)

    def on_connection_close(self) -> None:
        """Cancels a request whose connection closes before its end."""
        self._handle_close()

    def end_later(self, seconds: float, status: int) -> None:
        """Ends the exchange after a delay, or at its deadline with 504."""
        remaining_seconds = self._deadline_at - time.monotonic()
        if remaining_seconds < seconds:
            seconds, status = max(0, remaining_seconds), 504
        self._timer = asyncio.get_running_loop().call_later(
            seconds, self._handler.end_exchange, self, status
        )

    def mark_running(self) -> None:
        """Records that the exchange holds a slot."""
        self._is_running = True

    def mark_stopped(self) -> None:
        """Records that the exchange holds no slot, and cancels its timer."""
        self._is_running = False
        self._cancel_timer()

    def answer(
        self, status: int, data: dict[str, Any], *flag_headers: str
    ) -> None:
        """Sends the answer; each of ``flag_headers`` has the value 1."""
        if not self._is_open:
            return
        self._is_open = False
        body = json.dumps(data).encode()
        headers = httputil.HTTPHeaders(
            {
                'Content-Type': 'application/json',
                'Content-Length': str(len(body)),
            }
        )
        if self.request_id:
            headers[names.REQUEST_ID] = self.request_id
        for name in flag_headers:
            headers[name] = '1'
        if self._handler.call_limit is not None:
            headers[names.LIMIT] = str(self._handler.call_limit)
        start_line = httputil.ResponseStartLine(
            'HTTP/1.1', status, _REASON_PHRASES[status]
        )
        try:
            self._connection.write_headers(start_line, headers, body)
            self._connection.finish()
        except StreamClosedError:
            return

    def answer_body(self, upstream_name: str) -> dict[str, Any]:
        """Returns a body that identifies the request and the upstream."""
        return {
            'request_id': self.request_id,
            'upstream': upstream_name,
            'body_digest': xxhash.xxh64_hexdigest(bytes(self._body)),
        }

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle_close(self) -> None:
        if self._is_open:
            self._is_open = False
            self._handler.cancel_exchange(self)
