"""How far one admitted call has come."""

from typing import final

from chervilstep.calls import Attempt, Outcome, Ticket
from chervilstep.types import Verdict


@final
class Progress:
    """A ticket with what its attempts so far have shown."""

    __slots__ = ('_attempts', '_doubt', '_last', '_ticket', '_tried')

    def __init__(self, ticket: Ticket) -> None:
        """Starts before the first attempt."""
        self._ticket = ticket
        self._tried: frozenset[str] = frozenset()
        self._attempts = 0
        self._last: Outcome | None = None
        self._doubt: Outcome | None = None

    @property
    def ticket(self) -> Ticket:
        """The admitted call."""
        return self._ticket

    @property
    def tried(self) -> frozenset[str]:
        """The names of the upstreams that got an attempt."""
        return self._tried

    @property
    def attempts(self) -> int:
        """How many attempts were started."""
        return self._attempts

    @property
    def last(self) -> Outcome | None:
        """The outcome of the attempt that ended last."""
        return self._last

    @property
    def doubt(self) -> Outcome | None:
        """The first outcome after which the call may have run."""
        return self._doubt

    def begin(self, attempt: Attempt) -> None:
        """Notes the start of an attempt."""
        self._attempts += 1
        self._tried |= {attempt.upstream.name}

    def end(self, outcome: Outcome) -> None:
        """Notes the end of an attempt."""
        self._last = outcome
        if self._doubt is None and outcome.verdict is not Verdict.NOT_RUN:
            self._doubt = outcome


def new_progress(ticket: Ticket) -> Progress:
    """Creates the progress of a ticket that was not tried yet."""
    return Progress(ticket)
