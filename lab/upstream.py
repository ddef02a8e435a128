"""The upstream stand-in: HTTP around the state of a server.

One process may host many upstreams, each on its own port, beside one port for
control that faults never touch.
"""

import asyncio
import collections
import json
import time
from collections.abc import Iterable
from typing import Any, Final, final

import xxhash
from tornado import httputil, web
from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from chervilstep.types import Instant
from lab import headers as names
from lab.commands.faults import FAULTS
from lab.queries.capacity import service_seconds, state_name
from lab.servers import Server, Traits

#: How long an upstream takes to open a connection.
OPEN_SECONDS: Final = 0.001
DEFAULT_CONNECTION_LIMIT: Final = 250
_LOOPBACK: Final = '127.0.0.1'
_REASONS: Final = {200: 'OK', 500: 'Error', 503: 'Shed', 504: 'Late'}
_MS: Final = 1000


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
        upstream: 'Upstream',
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
        return any(name in self._headers for name in names.KEYS)

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


@final
class Upstream(httputil.HTTPServerConnectionDelegate):
    """Listens on one port and serves with the state of one server."""

    def __init__(
        self,
        server: Server,
        port: int,
        connection_limit: int = DEFAULT_CONNECTION_LIMIT,
    ) -> None:
        """Creates the upstream; ``listen_again`` opens its port."""
        self._server = server
        self._port = port
        self._connection_limit = connection_limit
        self._streams: set[IOStream] = set()
        self._opened_at: dict[int, Instant] = {}
        self._waiting: collections.deque[Exchange] = collections.deque()
        self._listener: TCPServer | None = None

    @property
    def server(self) -> Server:
        """The state."""
        return self._server

    @property
    def port(self) -> int:
        """The port, which a crash does not change."""
        return self._port

    def listen_again(self) -> None:
        """Opens the port, at the start and after each crash."""
        self._listener = _Listener(self)
        self._listener.add_sockets(bind_sockets(self._port, _LOOPBACK))

    def apply(self, fault: str, argument: str) -> None:
        """Brings a fault about."""
        now = time.monotonic()
        FAULTS.find(fault)(self._server, argument, now)
        if self._server.down_until > now and self._listener:
            self._break_off(self._server.down_until - now)

    def accept(self, stream: IOStream, address: Any) -> None:
        """Serves one more connection, unless there are too many."""
        if len(self._streams) >= self._connection_limit:
            self._server.count('connections_refused')
            stream.close()
            return
        self._server.count('connections')
        self._streams.add(stream)
        asyncio.get_running_loop().call_later(
            OPEN_SECONDS, self._serve, stream, address
        )

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> Exchange:
        """Starts to read one request."""
        assert isinstance(request_conn, HTTP1Connection)
        opened_at = self._opened_at[id(server_conn)]
        return Exchange(self, request_conn, opened_at)

    def on_close(self, server_conn: object) -> None:
        """Forgets a connection that was closed."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        self._opened_at.pop(id(server_conn), None)
        self._streams.discard(server_conn.stream)

    def take(self, exchange: Exchange) -> None:
        """Decides what becomes of a whole request."""
        server = self._server
        if exchange.opened_at < server.silent_before:
            server.count('swallowed')
            return
        now = time.monotonic()
        if exchange.target == '/health':
            exchange.answer(200, {'state': 'serving'})
        elif exchange.target == '/load':
            self._probe(exchange, now)
        else:
            self._admit(exchange, now)

    def end(self, exchange: Exchange, status: int) -> None:
        """Ends what ran, or sheds what waited until its deadline."""
        if exchange.is_running:
            self._free(exchange)
            exchange.answer(status, exchange.echo(self._server.traits.name))
            self._start_next()
        else:
            self._waiting.remove(exchange)
            self._shed(exchange)

    def cancel(self, exchange: Exchange) -> None:
        """Stops work that nobody waits for any more."""
        self._server.count('cancelled')
        if exchange.is_running:
            self._free(exchange)
            self._start_next()
        elif exchange in self._waiting:
            exchange.stop()
            self._waiting.remove(exchange)

    def _serve(self, stream: IOStream, address: Any) -> None:
        connection = HTTP1ServerConnection(stream, None, address)
        self._opened_at[id(connection)] = time.monotonic()
        connection.start_serving(self)

    def _admit(self, exchange: Exchange, now: Instant) -> None:
        server = self._server
        if exchange.carries_key:
            server.count('keys_seen')
        if server.crash_marker and server.crash_marker in exchange.target:
            server.run(exchange.request_id)
            self.apply('crash', '')
        elif server.is_failing:
            server.run(exchange.request_id)
            server.count('failed')
            exchange.answer(500, exchange.echo(server.traits.name))
        elif server.is_draining:
            self._shed(exchange)
        elif server.in_flight < server.traits.slots:
            self._start(exchange, now)
        elif len(self._waiting) < server.traits.queue_limit:
            self._waiting.append(exchange)
            if exchange.deadline_at < float('inf'):
                exchange.wait(exchange.deadline_at - now, 503)
        else:
            self._shed(exchange)

    def _start(self, exchange: Exchange, now: Instant) -> None:
        exchange.stop()
        exchange.start()
        self._server.occupy()
        self._server.run(exchange.request_id)
        exchange.wait(
            service_seconds(self._server, exchange.request_id, now), 200
        )

    def _probe(self, exchange: Exchange, now: Instant) -> None:
        server = self._server
        server.count('probes')
        if now >= server.report_until:
            server.report(now + server.traits.report_lag_seconds)
        report = {
            'in_flight': server.reported_in_flight,
            'slots': server.traits.slots,
            'state': state_name(server, now),
        }
        if not server.traits.probe_seconds:
            exchange.answer(200, report)
            return
        server.occupy()
        asyncio.get_running_loop().call_later(
            server.traits.probe_seconds, self._end_probe, exchange, report
        )

    def _end_probe(self, exchange: Exchange, report: dict[str, Any]) -> None:
        self._server.release()
        exchange.answer(200, report)
        self._start_next()

    def _shed(self, exchange: Exchange) -> None:
        self._server.count('shed')
        echo = exchange.echo(self._server.traits.name)
        exchange.answer(503, echo, names.NOT_RUN)

    def _free(self, exchange: Exchange) -> None:
        exchange.stop()
        self._server.release()

    def _start_next(self) -> None:
        if self._waiting and self._server.in_flight < self._server.traits.slots:
            self._start(self._waiting.popleft(), time.monotonic())

    def _break_off(self, seconds: float) -> None:
        if self._listener:
            self._listener.stop()
            self._listener = None
        self._waiting.clear()
        for stream in tuple(self._streams):
            stream.close()
        self._streams.clear()
        asyncio.get_running_loop().call_later(seconds, self.listen_again)


@final
class _Listener(TCPServer):
    def __init__(self, upstream: Upstream) -> None:
        super().__init__()
        self._upstream = upstream

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        self._upstream.accept(stream, address)


@final
class FaultHandler(web.RequestHandler):
    """Brings faults about: ``upstreams``, ``fault`` and ``argument``."""

    def initialize(self, upstreams: list[Upstream]) -> None:
        """Takes the upstreams of the process."""
        self._upstreams = upstreams

    def post(self) -> None:
        """Applies one fault to the upstreams that are named."""
        order = json.loads(self.request.body)
        for upstream in self._upstreams:
            if upstream.server.traits.name in order['upstreams']:
                upstream.apply(order['fault'], str(order.get('argument', '')))
        self.finish({})


@final
class CountsHandler(web.RequestHandler):
    """Reads out what the upstreams counted."""

    def initialize(self, upstreams: list[Upstream]) -> None:
        """Takes the upstreams of the process."""
        self._upstreams = upstreams

    def get(self) -> None:
        """Gives the counts of each upstream, and the runs of each request."""
        runs: collections.Counter[str] = collections.Counter()
        for upstream in self._upstreams:
            runs.update(upstream.server.runs)
        counts = {
            upstream.server.traits.name: upstream.server.counts
            for upstream in self._upstreams
        }
        self.finish({'upstreams': counts, 'runs': runs})


def new_upstreams(
    ports: dict[str, int], traits: dict[str, Any], connection_limit: int
) -> list[Upstream]:
    """Creates upstreams of equal traits by name and port."""
    return [
        Upstream(Server(Traits(name, **traits)), port, connection_limit)
        for name, port in ports.items()
    ]


async def serve_upstreams(
    upstreams: Iterable[Upstream], control_port: int
) -> None:
    """Serves until the process is ended."""
    hosted = list(upstreams)
    for upstream in hosted:
        upstream.listen_again()
    shared = {'upstreams': hosted}
    control = web.Application(
        [
            ('/control/fault', FaultHandler, shared),
            ('/control/counts', CountsHandler, shared),
        ],
        log_function=_ignore,
    )
    control.listen(control_port, _LOOPBACK)
    await asyncio.Event().wait()


def _ignore(handler: web.RequestHandler) -> None:
    """Keeps the access log empty."""
