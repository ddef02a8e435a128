"""Exports the counters, gauges and histograms of a node.

Counters and gauges go through OpenTelemetry, with a reader that collects on
demand, since a periodic one and the exporter's own server would each start a
thread. It has no histograms that are read on demand, so those are given to the
exporter's registry as they are.
"""

import itertools
from collections.abc import Callable, Iterable, Iterator
from typing import Final, final

import prometheus_client
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client.core import HistogramMetricFamily
from prometheus_client.registry import Collector

from chervilstep.hooks import GAUGES
from chervilstep.latencies import BUCKET_BOUNDS_SECONDS
from chervilstep.node import Node
from chervilstep.types import Instant

CONTENT_TYPE: Final = prometheus_client.CONTENT_TYPE_LATEST


@final
class LatencyCollector(Collector):
    """Reads the histograms of the services' latencies."""

    # The base class has a dictionary; the name is still declared.
    __slots__ = ('_node',)

    def __init__(self, node: Node) -> None:
        """Creates a collector of a node's histograms."""
        self._node = node

    def collect(self) -> Iterator[HistogramMetricFamily]:
        """Yields one family with the services as labels."""
        family = HistogramMetricFamily(
            'chervilstep_latency_seconds',
            'How long answers of upstreams took.',
            labels=['service'],
        )
        bounds = [*map(str, BUCKET_BOUNDS_SECONDS), '+Inf']
        for (
            service,
            histogram,
        ) in self._node.latency_histograms.by_service.items():
            totals = itertools.accumulate(histogram.counts)
            buckets = list(zip(bounds, totals, strict=True))
            family.add_metric([service], buckets, histogram.total_seconds)
        yield family


@final
class Metrics:
    """Turns the state of a node into instruments when it is collected."""

    __slots__ = ('_clock', '_meter', '_names', '_node', '_registry')

    def __init__(self, node: Node, clock: Callable[[], Instant]) -> None:
        """Creates the instruments of the gauges; counters join later."""
        self._node = node
        self._clock = clock
        self._names: set[str] = set()
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(LatencyCollector(node))
        provider = MeterProvider(
            metric_readers=[PrometheusMetricReader(registry=self._registry)],
            resource=Resource({'service.instance.id': node.settings.name}),
            shutdown_on_exit=False,
        )
        self._meter = provider.get_meter('chervilstep')
        for name in GAUGES.names:
            self._meter.create_observable_gauge(
                f'chervilstep_{name}', [self._gauge_reader(name)]
            )

    def exposition(self) -> bytes:
        """The metrics in the Prometheus text format."""
        self._add_counters()
        return prometheus_client.generate_latest(self._registry)

    def _add_counters(self) -> None:
        """Creates instruments for counters that were not exported yet."""
        for (name, _), _ in self._node.counters:
            if name not in self._names:
                self._names.add(name)
                self._meter.create_observable_counter(
                    f'chervilstep_{name}', [self._counter_reader(name)]
                )

    def _counter_reader(
        self, wanted: str
    ) -> Callable[[CallbackOptions], Iterable[Observation]]:
        def read(options: CallbackOptions) -> Iterable[Observation]:
            for (name, labels), total in self._node.counters:
                if name == wanted:
                    yield Observation(total, dict(labels))

        return read

    def _gauge_reader(
        self, name: str
    ) -> Callable[[CallbackOptions], Iterable[Observation]]:
        read_gauge = GAUGES.find(name)

        def read(options: CallbackOptions) -> Iterable[Observation]:
            for reading in read_gauge(self._node, self._clock()):
                yield Observation(reading.value, dict(reading.labels))

        return read


def new_metrics(node: Node, clock: Callable[[], Instant]) -> Metrics:
    """Creates the instruments of a node."""
    return Metrics(node, clock)
