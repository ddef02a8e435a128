"""Gauges of the metrics."""

from collections.abc import Iterable

from chervilstep.gauges import GaugeValue
from chervilstep.hooks import GAUGES
from chervilstep.node import Node
from chervilstep.types import Instant


@GAUGES.register('requests_in_flight')
def read_in_flight(node: Node, now: Instant) -> Iterable[GaugeValue]:
    """Yields the number of requests at upstreams for each service."""
    for service in node.snapshot.services.values():
        loads = (
            node.loads.by_upstream.get(upstream.name)
            for upstream in service.upstreams
        )
        in_flight = sum(load.in_flight for load in loads if load)
        yield GaugeValue(in_flight, service=service.name)


@GAUGES.register('peers_alive')
def read_alive_peers(node: Node, now: Instant) -> Iterable[GaugeValue]:
    """Yields the number of peers that are considered alive."""
    peers = node.members.peers.values()
    yield GaugeValue(sum(peer.is_alive(now) for peer in peers))


@GAUGES.register('section_revision')
def read_section_revisions(node: Node, now: Instant) -> Iterable[GaugeValue]:
    """Yields the accepted revision of each section."""
    for name, section in node.configuration.sections.items():
        yield GaugeValue(section.revision.number, section=name)


@GAUGES.register('store_epoch')
def read_store_epoch(node: Node, now: Instant) -> Iterable[GaugeValue]:
    """Yields how many times the store has returned from a copy."""
    yield GaugeValue(node.replica.as_of.epoch)


@GAUGES.register('section_faults')
def read_section_faults(node: Node, now: Instant) -> Iterable[GaugeValue]:
    """Yields the number of sections whose newest text is not in force."""
    yield GaugeValue(len(node.configuration.faults))


@GAUGES.register('upstream_limit')
def read_upstream_limits(node: Node, now: Instant) -> Iterable[GaugeValue]:
    """Yields the requests per second of all instances that upstreams accept."""
    for name, throttle in node.throttles.by_upstream.items():
        if throttle.calls_per_second is not None:
            yield GaugeValue(throttle.calls_per_second, upstream=name)
