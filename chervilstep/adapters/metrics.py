"""Exports the counters, gauges and histograms of a node.

Counters and gauges go through OpenTelemetry with a reader that collects on
demand, since a periodic reader and the exporter's own server would each start
a thread. OpenTelemetry has no observable histograms, so a collector adds them
to the Prometheus registry directly.
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
    """Collects the latency histograms of the services."""

    # The base class has a __dict__; the slots declare the attribute.
    __slots__ = ('_node',)

    def __init__(self, node: Node) -> None:
        """Creates a collector of the histograms of a node."""
        self._node = node

    def collect(self) -> Iterator[HistogramMetricFamily]:
        """Yields one metric family, labelled by service."""
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
    """OpenTelemetry instruments that observe the state of a node."""

    __slots__ = ('_clock', '_meter', '_exported_counters', '_node', '_registry')

    def __init__(self, node: Node, clock: Callable[[], Instant]) -> None:
        """Creates the instruments of the gauges; counters are added later."""
        self._node = node
        self._clock = clock
        self._exported_counters: set[str] = set()
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
        """Returns the metrics in the Prometheus text format."""
        self._add_counters()
        return prometheus_client.generate_latest(self._registry)

    def _add_counters(self) -> None:
        """Creates instruments for counters that have none yet."""
        for (name, _), _ in self._node.counters:
            if name not in self._exported_counters:
                self._exported_counters.add(name)
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
            for gauge_value in read_gauge(self._node, self._clock()):
                yield Observation(gauge_value.value, dict(gauge_value.labels))

        return read


def new_metrics(node: Node, clock: Callable[[], Instant]) -> Metrics:
    """Creates the metrics of a node."""
    return Metrics(node, clock)
