"""Commands that review upstreams and query peers for slow start states."""

from typing import Final

from chervilstep.calls import Ticket
from chervilstep.commands.loads import lower_service_limit
from chervilstep.hooks import CHARGES, every
from chervilstep.loads import ServiceLoad
from chervilstep.node import Node
from chervilstep.queries.assignment import live_instances
from chervilstep.queries.slowstart import (
    is_state_absent,
    is_state_incomplete,
    select_peer,
    typical_latency,
    upstreams_in_service,
    upstreams_out_of_service,
)
from chervilstep.queries.soonest import SOONEST
from chervilstep.services import Service
from chervilstep.slowstart_messages import SlowStartQuery
from chervilstep.types import Deadline, Instant, new_deadline

#: The rank of the slow start query among the charges.
QUERY_RANK: Final = 30
#: How long to wait for the answer of a peer before another one is queried.
QUERY_TIMEOUT_SECONDS: Final = 0.25
#: The number of services for which peers are queried in one review.
QUERIES_PER_REVIEW: Final = 20
#: How often the live instances and the typical latencies are updated.
REVIEW_PERIOD_SECONDS: Final = 0.1


@CHARGES.register(QUERY_RANK)
def query_slow_start(node: Node, ticket: Ticket, now: Instant) -> None:
    """Queries a peer when the state of an upstream is missing or too old."""
    name = ticket.route.service
    service = node.snapshot.services.get(name)
    if service is None or node.slow_start.is_query_pending(name, now):
        return
    if service.policy == SOONEST:
        return
    if is_state_incomplete(node, service, now):
        _query_peer(node, name, now)


@every(REVIEW_PERIOD_SECONDS, 'learn-services')
def query_new_services(node: Node, now: Instant) -> None:
    """Queries peers for services that are new, before their first call."""
    new_services = [
        name
        for name, service in node.snapshot.services.items()
        if not node.slow_start.was_queried(name) and service.policy != SOONEST
    ]
    for name in new_services[:QUERIES_PER_REVIEW]:
        _query_peer(node, name, now)


def _query_peer(node: Node, service: str, now: Instant) -> None:
    node.slow_start.record_query(
        service, new_deadline(now, QUERY_TIMEOUT_SECONDS)
    )
    peer = select_peer(node, f'{service}\0{node.rng.random()}', now)
    if peer is not None:
        node.outbox.put(peer, SlowStartQuery(service))


@every(REVIEW_PERIOD_SECONDS, 'presume-warmth')
def assume_warm(node: Node, now: Instant) -> None:
    """Assumes that a service is warm when no queried peer has its state.

    Peers have no state after a start of the whole fleet. The upstreams may have
    run for any length of time, and outlier detection finds the cold ones. A
    slow start of all upstreams at once, each driven by the calls of a single
    instance, would refuse most calls while it lasts.
    """
    for name in node.slow_start.queried_services:
        service = node.snapshot.services.get(name)
        if service is None or node.slow_start.is_query_pending(name, now):
            continue
        if is_state_absent(node, service):
            for upstream in upstreams_in_service(node, service):
                node.slow_start.get_or_create(upstream.name).assume_warm(now)


@every(REVIEW_PERIOD_SECONDS, 'review-upstreams')
def review_upstreams(node: Node, now: Instant) -> None:
    """Updates the live instances, the latencies and the withdrawn upstreams."""
    live = live_instances(node, now)
    if live != node.loads.live_instances:
        node.loads.update_live_instances(live)
    for service in node.snapshot.services.values():
        load = node.loads.by_service.get(service.name)
        if load is not None:
            _review_load(node, service, load, now)
    _restart_withdrawn(node, now)


def _review_load(
    node: Node, service: Service, load: ServiceLoad, now: Instant
) -> None:
    latency = typical_latency(node, service, now)
    if latency is not None:
        load.update_latency(latency)
    if load.is_queueing and service.policy != SOONEST:
        lower_service_limit(node, service, now)


def _restart_withdrawn(node: Node, now: Instant) -> None:
    out_of_service = upstreams_out_of_service(node.snapshot)
    for name in out_of_service - node.slow_start.out_of_service:
        node.slow_start.get_or_create(name).restart(Deadline(now), now)
    node.slow_start.replace_out_of_service(out_of_service)
    node.slow_start.retain(
        frozenset(
            upstream.name
            for service in node.snapshot.services.values()
            for upstream in service.upstreams
        )
    )
