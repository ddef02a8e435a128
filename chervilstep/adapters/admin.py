"""The HTTP endpoint for operators: health, status and metrics."""

import json
from collections.abc import Callable
from typing import final

from tornado import web

from chervilstep.adapters.metrics import CONTENT_TYPE, Metrics, new_metrics
from chervilstep.hooks import STATUS_PARTS
from chervilstep.node import Node
from chervilstep.queries.explaining import explain
from chervilstep.queries.load import accepts_callers
from chervilstep.types import Instant


@final
class StatusHandler(web.RequestHandler):
    """Answers the whole status as JSON."""

    __slots__ = ('_clock', '_node')

    def initialize(self, node: Node, clock: Callable[[], Instant]) -> None:
        """Takes the node to describe."""
        self._node = node
        self._clock = clock

    def get(self) -> None:
        """Writes every part of the status by its name."""
        now = self._clock()
        self.set_header('Content-Type', 'application/json')
        self.write(
            json.dumps(
                {
                    name: STATUS_PARTS.find(name)(self._node, now)
                    for name in STATUS_PARTS.names
                }
            )
        )


@final
class HealthHandler(web.RequestHandler):
    """Answers whether this instance serves."""

    __slots__ = ('_clock', '_node')

    def initialize(self, node: Node, clock: Callable[[], Instant]) -> None:
        """Takes the node to describe."""
        self._node = node
        self._clock = clock

    def get(self) -> None:
        """Writes 200 while callers may be sent here, 503 otherwise."""
        serves = accepts_callers(self._node, self._clock())
        self.set_status(200 if serves else 503)
        self.write('ready\n' if serves else 'not ready\n')


@final
class MetricsHandler(web.RequestHandler):
    """Answers the metrics in the Prometheus text format."""

    __slots__ = ('_metrics',)

    def initialize(self, metrics: Metrics) -> None:
        """Takes the instruments to collect."""
        self._metrics = metrics

    def get(self) -> None:
        """Writes every metric."""
        self.set_header('Content-Type', CONTENT_TYPE)
        self.write(self._metrics.exposition())


@final
class ExplainHandler(web.RequestHandler):
    """Answers where a request would go."""

    __slots__ = ('_clock', '_node')

    def initialize(self, node: Node, clock: Callable[[], Instant]) -> None:
        """Takes the node that would decide."""
        self._node = node
        self._clock = clock

    def get(self) -> None:
        """Writes the steps and the outcome as JSON."""
        explanation = explain(
            self._node,
            self.get_query_argument('method', 'GET'),
            self.get_query_argument('path'),
            self.get_query_argument('customer', ''),
            self._clock(),
        )
        self.write({'steps': explanation.steps, 'outcome': explanation.outcome})


def new_admin(node: Node, clock: Callable[[], Instant]) -> web.Application:
    """Creates the operators' endpoint of a node."""
    shown = {'node': node, 'clock': clock}
    return web.Application(
        [
            ('/health', HealthHandler, shown),
            ('/status', StatusHandler, shown),
            ('/explain', ExplainHandler, shown),
            (
                '/metrics',
                MetricsHandler,
                {'metrics': new_metrics(node, clock)},
            ),
        ],
        log_function=lambda handler: None,
    )
