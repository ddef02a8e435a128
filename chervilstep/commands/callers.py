"""Commands that record which connections of callers were closed, and why."""

from typing import Final

from chervilstep.callers import ClosedConnection, EvictionLog
from chervilstep.node import Node
from chervilstep.types import Instant, new_deadline

#: The least time between two lines about one address and reason.
LINE_PERIOD_SECONDS: Final = 1


def record_closed_connection(
    node: Node,
    address: str,
    log: EvictionLog,
    closed: ClosedConnection,
    now: Instant,
) -> None:
    """Counts a connection that was closed for others.

    A line is logged at most once a period, with the number since the last one.
    """
    labels = {
        'address': address,
        'reason': closed.reason,
        'phase': closed.phase,
    }
    node.counters.add('connections_evicted', 1, **labels)
    log.add(closed.reason)
    if log.is_due(closed.reason, now):
        connections = log.count(closed.reason)
        node.events.add(
            'connections_evicted', connections=connections, **labels
        )
        next_line = new_deadline(now, LINE_PERIOD_SECONDS)
        log.restart(closed.reason, next_line)
