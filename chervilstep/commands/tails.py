"""Learns the tails of the latencies."""

from chervilstep.calls import Attempt, Ending, Outcome
from chervilstep.hooks import ATTEMPT_END_HOOKS, every
from chervilstep.node import Node
from chervilstep.types import Instant


@ATTEMPT_END_HOOKS.register(rank=40)
def note_latency(node: Node, attempt: Attempt, outcome: Outcome) -> None:
    """Takes in the latency of an answer."""
    if outcome.ending is Ending.ANSWERED:
        seconds = outcome.ended_at - attempt.started_at
        node.tails.note(attempt.ticket.route.service, seconds)


@every(period_seconds=60, name='forget-services')
def forget_services(node: Node, now: Instant) -> None:
    """Forgets the services that the configuration no longer has."""
    services = frozenset(node.snapshot.services)
    node.tails.keep(services)
    node.queues.retain(services)
