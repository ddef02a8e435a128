"""One request at an upstream stand-in, from its head to its answer."""

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

_REASONS: Final = {200: 'OK', 500: 'Error', 503: 'Shed', 504: 'Late'}
_MS: Final = 1000


class Handler(Protocol):
    """Whoever serves the exchanges of a connection."""

    def take(self, exchange: 'Exchange') -> None:
        """Takes a whole request."""

    def end(self, exchange: 'Exchange', status: int) -> None:
        """Ends what an exchange waited for."""

    def cancel(self, exchange: 'Exchange') -> None:
        """Forgets an exchange whose caller went away."""


@final
class Exchange(httputil.HTTPMessageDelegate):
    """One request at an upstream, from its head to its answer."""

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
        '_upstream',
    )

    def __init__(
        self,
        upstream: 'Handler',
        connection: HTTP1Connection,
        opened_at: Instant,
    ) -> None:
        """Starts to read; ``opened_at`` is when its connection was opened."""
        self._upstream = upstream
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
        """When the connection was opened."""
        return self._opened_at

    @property
    def deadline_at(self) -> Instant:
        """When the caller no longer wants an answer."""
        return self._deadline_at

    @property
    def request_id(self) -> str:
        """The id that the caller gave the request."""
        return self._headers.get(names.REQUEST_ID, '')

    @property
    def carries_key(self) -> bool:
        """Whether a key came through, which must never happen."""
        return any(name in self._headers for name in names.KEY_HEADERS)

    @property
    def is_open(self) -> bool:
        """Whether an answer is still wanted."""
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
        """Takes the head in."""
        assert isinstance(start_line, httputil.RequestStartLine)
        self._headers = headers
        self._target = start_line.path
        allowed_ms = headers.get(names.DEADLINE)
        if allowed_ms:
            self._deadline_at = time.monotonic() + float(allowed_ms) / _MS

    def data_received(self, chunk: bytes) -> None:
        """Takes a part of the body in."""
        self._body += chunk

    def finish(self) -> None:
        """Hands the whole request to the upstream."""
        self._connection.set_close_callback(self._abandon)
        self._upstream.take(self)

    def on_connection_close(self) -> None:
        """Forgets a request whose caller went away while sending."""
        self._abandon()

    def wait(self, seconds: float, status: int) -> None:
        """Answers after some time, but not after the deadline."""
        left = self._deadline_at - time.monotonic()
        if left < seconds:
            seconds, status = max(0, left), 504
        self._timer = asyncio.get_running_loop().call_later(
            seconds, self._upstream.end, self, status
        )

    def start(self) -> None:
        """Notes that the exchange holds a slot."""
        self._is_running = True

    def stop(self) -> None:
        """Notes that the exchange holds no slot any more."""
        self._is_running = False
        self._cancel_timer()

    def answer(self, status: int, data: dict[str, Any], *more: str) -> None:
        """Sends the answer; ``more`` are names of headers with value 1."""
        if not self._is_open:
            return
        self._is_open = False
        text = json.dumps(data).encode()
        headers = httputil.HTTPHeaders(
            {
                'Content-Type': 'application/json',
                'Content-Length': str(len(text)),
            }
        )
        if self.request_id:
            headers[names.REQUEST_ID] = self.request_id
        for name in more:
            headers[name] = '1'
        line = httputil.ResponseStartLine('HTTP/1.1', status, _REASONS[status])
        try:
            self._connection.write_headers(line, headers, text)
            self._connection.finish()
        except StreamClosedError:
            return

    def echo(self, name: str) -> dict[str, Any]:
        """The body of an answer, which shows whose answer it is."""
        return {
            'request_id': self.request_id,
            'upstream': name,
            'body_digest': xxhash.xxh64_hexdigest(bytes(self._body)),
        }

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _abandon(self) -> None:
        if self._is_open:
            self._is_open = False
            self._upstream.cancel(self)
