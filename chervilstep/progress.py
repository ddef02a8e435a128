"""The attempts of one admitted call and their outcomes."""

from typing import final

from chervilstep.calls import Attempt, Outcome, Ticket
from chervilstep.types import Verdict


@final
class Progress:
    """Tracks the attempts of a ticket and their outcomes."""

    __slots__ = (
        '_attempt_count',
        '_last_outcome',
        '_possible_run',
        '_ticket',
        '_tried_upstreams',
    )

    def __init__(self, ticket: Ticket) -> None:
        """Creates the progress of a ticket without attempts."""
        self._ticket = ticket
        self._tried_upstreams: frozenset[str] = frozenset()
        self._attempt_count = 0
        self._last_outcome: Outcome | None = None
        self._possible_run: Outcome | None = None

    @property
    def ticket(self) -> Ticket:
        """The admitted call."""
        return self._ticket

    @property
    def tried_upstreams(self) -> frozenset[str]:
        """The names of the upstreams that an attempt was started at."""
        return self._tried_upstreams

    @property
    def attempt_count(self) -> int:
        """The number of attempts that were started."""
        return self._attempt_count

    @property
    def last_outcome(self) -> Outcome | None:
        """The outcome of the attempt that ended last, or None."""
        return self._last_outcome

    @property
    def possible_run(self) -> Outcome | None:
        """The first outcome after which the call may have run, or None."""
        return self._possible_run

    def record_start(self, attempt: Attempt) -> None:
        """Records the start of an attempt."""
        self._attempt_count += 1
        self._tried_upstreams |= {attempt.upstream.name}

    def record_end(self, outcome: Outcome) -> None:
        """Records the outcome of an attempt."""
        self._last_outcome = outcome
        if (
            self._possible_run is None
            and outcome.verdict is not Verdict.NOT_RUN
        ):
            self._possible_run = outcome


def new_progress(ticket: Ticket) -> Progress:
    """Creates the progress of a ticket without attempts."""
    return Progress(ticket)
