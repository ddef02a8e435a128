"""The HTTP admin endpoint: health, status, metrics, explain."""

import asyncio
import json
from collections.abc import Callable
from typing import Any, Final, final

from tornado import httpserver, iostream, web

from chervilstep.adapters.admission import Admission
from chervilstep.adapters.backlog import BacklogServer
from chervilstep.adapters.metrics import CONTENT_TYPE, Metrics, new_metrics
from chervilstep.callers import ConnectionTable
from chervilstep.hooks import STATUS_ENTRIES
from chervilstep.node import Node
from chervilstep.queries.callers import connection_to_evict
from chervilstep.queries.explaining import explain
from chervilstep.queries.load import accepts_callers
from chervilstep.types import Instant

#: Operators send heads without bodies.
MAX_HEAD_BYTES: Final = 16 * 1024
MAX_BODY_BYTES: Final = 64 * 1024
READ_BYTES: Final = 16 * 1024
IDLE_TIMEOUT_SECONDS: Final = 60
BODY_TIMEOUT_SECONDS: Final = 5


@final
class AdminServer(BacklogServer, httpserver.HTTPServer):
    """Serves an application to a bounded number of connections."""

    # The base class has a __dict__; the slots declare the attributes.
    __slots__ = ('_admission', '_streams')

    def __init__(
        self, application: web.Application, admission: Admission
    ) -> None:
        """Creates a server, without listening yet."""
        super().__init__(
            application,
            max_header_size=MAX_HEAD_BYTES,
            max_body_size=MAX_BODY_BYTES,
            chunk_size=READ_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_SECONDS,
            body_timeout=BODY_TIMEOUT_SECONDS,
        )
        self._admission = admission
        self._streams: ConnectionTable[iostream.IOStream] = ConnectionTable()

    def has_room(self) -> bool:
        """Closes the oldest connections at the limit; there is room then."""
        while len(self._streams) >= self._admission.limits.connections:
            self._make_room('connections')
        return True

    def handle_shortage(self) -> None:
        """Frees the descriptor of a connection."""
        self._make_room('descriptors')

    def handle_stream(
        self, stream: iostream.IOStream, address: tuple[Any, ...]
    ) -> None:
        """Serves a connection."""
        self._streams.add(stream, asyncio.get_running_loop().time())
        stream.set_close_callback(lambda: self._streams.remove(stream))
        super().handle_stream(stream, address)

    def close_all(self) -> None:
        """Closes every connection."""
        for stream in self._streams.connections:
            stream.close()

    def _make_room(self, reason: str) -> None:
        now = asyncio.get_running_loop().time()
        stream = connection_to_evict(self._streams, now)
        if stream is not None:
            phase = self._streams.phase_of(stream)
            self._admission.report_closed(reason, phase)
            self._streams.remove(stream)
            stream.close()


@final
class StatusHandler(web.RequestHandler):
    """Serves the status of the instance as JSON."""

    __slots__ = ('_clock', '_node')

    def initialize(self, node: Node, clock: Callable[[], Instant]) -> None:
        """Sets the node and its clock."""
        self._node = node
        self._clock = clock

    def get(self) -> None:
        """Writes the entries of the status by name."""
        now = self._clock()
        self.set_header('Content-Type', 'application/json')
        self.write(
            json.dumps(
                {
                    name: STATUS_ENTRIES.find(name)(self._node, now)
                    for name in STATUS_ENTRIES.names
                }
            )
        )


@final
class HealthHandler(web.RequestHandler):
    """Serves the readiness of this instance."""

    __slots__ = ('_clock', '_node')

    def initialize(self, node: Node, clock: Callable[[], Instant]) -> None:
        """Sets the node and its clock."""
        self._node = node
        self._clock = clock

    def get(self) -> None:
        """Writes 200 if the instance accepts callers, 503 otherwise."""
        is_ready = accepts_callers(self._node, self._clock())
        self.set_status(200 if is_ready else 503)
        self.write('ready\n' if is_ready else 'not ready\n')


@final
class MetricsHandler(web.RequestHandler):
    """Serves the metrics in the Prometheus text format."""

    __slots__ = ('_metrics',)

    def initialize(self, metrics: Metrics) -> None:
        """Sets the metrics to serve."""
        self._metrics = metrics

    def get(self) -> None:
        """Writes every metric."""
        self.set_header('Content-Type', CONTENT_TYPE)
        self.write(self._metrics.exposition())


@final
class ExplainHandler(web.RequestHandler):
    """Serves an explanation of how a request would be handled."""

    __slots__ = ('_clock', '_node')

    def initialize(self, node: Node, clock: Callable[[], Instant]) -> None:
        """Sets the node and its clock."""
        self._node = node
        self._clock = clock

    def get(self) -> None:
        """Writes the steps of the decision and its outcome as JSON."""
        explanation = explain(
            self._node,
            self.get_query_argument('method', 'GET'),
            self.get_query_argument('path'),
            self.get_query_argument('customer', ''),
            self._clock(),
        )
        self.write({'steps': explanation.steps, 'outcome': explanation.outcome})


def new_admin(node: Node, clock: Callable[[], Instant]) -> web.Application:
    """Creates the admin application of a node."""
    handler_arguments = {'node': node, 'clock': clock}
    return web.Application(
        [
            ('/health', HealthHandler, handler_arguments),
            ('/status', StatusHandler, handler_arguments),
            ('/explain', ExplainHandler, handler_arguments),
            (
                '/metrics',
                MetricsHandler,
                {'metrics': new_metrics(node, clock)},
            ),
        ],
        log_function=lambda handler: None,
    )
