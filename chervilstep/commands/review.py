"""Commands that follow the fleet, the configuration and the latencies."""

from typing import Final

from chervilstep.calls import Ticket
from chervilstep.commands.loads import lower_service_limit
from chervilstep.hooks import CHARGES, every
from chervilstep.loads import ServiceLoad
from chervilstep.node import Node
from chervilstep.queries.assignment import live_instances
from chervilstep.queries.soonest import SOONEST
from chervilstep.queries.warmth import (
    in_service,
    is_unknown,
    knows_nothing,
    out_of_service,
    peer_for,
    typical_latency,
)
from chervilstep.services import Service
from chervilstep.types import Deadline, Instant, new_deadline
from chervilstep.warmth_messages import WarmthAsk

#: The rank of the question for warmth among the charges.
LEARN_RANK: Final = 30
#: How long to wait for the answer of a peer before another one is asked.
ASK_SECONDS: Final = 0.25
#: How many services are asked about in one review.
ASKS_PER_REVIEW: Final = 20
#: How often live instances and typical latencies are looked at again.
REVIEW_PERIOD_SECONDS: Final = 0.1


@CHARGES.register(LEARN_RANK)
def learn_warmth(node: Node, ticket: Ticket, now: Instant) -> None:
    """Asks a peer about upstreams that this instance knows nothing of."""
    name = ticket.route.service
    service = node.snapshot.services.get(name)
    if service is None or node.warmth.was_asked(name, now):
        return
    if service.policy == SOONEST:
        return
    if is_unknown(node, service, now):
        _ask_peer(node, name, now)


@every(REVIEW_PERIOD_SECONDS, 'learn-services')
def learn_services(node: Node, now: Instant) -> None:
    """Asks about services that are new here, before their first call."""
    new = [
        name
        for name, service in node.snapshot.services.items()
        if not node.warmth.was_ever_asked(name) and service.policy != SOONEST
    ]
    for name in new[:ASKS_PER_REVIEW]:
        _ask_peer(node, name, now)


def _ask_peer(node: Node, service: str, now: Instant) -> None:
    node.warmth.ask(service, new_deadline(now, ASK_SECONDS))
    peer = peer_for(node, f'{service}\0{node.rng.random()}', now)
    if peer is not None:
        node.outbox.put(peer, WarmthAsk(service))


@every(REVIEW_PERIOD_SECONDS, 'presume-warmth')
def presume_warmth(node: Node, now: Instant) -> None:
    """Takes a service for warm of which nobody asked knows anything.

    That is so when the whole fleet started. Its servers have been up for as
    long as anyone knows, and the own outcomes find the cold ones. Ramping all of them at once, each by the
    calls of one instance, would refuse most calls for as long as it lasts.
    """
    for name in node.warmth.asked:
        service = node.snapshot.services.get(name)
        if service is None or node.warmth.was_asked(name, now):
            continue
        if knows_nothing(node, service):
            for upstream in in_service(node, service):
                node.warmth.record(upstream.name).presume_warm(now)


@every(REVIEW_PERIOD_SECONDS, 'review-upstreams')
def review_upstreams(node: Node, now: Instant) -> None:
    """Follows the configuration, the fleet and the typical latencies."""
    live = live_instances(node, now)
    if live != node.loads.live_instances:
        node.loads.update_live_instances(live)
    for service in node.snapshot.services.values():
        load = node.loads.by_service.get(service.name)
        if load is not None:
            _review_load(node, service, load, now)
    _cool_withdrawn(node, now)


def _review_load(
    node: Node, service: Service, load: ServiceLoad, now: Instant
) -> None:
    latency = typical_latency(node, service, now)
    if latency is not None:
        load.update_latency(latency)
    if load.is_queueing and service.policy != SOONEST:
        lower_service_limit(node, service, now)


def _cool_withdrawn(node: Node, now: Instant) -> None:
    out = out_of_service(node.snapshot)
    for name in out - node.warmth.out_of_service:
        node.warmth.record(name).cool(Deadline(now), now)
    node.warmth.take_out(out)
    node.warmth.keep(
        frozenset(
            upstream.name
            for service in node.snapshot.services.values()
            for upstream in service.upstreams
        )
    )
