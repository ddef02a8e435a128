"""Commands of a planned stop."""

from chervilstep.hooks import SHUTDOWN_HOOKS
from chervilstep.node import Node
from chervilstep.types import Instant, new_deadline


@SHUTDOWN_HOOKS.register(rank=5)
def begin_shutdown(node: Node, now: Instant) -> None:
    """Sets the deadlines of a planned stop; further calls have no effect."""
    if node.members.shutdown.answers_until is not None:
        return
    timeouts = node.settings.shutdown_timeouts
    accepts_until = new_deadline(now, timeouts.lame_duck_seconds)
    answers_until = new_deadline(accepts_until.at, timeouts.drain_seconds)
    node.members.shutdown.begin(accepts_until, answers_until)
    node.events.add(
        'shutdown_begun',
        accepts_seconds=timeouts.lame_duck_seconds,
        answers_seconds=round(answers_until.remaining(now), 3),
        calls_waiting=sum(map(len, node.queues.by_service.values())),
    )
