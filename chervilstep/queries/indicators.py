"""Service-level indicators and their objectives."""

from collections.abc import Callable
from typing import Final, TypeAlias

from chervilstep.calls import Answer, Reply, Ticket
from chervilstep.registry import Registry, new_registry
from chervilstep.snapshot import Priority

#: Takes a ticket, its reply and the latency in seconds. Returns whether the
#: event is good, or None if it is not counted.
Indicator: TypeAlias = Callable[[Ticket, Reply, float], bool | None]

INDICATORS: Final[Registry[Indicator]] = new_registry('indicator')
#: The target fraction of good events, by indicator.
OBJECTIVES: Final = {'availability': 0.999, 'latency': 0.99}
#: The highest latency of a good event, by the priority of the route.
MAX_LATENCY_SECONDS: Final = {
    Priority.URGENT: 0.25,
    Priority.NORMAL: 0.5,
    Priority.BULK: 2.0,
}
#: Lower error statuses are faults of the caller, not of the system.
MIN_SERVER_ERROR_STATUS: Final = 500


@INDICATORS.register('availability')
def is_available(ticket: Ticket, reply: Reply, seconds: float) -> bool | None:
    """Whether the reply is not a server error.

    Refusals that are faults of the caller, such as an exceeded rate, are not
    counted.
    """
    if isinstance(reply, Answer):
        return reply.status < MIN_SERVER_ERROR_STATUS
    if reply.status < MIN_SERVER_ERROR_STATUS:
        return None
    return False


@INDICATORS.register('latency')
def is_fast(ticket: Ticket, reply: Reply, seconds: float) -> bool | None:
    """Whether an answer met the latency limit; refusals are not counted."""
    if not isinstance(reply, Answer):
        return None
    return seconds <= MAX_LATENCY_SECONDS[ticket.route.priority]
