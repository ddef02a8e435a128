"""What happened, for the log, kept without I/O until an adapter writes it."""

from collections.abc import Mapping
from typing import Final, TypeAlias, final

#: Events that are held until they are written; more are counted and dropped.
MAX_EVENTS: Final = 500
#: Values as they appear in a log line.
Fields: TypeAlias = Mapping[str, object]


@final
class Event:
    """One decision, with what decided it."""

    __slots__ = ('_fields', '_name')

    def __init__(self, name: str, fields: Fields) -> None:
        """Creates the event ``name``."""
        self._name = name
        self._fields = fields

    @property
    def name(self) -> str:
        """What happened."""
        return self._name

    @property
    def fields(self) -> Fields:
        """The inputs that decided, and the outcome."""
        return self._fields


@final
class Events:
    """The events that were not written yet."""

    __slots__ = ('_dropped', '_events')

    def __init__(self) -> None:
        """Starts empty."""
        self._events: list[Event] = []
        self._dropped = 0

    @property
    def pending(self) -> tuple[Event, ...]:
        """The events, the oldest first."""
        return tuple(self._events)

    @property
    def dropped(self) -> int:
        """How many events found no room since the last writing."""
        return self._dropped

    def add(self, name: str, **fields: object) -> None:
        """Adds an event, or counts it when there is no room."""
        if len(self._events) >= MAX_EVENTS:
            self._dropped += 1
            return
        self._events.append(Event(name, fields))

    def clear(self) -> None:
        """Forgets the events, once they were written."""
        self._events.clear()
        self._dropped = 0
