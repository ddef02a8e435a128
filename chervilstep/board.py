"""What an instance knows of the load of each upstream."""

from collections.abc import Mapping
from typing import Final, final

from chervilstep.types import Deadline, Instant

#: The weight of the newest answer in the moving average of the latency.
LATENCY_WEIGHT: Final = 0.2


@final
class Report:
    """The requests in flight that an upstream claimed to have."""

    __slots__ = ('_believed_until', '_in_flight')

    def __init__(self, in_flight: int, believed_until: Deadline) -> None:
        """Creates a report; it counts until ``believed_until``."""
        self._in_flight = in_flight
        self._believed_until = believed_until

    @property
    def in_flight(self) -> int:
        """Requests of all instances, as the upstream counts them."""
        return self._in_flight

    @property
    def believed_until(self) -> Deadline:
        """When the report stops counting."""
        return self._believed_until


@final
class UpstreamLoad:
    """The load of one upstream as this instance sees it."""

    __slots__ = (
        '_failures',
        '_in_flight',
        '_last_answer_at',
        '_latency',
        '_report',
        '_sheds',
    )

    def __init__(self) -> None:
        """Starts with nothing in flight."""
        self._in_flight = 0
        self._last_answer_at: Instant | None = None
        self._latency: float | None = None
        self._failures = 0
        self._sheds = 0
        self._report: Report | None = None

    @property
    def in_flight(self) -> int:
        """Requests of this instance that the upstream has not answered."""
        return self._in_flight

    @property
    def last_answer_at(self) -> Instant | None:
        """When the upstream last answered this instance."""
        return self._last_answer_at

    @property
    def latency(self) -> float | None:
        """The moving average of the latency of answers, in seconds."""
        return self._latency

    @property
    def failures(self) -> int:
        """Failures since the last answer."""
        return self._failures

    @property
    def sheds(self) -> int:
        """Requests shed since the last answer."""
        return self._sheds

    @property
    def report(self) -> Report | None:
        """The newest report of the upstream, however old."""
        return self._report

    def start(self) -> None:
        """Counts one more request in flight."""
        self._in_flight += 1

    def end(self) -> None:
        """Counts one request less."""
        self._in_flight -= 1

    def answer(self, answered_at: Instant, seconds: float) -> None:
        """Takes in an answer that took ``seconds``."""
        self._last_answer_at = answered_at
        self._failures = 0
        self._sheds = 0
        if self._latency is None:
            self._latency = seconds
        self._latency += LATENCY_WEIGHT * (seconds - self._latency)

    def fail(self) -> None:
        """Counts a failure."""
        self._failures += 1

    def shed(self) -> None:
        """Counts a request that the upstream shed."""
        self._sheds += 1

    def hear(self, report: Report) -> None:
        """Replaces the report."""
        self._report = report


@final
class Board:
    """The loads of all upstreams by the upstream's name."""

    __slots__ = ('_loads', '_turns')

    def __init__(self) -> None:
        """Starts without any upstream."""
        self._loads: dict[str, UpstreamLoad] = {}
        self._turns = 0

    @property
    def loads(self) -> Mapping[str, UpstreamLoad]:
        """The loads by the upstream's name."""
        return self._loads

    @property
    def turns(self) -> int:
        """Attempts started so far; round robin walks along it."""
        return self._turns

    def load(self, name: str) -> UpstreamLoad:
        """The load of the upstream ``name``, created on first use."""
        found = self._loads.get(name)
        if found is None:
            found = UpstreamLoad()
            self._loads[name] = found
        return found

    def in_flight(self, name: str) -> int:
        """Requests of this instance that are in flight at ``name``."""
        found = self._loads.get(name)
        return found.in_flight if found else 0

    def turn(self) -> None:
        """Counts an attempt."""
        self._turns += 1

    def keep(self, names: frozenset[str]) -> None:
        """Forgets the upstreams that are not in ``names``."""
        for name in tuple(self._loads):
            if name not in names and not self._loads[name].in_flight:
                self._loads.pop(name)
