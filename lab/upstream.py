"""The upstream stand-in: HTTP around the state of a server.

One process may host many upstreams, each on its own port, beside one port for
control that faults never touch.
"""

import asyncio
import collections
import time
from typing import Any, Final, final

from tornado import httputil
from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from chervilstep.types import Instant
from lab import headers as names
from lab.commands.faults import FAULTS
from lab.exchange import Exchange
from lab.queries.capacity import service_seconds, state_name
from lab.servers import Server

#: How long an upstream takes to open a connection.
OPEN_SECONDS: Final = 0.001
DEFAULT_CONNECTION_LIMIT: Final = 250
_LOOPBACK: Final = '127.0.0.1'


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
