"""The gauges among the metrics."""

from collections.abc import Iterable

from chervilstep.hooks import GAUGES
from chervilstep.node import Node
from chervilstep.readings import Reading
from chervilstep.types import Instant


@GAUGES.register('requests_in_flight')
def read_in_flight(node: Node, now: Instant) -> Iterable[Reading]:
    """Requests at upstreams, by service."""
    for service in node.snapshot.services.values():
        loads = (
            node.loads.by_upstream.get(it.name) for it in service.upstreams
        )
        in_flight = sum(load.in_flight for load in loads if load)
        yield Reading(in_flight, service=service.name)


@GAUGES.register('peers_alive')
def read_peers(node: Node, now: Instant) -> Iterable[Reading]:
    """Peers that were heard of lately."""
    views = node.members.peers.values()
    yield Reading(sum(view.is_alive(now) for view in views))


@GAUGES.register('section_revision')
def read_revisions(node: Node, now: Instant) -> Iterable[Reading]:
    """The accepted revision of each section."""
    for name, section in node.configuration.sections.items():
        yield Reading(section.revision, section=name)


@GAUGES.register('section_faults')
def read_faults(node: Node, now: Instant) -> Iterable[Reading]:
    """Sections whose newest text is not in force."""
    yield Reading(len(node.configuration.faults))
