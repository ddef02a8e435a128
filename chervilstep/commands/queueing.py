"""Commands that add calls to the queues and remove them."""

from chervilstep.node import Node
from chervilstep.queues import Waiter
from chervilstep.types import Instant


def enqueue(node: Node, waiter: Waiter) -> None:
    """Adds a call to the queue of its service."""
    node.queues.add(_service_of(waiter), waiter)
    node.counters.add('queue.waited', service=_service_of(waiter))


def remove(node: Node, waiter: Waiter) -> None:
    """Removes a call that is refused or whose caller has disconnected."""
    node.queues.remove(_service_of(waiter), waiter)


def grant(node: Node, waiter: Waiter, now: Instant) -> None:
    """Removes a call that gets an upstream."""
    node.queues.grant(_service_of(waiter), waiter, now)


def _service_of(waiter: Waiter) -> str:
    return waiter.progress.ticket.route.service
