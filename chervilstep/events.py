"""A buffer of structured log events, which an adapter writes to the log."""

from collections.abc import Mapping
from typing import Final, TypeAlias, final

#: Further events are dropped and counted until the buffer has been written.
MAX_PENDING_EVENTS: Final = 500
#: The fields of a log line by name.
Fields: TypeAlias = Mapping[str, object]


@final
class Event:
    """A decision of the instance, with the values that led to it."""

    __slots__ = ('_fields', '_name')

    def __init__(self, name: str, fields: Fields) -> None:
        """Creates an event with these fields."""
        self._name = name
        self._fields = fields

    @property
    def name(self) -> str:
        """The name of the event."""
        return self._name

    @property
    def fields(self) -> Fields:
        """The inputs of the decision and its outcome."""
        return self._fields


@final
class EventBuffer:
    """The bounded buffer of events that have not been written to the log."""

    __slots__ = ('_dropped', '_pending')

    def __init__(self) -> None:
        """Creates an empty buffer."""
        self._pending: list[Event] = []
        self._dropped = 0

    @property
    def pending(self) -> tuple[Event, ...]:
        """The buffered events, the oldest first."""
        return tuple(self._pending)

    @property
    def dropped(self) -> int:
        """The number of events dropped since the buffer was last cleared."""
        return self._dropped

    def add(self, name: str, **fields: object) -> None:
        """Appends an event, or counts it as dropped if the buffer is full."""
        if len(self._pending) >= MAX_PENDING_EVENTS:
            self._dropped += 1
            return
        self._pending.append(Event(name, fields))

    def clear(self) -> None:
        """Empties the buffer after its events have been written."""
        self._pending.clear()
        self._dropped = 0
