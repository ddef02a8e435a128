"""Basic types that all modules share."""

import enum
from typing import Final, TypeAlias, final

MS_PER_SECOND: Final = 1000

#: A point on the monotonic clock of this process, in seconds.
Instant: TypeAlias = float


@final
class Verdict(enum.Enum):
    """Whether a request may have run at an upstream."""

    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    RAN = 'ran'

    @property
    def is_safe_to_resend(self) -> bool:
        """Whether even a non-idempotent request may be sent again."""
        return self is Verdict.NOT_RUN


@final
class Deadline:
    """A point in time after which something is no longer valid.

    Deadlines are stored instead of durations, so that a process that was
    paused detects an expired deadline at its next check, and not only when a
    timer fires.
    """

    __slots__ = ('_at',)

    def __init__(self, at: Instant) -> None:
        """Creates a deadline at the instant ``at`` (monotonic seconds)."""
        self._at = at

    def __repr__(self) -> str:
        """Returns the class name with the instant."""
        return f'Deadline(at={self._at})'

    def __eq__(self, other: object) -> bool:
        """Whether ``other`` is a deadline at the same instant."""
        return isinstance(other, Deadline) and other.at == self._at

    def __hash__(self) -> int:
        """Returns the hash of the instant."""
        return hash(self._at)

    @property
    def at(self) -> Instant:
        """The instant of the deadline, in monotonic seconds."""
        return self._at

    def has_passed(self, now: Instant) -> bool:
        """Whether the deadline is at or before ``now``."""
        return now >= self._at

    def remaining(self, now: Instant) -> float:
        """Returns the seconds until the deadline, or 0 if it has passed."""
        return max(0, self._at - now)

    def earlier(self, other: 'Deadline') -> 'Deadline':
        """Returns the earlier of the two deadlines."""
        if other.at < self._at:
            return other
        return self

    def later(self, other: 'Deadline') -> 'Deadline':
        """Returns the later of the two deadlines."""
        if other.at > self._at:
            return other
        return self


def new_deadline(now: Instant, seconds: float) -> Deadline:
    """Creates a deadline ``seconds`` after ``now``."""
    return Deadline(now + seconds)
