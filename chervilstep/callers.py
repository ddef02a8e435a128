"""The open connections of callers to one address, and what they hold."""

import enum
from collections import Counter
from collections.abc import Iterable
from typing import Final, Generic, TypeVar, final

from chervilstep.types import Deadline, Instant

Connection = TypeVar('Connection')


@final
class Phase(enum.Enum):
    """What a connection waits for."""

    #: The end of the input of a caller that was refused.
    CLOSING = 'closing'
    #: The first request, or the rest of a head.
    HEAD = 'head'
    #: The next request.
    IDLE = 'idle'
    #: The rest of a body.
    BODY = 'body'
    #: The reply to a request.
    REPLY = 'reply'


@final
class ConnectionLimits:
    """The limits of the connections to one address together."""

    __slots__ = ('_buffered_bytes', '_connections', '_unread_bytes')

    def __init__(
        self, connections: int, buffered_bytes: float, unread_bytes: float
    ) -> None:
        """Creates limits; ``unread_bytes`` are in the kernel's buffers."""
        self._connections = connections
        self._buffered_bytes = buffered_bytes
        self._unread_bytes = unread_bytes

    @property
    def connections(self) -> int:
        """The most open connections."""
        return self._connections

    @property
    def buffered_bytes(self) -> float:
        """The most bytes that were read and belong to no body."""
        return self._buffered_bytes

    @property
    def unread_bytes(self) -> float:
        """The size of the kernel's receive buffers of all connections."""
        return self._unread_bytes


@final
class ConnectionTable(Generic[Connection]):
    """The open connections to one address, by phase."""

    __slots__ = (
        '_active_at',
        '_buffered',
        '_buffered_bytes',
        '_by_phase',
        '_phases',
    )

    def __init__(self) -> None:
        """Creates an empty table."""
        self._phases: dict[Connection, Phase] = {}
        # Dictionaries keep the order in which connections were last active.
        self._by_phase: Final[dict[Phase, dict[Connection, None]]] = {
            phase: {} for phase in Phase
        }
        self._active_at: dict[Connection, Instant] = {}
        self._buffered: dict[Connection, int] = {}
        self._buffered_bytes = 0

    def __len__(self) -> int:
        """Returns the number of open connections."""
        return len(self._phases)

    @property
    def connections(self) -> tuple[Connection, ...]:
        """The open connections."""
        return tuple(self._phases)

    @property
    def buffered_bytes(self) -> int:
        """The bytes that were read from connections and belong to no body."""
        return self._buffered_bytes

    def has(self, connection: Connection) -> bool:
        """Whether a connection is open and was not given up."""
        return connection in self._phases

    def phase_of(self, connection: Connection) -> Phase:
        """Returns the phase of an open connection."""
        return self._phases[connection]

    def in_phase(self, phase: Phase) -> Iterable[Connection]:
        """Returns the connections in a phase, the least active one first."""
        return self._by_phase[phase]

    def active_at(self, connection: Connection) -> Instant:
        """Returns when a connection entered its phase or was touched."""
        return self._active_at[connection]

    def buffered_by(self, connection: Connection) -> int:
        """Returns the bytes that were read from a connection."""
        return self._buffered.get(connection, 0)

    def add(self, connection: Connection, now: Instant) -> None:
        """Adds a connection that was just opened."""
        self._phases[connection] = Phase.HEAD
        self._by_phase[Phase.HEAD][connection] = None
        self._active_at[connection] = now

    def move(self, connection: Connection, phase: Phase, now: Instant) -> None:
        """Changes the phase of a connection, unless it was given up."""
        before = self._phases.get(connection)
        if before is None or before is phase:
            return
        del self._by_phase[before][connection]
        self._phases[connection] = phase
        self._by_phase[phase][connection] = None
        self._active_at[connection] = now

    def touch(self, connection: Connection, now: Instant) -> None:
        """Records that a connection made progress in its phase."""
        phase = self._phases.get(connection)
        if phase is not None:
            del self._by_phase[phase][connection]
            self._by_phase[phase][connection] = None
            self._active_at[connection] = now

    def count_buffered(self, connection: Connection, size: int) -> None:
        """Counts the bytes that were read from a connection, instead of before."""
        if connection not in self._phases:
            return
        self._buffered_bytes += size - self._buffered.pop(connection, 0)
        if size:
            self._buffered[connection] = size

    def remove(self, connection: Connection) -> None:
        """Removes a connection that was closed or given up."""
        phase = self._phases.pop(connection, None)
        if phase is not None:
            del self._by_phase[phase][connection]
            del self._active_at[connection]
            self._buffered_bytes -= self._buffered.pop(connection, 0)


@final
class ClosedConnection:
    """Why a connection was closed for others, and what it waited for."""

    __slots__ = ('_phase', '_reason')

    def __init__(self, reason: str, phase: Phase | None) -> None:
        """Creates the end of a connection; a new one has no phase yet."""
        self._reason = reason
        self._phase = phase

    @property
    def reason(self) -> str:
        """What there was too much of."""
        return self._reason

    @property
    def phase(self) -> str:
        """The name of the phase."""
        return self._phase.value if self._phase else 'new'


@final
class EvictionLog:
    """The connections to an address that were closed for others, by reason."""

    __slots__ = ('_counts', '_next_lines')

    def __init__(self) -> None:
        """Creates a log without closed connections."""
        self._counts: Counter[str] = Counter()
        self._next_lines: dict[str, Deadline] = {}

    def count(self, reason: str) -> int:
        """Returns the number since the last line with a reason."""
        return self._counts[reason]

    def is_due(self, reason: str, now: Instant) -> bool:
        """Whether the next line with a reason may be written."""
        deadline = self._next_lines.get(reason)
        return deadline is None or deadline.has_passed(now)

    def add(self, reason: str) -> None:
        """Counts a connection that was closed."""
        self._counts[reason] += 1

    def restart(self, reason: str, next_line: Deadline) -> None:
        """Starts to count anew after a line."""
        self._counts[reason] = 0
        self._next_lines[reason] = next_line
