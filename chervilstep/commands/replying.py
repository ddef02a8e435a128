"""Records the replies to calls in counters and service-level indicators."""

from chervilstep.calls import Answer, Reply, Ticket
from chervilstep.hooks import every
from chervilstep.node import Node
from chervilstep.queries.indicators import INDICATORS
from chervilstep.refusals import Refusal
from chervilstep.types import Instant


def record_refusal(node: Node, refusal: Refusal) -> None:
    """Counts a call that was refused before it was admitted."""
    node.counters.add('refusals', reason=refusal.reason)


def record_reply(
    node: Node, ticket: Ticket, reply: Reply, now: Instant
) -> None:
    """Records the reply to an admitted call and its latency."""
    service = ticket.route.service
    seconds = now - ticket.arrived_at
    if isinstance(reply, Answer):
        node.counters.add('answers', service=service)
        node.latency_histograms.observe(service, seconds)
    else:
        record_refusal(node, reply)
    for name in INDICATORS.names:
        is_good = INDICATORS.find(name)(ticket, reply, seconds)
        if is_good is not None:
            _record_indicator(node, name, ticket, now, is_good=is_good)


@every(60, 'burn-subjects')
def discard_stale_subjects(node: Node, now: Instant) -> None:
    """Discards the records of services and customers that were removed."""
    services = frozenset(node.snapshot.services)
    node.slo.retain(services, frozenset(node.snapshot.customers))
    node.latency_histograms.retain(services)


def _record_indicator(
    node: Node, indicator: str, ticket: Ticket, now: Instant, *, is_good: bool
) -> None:
    service = ticket.route.service
    node.slo.add((indicator, 'service', service), now, is_good=is_good)
    if ticket.customer is not None:
        key = (indicator, 'customer', ticket.customer_name)
        node.slo.add(key, now, is_good=is_good)
