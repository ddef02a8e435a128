"""Writes the events of a node to the log, rate-limited."""

import asyncio
from typing import Final, final

import structlog

from chervilstep.node import Node

WRITE_PERIOD_SECONDS: Final = 0.25
#: Further events are dropped, and their number is logged in one line.
MAX_LINES_PER_WRITE: Final = 60

_log = structlog.get_logger()


@final
class EventLog:
    """Writes the pending events of a node periodically."""

    __slots__ = ('_timer', '_node')

    def __init__(self, node: Node) -> None:
        """Creates the event log of a node, not started yet."""
        self._node = node
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Writes the pending events now and after each period."""
        self.write()
        self._timer = asyncio.get_running_loop().call_later(
            WRITE_PERIOD_SECONDS, self.start
        )

    def stop(self) -> None:
        """Writes the remaining events and stops."""
        if self._timer is not None:
            self._timer.cancel()
        self.write()

    def write(self) -> None:
        """Writes the pending events, at most ``MAX_LINES_PER_WRITE``."""
        events = self._node.events
        if not events.pending:
            return
        for event in events.pending[:MAX_LINES_PER_WRITE]:
            _log.info(event.name, **event.fields)
        dropped = events.dropped + max(
            0, len(events.pending) - MAX_LINES_PER_WRITE
        )
        if dropped:
            _log.warning('lines_dropped', lines=dropped)
        events.clear()


def new_event_log(node: Node) -> EventLog:
    """Creates the event log of a node."""
    return EventLog(node)
