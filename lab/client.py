"""An HTTP client for load generation: keep-alive connections, no retries."""

import asyncio
import collections
import json
from collections.abc import Mapping
from typing import Any, Final, final

from tornado import httputil
from tornado.http1connection import HTTP1Connection
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from chervilstep.statuses import status_fault

CONNECT_TIMEOUT_SECONDS: Final = 1
CONTROL_TIMEOUT_SECONDS: Final = 10


@final
class NotSent(Exception):
    """No connection could be opened, so nothing was sent."""


@final
class NoAnswer(Exception):
    """The request was sent and no complete answer was received."""


@final
class BrokenAnswer(Exception):
    """The request was sent and a malformed answer was received."""


@final
class Response(httputil.HTTPMessageDelegate):
    """An HTTP answer; ``is_complete`` tells whether all of it was received."""

    __slots__ = ('_body', '_headers', '_is_complete', '_status')

    def __init__(self) -> None:
        """Creates an empty answer."""
        self._status = 0
        self._headers = httputil.HTTPHeaders()
        self._body = bytearray()
        self._is_complete = False

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._status

    @property
    def headers(self) -> httputil.HTTPHeaders:
        """The headers."""
        return self._headers

    @property
    def body(self) -> bytes:
        """The body."""
        return bytes(self._body)

    @property
    def is_complete(self) -> bool:
        """Whether the whole answer has been received."""
        return self._is_complete

    @property
    def is_keep_alive(self) -> bool:
        """Whether the connection can be reused."""
        return self._headers.get('Connection', '').lower() != 'close'

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Stores the status and the headers."""
        assert isinstance(start_line, httputil.ResponseStartLine)
        self._status = start_line.code
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Appends a chunk of the body."""
        self._body += chunk

    def finish(self) -> None:
        """Marks the answer as complete."""
        self._is_complete = True


@final
class Client:
    """A client with a pool of idle connections by address."""

    __slots__ = ('_idle', '_tcp_client')

    def __init__(self) -> None:
        """Creates a client without connections."""
        self._tcp_client = TCPClient()
        self._idle: dict[str, collections.deque[IOStream]] = (
            collections.defaultdict(collections.deque)
        )

    async def send(
        self,
        address: str,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes = b'',
        *,
        seconds: float,
    ) -> Response:
        """Sends one request without retries.

        Raises:
            NotSent: No connection could be opened.
            NoAnswer: The connection was lost, or the timeout expired.
            BrokenAnswer: The answer is malformed.
        """
        stream = await self._acquire_stream(address)
        response = Response()
        is_well_formed = True
        try:
            async with asyncio.timeout(seconds):
                is_well_formed = await _exchange(
                    stream, method, target, headers, body, response
                )
        except (TimeoutError, StreamClosedError):
            stream.close()
        except asyncio.CancelledError:
            stream.close()
            raise
        if not is_well_formed:
            stream.close()
            raise BrokenAnswer(address)
        if not response.is_complete:
            stream.close()
            raise NoAnswer(address)
        fault = status_fault(response.status)
        if fault is not None:
            stream.close()
            raise BrokenAnswer(f'{address}: {fault}')
        if response.is_keep_alive:
            self._idle[address].append(stream)
        else:
            stream.close()
        return response

    def close(self) -> None:
        """Closes every idle connection."""
        for streams in self._idle.values():
            for stream in streams:
                stream.close()
        self._idle.clear()

    async def _acquire_stream(self, address: str) -> IOStream:
        idle = self._idle[address]
        while idle:
            stream = idle.pop()
            if not stream.closed():
                return stream
        host, _, port = address.partition(':')
        try:
            return await self._tcp_client.connect(
                host, int(port), timeout=CONNECT_TIMEOUT_SECONDS
            )
        except (OSError, TimeoutError, StreamClosedError) as error:
            raise NotSent(address) from error


async def send_control_request(address: str, target: str, data: Any) -> Any:
    """Sends a control request to a stand-in; a GET if ``data`` is None.

    Raises:
        NotSent: No connection could be opened.
        NoAnswer: The connection was lost, or the timeout expired.
        ValueError: The status of the answer is 400 or higher.
    """
    client = Client()
    method = 'GET' if data is None else 'POST'
    body = b'' if data is None else json.dumps(data).encode()
    response = await client.send(
        address, method, target, {}, body, seconds=CONTROL_TIMEOUT_SECONDS
    )
    client.close()
    if response.status >= 400:
        raise ValueError(
            f'control request {target} to {address} failed'
            f' with status {response.status}'
        )
    return json.loads(response.body)


async def _exchange(
    stream: IOStream,
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes,
    response: Response,
) -> bool:
    """Sends a request; returns False if the response is malformed."""
    connection = HTTP1Connection(stream, is_client=True)
    line = httputil.RequestStartLine(method, target, 'HTTP/1.1')
    head = httputil.HTTPHeaders(headers)
    head['Host'] = 'lab'
    if body or method == 'POST':
        head['Content-Length'] = str(len(body))
    connection.write_headers(line, head, body or None)
    connection.finish()
    return await connection.read_response(response)
