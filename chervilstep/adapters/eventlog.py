"""Writes what happened as structured lines, a bounded number a second."""

import asyncio
from typing import Final, final

import structlog

from chervilstep.node import Node

#: How often the events are written.
WRITE_SECONDS: Final = 0.25
#: Lines in each writing; the rest is counted in a line of its own.
MAX_LINES: Final = 60

_log = structlog.get_logger()


@final
class EventLog:
    """Takes the events of a node to the log."""

    __slots__ = ('_handle', '_node')

    def __init__(self, node: Node) -> None:
        """Creates a log of a node's events; nothing is written yet."""
        self._node = node
        self._handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Writes periodically from now on."""
        self.write()
        self._handle = asyncio.get_running_loop().call_later(
            WRITE_SECONDS, self.start
        )

    def stop(self) -> None:
        """Writes what is left, and ends."""
        if self._handle is not None:
            self._handle.cancel()
        self.write()

    def write(self) -> None:
        """Writes the events that wait."""
        events = self._node.events
        if not events.pending:
            return
        for event in events.pending[:MAX_LINES]:
            _log.info(event.name, **event.fields)
        dropped = events.dropped + max(0, len(events.pending) - MAX_LINES)
        if dropped:
            _log.warning('lines_dropped', lines=dropped)
        events.clear()


def new_event_log(node: Node) -> EventLog:
    """Creates the log of a node."""
    return EventLog(node)
