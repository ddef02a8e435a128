"""What an instance knows of the load of each upstream."""

from collections.abc import Mapping
from typing import Final, final

from chervilstep.calls import Attempt
from chervilstep.types import Deadline, Instant

#: The weight of the newest answer in the moving average of the latency.
LATENCY_WEIGHT: Final = 0.2
#: How long an upstream that shed a request is taken to be full.
SHED_SECONDS: Final = 0.01
#: How long a shed counts when the upstreams of a service are compared.
SHED_MEMORY_SECONDS: Final = 0.5
#: Requests queue when the latency is this many times its lowest value.
QUEUEING_FACTOR: Final = 2
#: What the lowest latency grows by at each review, so that it is forgotten.
BASE_DRIFT: Final = 1.001


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
        '_attempts',
        '_failures',
        '_full_until',
        '_shed_until',
        '_last_answer_at',
        '_last_shed_at',
        '_last_turn',
        '_latency',
        '_report',
        '_sheds',
        '_slow',
    )

    def __init__(self) -> None:
        """Starts with nothing in flight."""
        self._attempts: dict[Attempt, None] = {}
        self._last_answer_at: Instant | None = None
        self._last_turn = 0
        self._latency: float | None = None
        self._failures = 0
        self._sheds = 0
        self._last_shed_at: Instant = float('-inf')
        self._slow = 0
        self._full_until = Deadline(float('-inf'))
        self._shed_until = Deadline(float('-inf'))
        self._report: Report | None = None

    @property
    def in_flight(self) -> int:
        """Requests of this instance that the upstream has not answered."""
        return len(self._attempts)

    @property
    def attempts(self) -> tuple[Attempt, ...]:
        """The attempts in flight, the oldest first."""
        return tuple(self._attempts)

    @property
    def last_answer_at(self) -> Instant | None:
        """When the upstream last answered this instance."""
        return self._last_answer_at

    @property
    def last_turn(self) -> int:
        """The turn of the board at which an attempt last started here."""
        return self._last_turn

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
    def slow(self) -> int:
        """Slow answers since the last one that was not slow."""
        return self._slow

    @property
    def report(self) -> Report | None:
        """The newest report of the upstream, however old."""
        return self._report

    def is_full(self, now: Instant) -> bool:
        """Whether the upstream shed a request just now."""
        return not self._full_until.has_passed(now)

    def shed_lately(self, now: Instant) -> bool:
        """Whether the upstream shed a request lately."""
        return not self._shed_until.has_passed(now)

    def defer(self, turn: int) -> None:
        """Moves the upstream to the end of the order of turns."""
        self._last_turn = turn

    def start(self, attempt: Attempt, turn: int) -> None:
        """Adds an attempt in flight."""
        self._attempts[attempt] = None
        self._last_turn = turn

    def end(self, attempt: Attempt) -> None:
        """Removes an attempt that ended."""
        self._attempts.pop(attempt, None)

    def answer(self, answered_at: Instant, seconds: float) -> None:
        """Takes in an answer that took ``seconds``."""
        self._last_answer_at = answered_at
        self._failures = 0
        self._sheds = 0
        if self._latency is None:
            self._latency = seconds
        self._latency += LATENCY_WEIGHT * (seconds - self._latency)

    def count_slow(self, *, is_slow: bool) -> None:
        """Counts slow answers in a row."""
        self._slow = self._slow + 1 if is_slow else 0

    def fail(self) -> None:
        """Counts a failure."""
        self._failures += 1

    def shed(self, started_at: Instant, now: Instant) -> None:
        """Counts a request that was shed, and a burst of them as one.

        Sheds that lie further apart than the memory of sheds say nothing.
        """
        if not self.shed_lately(now):
            self._sheds = 0
        if started_at >= self._last_shed_at:
            self._sheds += 1
            self._last_shed_at = now
        self._full_until = Deadline(now + SHED_SECONDS)
        self._shed_until = Deadline(now + SHED_MEMORY_SECONDS)

    def forgive(self) -> None:
        """Starts all counts anew, once they have led to a decision."""
        self._failures = 0
        self._sheds = 0
        self._slow = 0

    def hear(self, report: Report) -> None:
        """Replaces the report."""
        self._report = report


@final
class ServiceLoad:
    """The load of one service as this instance sees it."""

    __slots__ = (
        '_base_latency',
        '_in_flight',
        '_limit',
        '_lowered_until',
        '_typical_latency',
    )

    def __init__(self, limit: float) -> None:
        """Starts with room for ``limit`` requests in flight."""
        self._in_flight = 0
        self._limit = limit
        self._lowered_until = Deadline(float('-inf'))
        self._typical_latency: float | None = None
        self._base_latency: float | None = None

    @property
    def in_flight(self) -> int:
        """Requests of this instance in flight at all its upstreams."""
        return self._in_flight

    @property
    def limit(self) -> float:
        """How many requests this instance keeps in flight at most."""
        return self._limit

    @property
    def typical_latency(self) -> float | None:
        """The median of the latencies of its upstreams, in seconds."""
        return self._typical_latency

    @property
    def is_queueing(self) -> bool:
        """Whether the latency says that requests queue at the upstreams."""
        if self._typical_latency is None or self._base_latency is None:
            return False
        return self._typical_latency > QUEUEING_FACTOR * self._base_latency

    def start(self) -> None:
        """Counts one more request in flight."""
        self._in_flight += 1

    def end(self) -> None:
        """Counts one request less."""
        self._in_flight -= 1

    def raise_limit(self, step: float, highest: float) -> None:
        """Allows ``step`` more requests in flight."""
        self._limit = min(highest, self._limit + step)

    def lower_limit(
        self, factor: float, lowest: float, again: Deadline, now: Instant
    ) -> None:
        """Allows fewer requests, and not less still before ``again``."""
        if self._lowered_until.has_passed(now):
            self._limit = max(lowest, self._limit * factor)
            self._lowered_until = again

    def learn(self, typical_latency: float) -> None:
        """Replaces the typical latency, and follows its lowest value."""
        self._typical_latency = typical_latency
        base = self._base_latency or typical_latency
        self._base_latency = min(typical_latency, base * BASE_DRIFT)


@final
class Board:
    """The loads of all upstreams and services by their names."""

    __slots__ = ('_live', '_loads', '_services', '_turns')

    def __init__(self) -> None:
        """Starts without any upstream."""
        self._loads: dict[str, UpstreamLoad] = {}
        self._services: dict[str, ServiceLoad] = {}
        self._live: frozenset[str] = frozenset()
        self._turns = 0

    @property
    def loads(self) -> Mapping[str, UpstreamLoad]:
        """The loads by the upstream's name."""
        return self._loads

    @property
    def services(self) -> Mapping[str, ServiceLoad]:
        """The loads by the service's name."""
        return self._services

    @property
    def live(self) -> frozenset[str]:
        """The instances that share the upstreams; empty at the start."""
        return self._live

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

    def service(self, name: str, limit: float) -> ServiceLoad:
        """The load of the service ``name``; a new one starts at ``limit``."""
        found = self._services.get(name)
        if found is None:
            found = ServiceLoad(limit)
            self._services[name] = found
        return found

    def in_flight(self, name: str) -> int:
        """Requests of this instance that are in flight at ``name``."""
        found = self._loads.get(name)
        return found.in_flight if found else 0

    def turn(self) -> None:
        """Counts an attempt."""
        self._turns += 1

    def share_among(self, live: frozenset[str]) -> None:
        """Replaces the instances that share the upstreams."""
        self._live = live

    def keep(self, names: frozenset[str]) -> None:
        """Forgets the upstreams that are not in ``names``."""
        for name in tuple(self._loads):
            if name not in names and not self._loads[name].in_flight:
                self._loads.pop(name)
