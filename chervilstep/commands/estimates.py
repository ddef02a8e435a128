"""Commands that update the latency estimates of services."""

from chervilstep.calls import Attempt, Ending, Outcome
from chervilstep.hooks import ATTEMPT_END_HOOKS, every
from chervilstep.node import Node
from chervilstep.types import Instant


@ATTEMPT_END_HOOKS.register(rank=40)
def record_latency(node: Node, attempt: Attempt, outcome: Outcome) -> None:
    """Records the latency of an answer in the estimates of its service."""
    if outcome.ending is Ending.ANSWERED:
        seconds = outcome.ended_at - attempt.started_at
        node.latency_estimates.record(attempt.ticket.route.service, seconds)


@every(period_seconds=60, name='forget-services')
def discard_stale_services(node: Node, now: Instant) -> None:
    """Discards the estimates and queues of services that were removed."""
    services = frozenset(node.snapshot.services)
    node.latency_estimates.retain(services)
    node.queues.retain(services)
