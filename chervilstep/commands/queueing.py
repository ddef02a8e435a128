"""Lets calls wait, and takes them out of the queue."""

from chervilstep.node import Node
from chervilstep.types import Instant
from chervilstep.waiting import Waiter


def enqueue(node: Node, waiter: Waiter) -> None:
    """Lets a call wait."""
    node.waiting.add(_service_of(waiter), waiter)
    node.counters.add('queue.waited', service=_service_of(waiter))


def withdraw(node: Node, waiter: Waiter) -> None:
    """Takes out a call that is refused or whose caller has gone."""
    node.waiting.remove(_service_of(waiter), waiter)


def grant(node: Node, waiter: Waiter, now: Instant) -> None:
    """Takes out a call that gets an upstream."""
    node.waiting.grant(_service_of(waiter), waiter, now)


def _service_of(waiter: Waiter) -> str:
    return waiter.progress.ticket.route.service
