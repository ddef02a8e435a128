"""The HTTP server of an upstream stand-in.

One process may host many upstreams, each on its own port. The control server
of the process has another port, which faults do not affect.
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

#: The time between accepting a connection and serving it.
ACCEPT_DELAY_SECONDS: Final = 0.001
DEFAULT_CONNECTION_LIMIT: Final = 250
_LOOPBACK: Final = '127.0.0.1'


@final
class Upstream(httputil.HTTPServerConnectionDelegate):
    """Serves requests on one port with the state of one server."""

    def __init__(
        self,
        server: Server,
        port: int,
        connection_limit: int = DEFAULT_CONNECTION_LIMIT,
    ) -> None:
        """Creates the upstream; ``listen`` opens its port."""
        self._server = server
        self._port = port
        self._connection_limit = connection_limit
        self._streams: set[IOStream] = set()
        self._opened_at: dict[int, Instant] = {}
        self._queue: collections.deque[Exchange] = collections.deque()
        self._listener: TCPServer | None = None

    @property
    def server(self) -> Server:
        """The state of the upstream."""
        return self._server

    @property
    def port(self) -> int:
        """The port, which stays the same after a crash."""
        return self._port

    @property
    def call_limit(self) -> float | None:
        """The requests per second that answers state, or None."""
        return self._server.call_limit

    def listen(self) -> None:
        """Opens the port, at start-up and after each crash."""
        self._listener = _Listener(self)
        self._listener.add_sockets(bind_sockets(self._port, _LOOPBACK))

    def inject_fault(self, fault: str, argument: str) -> None:
        """Injects a fault; a crash also closes the port and connections."""
        now = time.monotonic()
        FAULTS.find(fault)(self._server, argument, now)
        if self._server.down_until > now and self._listener:
            self._close_temporarily(self._server.down_until - now)

    def accept(self, stream: IOStream, address: Any) -> None:
        """Serves a connection, or closes it when the limit is reached."""
        if len(self._streams) >= self._connection_limit:
            self._server.count('connections_refused')
            stream.close()
            return
        self._server.count('connections')
        self._streams.add(stream)
        asyncio.get_running_loop().call_later(
            ACCEPT_DELAY_SECONDS, self._start_serving, stream, address
        )

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> Exchange:
        """Creates the exchange that reads one request."""
        assert isinstance(request_conn, HTTP1Connection)
        opened_at = self._opened_at[id(server_conn)]
        return Exchange(self, request_conn, opened_at)

    def on_close(self, server_conn: object) -> None:
        """Removes a closed connection."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        self._opened_at.pop(id(server_conn), None)
        self._streams.discard(server_conn.stream)

    def handle_request(self, exchange: Exchange) -> None:
        """Answers, starts, queues, sheds or drops a complete request."""
        server = self._server
        if exchange.opened_at < server.silent_before:
            server.count('swallowed')
            return
        now = time.monotonic()
        if exchange.target == '/health':
            exchange.answer(200, {'state': 'serving'})
        elif exchange.target == '/load':
            self._serve_load_report(exchange, now)
        else:
            self._admit(exchange, now)

    def end_exchange(self, exchange: Exchange, status: int) -> None:
        """Answers an exchange that ran, or sheds one still in the queue."""
        if exchange.is_running:
            self._release_slot(exchange)
            exchange.answer(
                status, exchange.answer_body(self._server.traits.name)
            )
            self._start_next()
        else:
            self._queue.remove(exchange)
            self._shed(exchange)

    def cancel_exchange(self, exchange: Exchange) -> None:
        """Cancels an exchange whose caller closed the connection."""
        self._server.count('cancelled')
        if exchange.is_running:
            self._release_slot(exchange)
            self._start_next()
        elif exchange in self._queue:
            exchange.mark_stopped()
            self._queue.remove(exchange)

    def _start_serving(self, stream: IOStream, address: Any) -> None:
        connection = HTTP1ServerConnection(stream, None, address)
        self._opened_at[id(connection)] = time.monotonic()
        connection.start_serving(self)

    def _admit(self, exchange: Exchange, now: Instant) -> None:
        server = self._server
        server.record_arrival(now)
        if exchange.carries_key:
            server.count('keys_seen')
        if server.crash_marker and server.crash_marker in exchange.target:
            server.record_run(exchange.request_id)
            self.inject_fault('crash', '')
        elif server.is_failing:
            server.record_run(exchange.request_id)
            server.count('failed')
            exchange.answer(500, exchange.answer_body(server.traits.name))
        elif server.is_draining:
            self._shed(exchange)
        elif server.in_flight < server.traits.slots:
            self._start_exchange(exchange, now)
        elif len(self._queue) < server.traits.queue_limit:
            self._queue.append(exchange)
            if exchange.deadline_at < float('inf'):
                exchange.end_later(exchange.deadline_at - now, 503)
        else:
            self._shed(exchange)

    def _start_exchange(self, exchange: Exchange, now: Instant) -> None:
        exchange.mark_stopped()
        exchange.mark_running()
        self._server.acquire_slot()
        self._server.record_run(exchange.request_id)
        exchange.end_later(
            service_seconds(self._server, exchange.request_id, now), 200
        )

    def _serve_load_report(self, exchange: Exchange, now: Instant) -> None:
        server = self._server
        server.count('probes')
        if now >= server.report_valid_until:
            server.update_report(now + server.traits.report_lag_seconds)
        report = {
            'in_flight': server.reported_in_flight,
            'slots': server.traits.slots,
            'state': state_name(server, now),
        }
        if not server.traits.probe_seconds:
            exchange.answer(200, report)
            return
        server.acquire_slot()
        asyncio.get_running_loop().call_later(
            server.traits.probe_seconds, self._end_load_report, exchange, report
        )

    def _end_load_report(
        self, exchange: Exchange, report: dict[str, Any]
    ) -> None:
        self._server.release_slot()
        exchange.answer(200, report)
        self._start_next()

    def _shed(self, exchange: Exchange) -> None:
        self._server.count('shed')
        body = exchange.answer_body(self._server.traits.name)
        exchange.answer(503, body, names.NOT_RUN)

    def _release_slot(self, exchange: Exchange) -> None:
        exchange.mark_stopped()
        self._server.release_slot()

    def _start_next(self) -> None:
        if self._queue and self._server.in_flight < self._server.traits.slots:
            self._start_exchange(self._queue.popleft(), time.monotonic())

    def _close_temporarily(self, seconds: float) -> None:
        if self._listener:
            self._listener.stop()
            self._listener = None
        self._queue.clear()
        for stream in tuple(self._streams):
            stream.close()
        self._streams.clear()
        asyncio.get_running_loop().call_later(seconds, self.listen)


@final
class _Listener(TCPServer):
    def __init__(self, upstream: Upstream) -> None:
        super().__init__()
        self._upstream = upstream

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        self._upstream.accept(stream, address)
