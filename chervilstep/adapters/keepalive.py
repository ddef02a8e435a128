"""An HTTP client that sends GET requests over one persistent connection."""

import asyncio
from typing import Final, final

from tornado import http1connection, httputil, iostream

from chervilstep.adapters.answers import AnswerConnection, AnswerReader
from chervilstep.adapters.streams import (
    InspectableStream,
    connect,
    enable_keep_alive,
    ignore_exception,
)
from chervilstep.calls import Answer
from chervilstep.exceptions import BrokenAnswerError, FetchError

MAX_HEAD_BYTES: Final = 16 * 1024


@final
class FetchedAnswer:
    """A complete answer with its headers."""

    __slots__ = ('_answer', '_headers')

    def __init__(self, answer: Answer, headers: httputil.HTTPHeaders) -> None:
        """Creates an answer with ``headers``."""
        self._answer = answer
        self._headers = headers

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._answer.status

    @property
    def body(self) -> bytes:
        """The complete body."""
        return bytes(self._answer.body)

    @property
    def headers(self) -> httputil.HTTPHeaders:
        """The headers; their names are case-insensitive."""
        return self._headers


@final
class KeepAliveClient:
    """A client of one address that keeps at most one connection open."""

    __slots__ = ('_address', '_params', '_stream')

    def __init__(self, address: str, max_body_bytes: int) -> None:
        """Creates a client of ``ip:port``, not connected yet."""
        self._address = address
        self._stream: InspectableStream | None = None
        self._params = http1connection.HTTP1ConnectionParameters(
            max_header_size=MAX_HEAD_BYTES, max_body_size=max_body_bytes
        )

    async def get(self, target: str, timeout_seconds: float) -> FetchedAnswer:
        """Fetches ``target`` within ``timeout_seconds``.

        Raises:
            FetchError: No complete answer arrived in time.
            BrokenAnswerError: The answer is malformed.
        """
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._exchange_with_retry(target)
        except (OSError, iostream.StreamClosedError) as fault:
            self.close()
            raise FetchError(type(fault).__name__) from fault
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Closes the connection."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    async def _exchange_with_retry(self, target: str) -> FetchedAnswer:
        """Fetches ``target``; replaces an open connection that fails.

        The server may have closed the persistent connection.
        """
        if self._stream is not None and self._stream.has_unread_input:
            # Such input would be read as the answer to this request.
            self.close()
        if self._stream is None:
            return await self._exchange(target)
        try:
            return await self._exchange(target)
        except (iostream.StreamClosedError, BrokenAnswerError):
            self.close()
        return await self._exchange(target)

    async def _exchange(self, target: str) -> FetchedAnswer:
        stream = await self._open_stream()
        reader = AnswerReader('GET', self._params.max_body_size or 0)
        http = AnswerConnection(stream, self._params, reader)
        headers = httputil.HTTPHeaders({'Host': self._address})
        start = httputil.RequestStartLine('GET', target, 'HTTP/1.1')
        written = http.write_headers(start, headers)
        written.add_done_callback(ignore_exception)
        http.finish()
        await http.read_answer()
        answer = reader.answer
        if not reader.keeps_alive:
            self.close()
        if answer is None:
            raise BrokenAnswerError(reader.fault or 'incomplete answer')
        return FetchedAnswer(answer, reader.headers)

    async def _open_stream(self) -> InspectableStream:
        if self._stream is None or self._stream.closed():
            self._stream = await connect(self._address)
            # Detects a dead connection while an answer is awaited.
            enable_keep_alive(self._stream.socket)
        return self._stream
