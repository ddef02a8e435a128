"""The HTTP admin endpoint: health, status, metrics, explain."""

import json
from collections.abc import Callable
from typing import final

from tornado import web

from chervilstep.adapters.metrics import CONTENT_TYPE, Metrics, new_metrics
from chervilstep.hooks import STATUS_ENTRIES
from chervilstep.node import Node
from chervilstep.queries.explaining import explain
from chervilstep.queries.load import accepts_callers
from chervilstep.types import Instant


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
