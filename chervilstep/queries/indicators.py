"""What counts as good service, as a registry of indicators."""

from collections.abc import Callable
from typing import Final, TypeAlias

from chervilstep.calls import Answer, Reply, Ticket
from chervilstep.registry import Registry, new_registry
from chervilstep.snapshot import Priority

#: Says whether a reply after some seconds is good, bad, or not counted.
Indicator: TypeAlias = Callable[[Ticket, Reply, float], bool | None]

INDICATORS: Final[Registry[Indicator]] = new_registry('indicator')
#: The part of the events that should be good, by indicator.
OBJECTIVES: Final = {'availability': 0.999, 'latency': 0.99}
#: An answer that takes longer is slow, by the priority of its route.
SLOW_SECONDS: Final = {
    Priority.URGENT: 0.25,
    Priority.NORMAL: 0.5,
    Priority.BULK: 2.0,
}
#: The lowest status that blames the system and not the caller.
SERVER_ERROR: Final = 500


@INDICATORS.register('availability')
def is_available(ticket: Ticket, reply: Reply, seconds: float) -> bool | None:
    """Good unless the reply blames the system.

    Refusals for which the caller answers, such as an exceeded rate, are not
    counted.
    """
    if isinstance(reply, Answer):
        return reply.status < SERVER_ERROR
    if reply.status < SERVER_ERROR:
        return None
    return False


@INDICATORS.register('latency')
def is_fast(ticket: Ticket, reply: Reply, seconds: float) -> bool | None:
    """Good when an answer came within the time of its priority."""
    if not isinstance(reply, Answer):
        return None
    return seconds <= SLOW_SECONDS[ticket.route.priority]
