"""The types that every part of chervilstep shares."""

import enum
from typing import Final, TypeAlias, final

MS_PER_SECOND: Final = 1000

#: A point on the monotonic clock of this process, in seconds.
Instant: TypeAlias = float


@final
class Verdict(enum.Enum):
    """Says whether a request may have run at an upstream."""

    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    RAN = 'ran'

    @property
    def is_safe_to_resend(self) -> bool:
        """Whether even a non-idempotent request may be sent again."""
        return self is Verdict.NOT_RUN


@final
class Deadline:
    """A point in time after which something must no longer be relied on.

    Deadlines are stored in place of durations, so that a process that was
    paused finds out when it acts, not when a timer happens to fire.
    """

    __slots__ = ('_at',)

    def __init__(self, at: Instant) -> None:
        """Creates a deadline at the instant ``at`` (monotonic seconds)."""
        self._at = at

    def __repr__(self) -> str:
        """Shows the instant."""
        return f'Deadline(at={self._at})'

    def __eq__(self, other: object) -> bool:
        """Deadlines at the same instant are equal."""
        return isinstance(other, Deadline) and other.at == self._at

    def __hash__(self) -> int:
        """Hashes by the instant."""
        return hash(self._at)

    @property
    def at(self) -> Instant:
        """The instant of the deadline, in monotonic seconds."""
        return self._at

    def has_passed(self, now: Instant) -> bool:
        """Whether the deadline lies at or before ``now``."""
        return now >= self._at

    def remaining(self, now: Instant) -> float:
        """The seconds from ``now`` to the deadline, never below zero."""
        return max(0, self._at - now)

    def earlier(self, other: 'Deadline') -> 'Deadline':
        """The earlier one of two deadlines."""
        if other.at < self._at:
            return other
        return self

    def later(self, other: 'Deadline') -> 'Deadline':
        """The later one of two deadlines."""
        if other.at > self._at:
            return other
        return self


def new_deadline(now: Instant, seconds: float) -> Deadline:
    """Creates a deadline that lies ``seconds`` after ``now``."""
    return Deadline(now + seconds)
