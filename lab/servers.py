"""The state of one upstream stand-in."""

import collections
from typing import Final, final

from chervilstep.types import Instant

#: The agreed bound on a stated limit: the factor on the calls of a window, the
#: window, the further calls, and the time until all instances keep to it.
LIMIT_FACTOR: Final = 1.5
LIMIT_WINDOW_SECONDS: Final = 4.0
LIMIT_SLACK: Final = 5
LIMIT_SPREAD_SECONDS: Final = 3.0


@final
class Traits:
    """The constant properties of an upstream stand-in."""

    __slots__ = (
        '_cold_seconds',
        '_mean_seconds',
        '_name',
        '_probe_seconds',
        '_queue_limit',
        '_report_lag_seconds',
        '_seed',
        '_slots',
    )

    def __init__(
        self,
        name: str,
        *,
        slots: int = 3,
        queue_limit: int = 3,
        mean_seconds: float = 0.02,
        cold_seconds: float = 5,
        probe_seconds: float = 0,
        report_lag_seconds: float = 0.2,
        seed: int = 1,
    ) -> None:
        """Creates traits; a load report holds a slot for ``probe_seconds``."""
        self._name = name
        self._slots = slots
        self._queue_limit = queue_limit
        self._mean_seconds = mean_seconds
        self._cold_seconds = cold_seconds
        self._probe_seconds = probe_seconds
        self._report_lag_seconds = report_lag_seconds
        self._seed = seed

    @property
    def name(self) -> str:
        """The name in the operators' document."""
        return self._name

    @property
    def slots(self) -> int:
        """The number of requests that may run at once."""
        return self._slots

    @property
    def queue_limit(self) -> int:
        """The number of requests that may wait; more are shed."""
        return self._queue_limit

    @property
    def mean_seconds(self) -> float:
        """The mean service time of a warm upstream."""
        return self._mean_seconds

    @property
    def cold_seconds(self) -> float:
        """The length of a cold start."""
        return self._cold_seconds

    @property
    def probe_seconds(self) -> float:
        """The time for which a load report holds a slot."""
        return self._probe_seconds

    @property
    def report_lag_seconds(self) -> float:
        """The time for which a load report is repeated unchanged."""
        return self._report_lag_seconds

    @property
    def seed(self) -> int:
        """The seed of the service times."""
        return self._seed


@final
class Server:
    """The mutable state and the counters of an upstream stand-in."""

    __slots__ = (
        '_arrivals',
        '_call_limit',
        '_counts',
        '_crash_marker',
        '_down_until',
        '_in_flight',
        '_is_draining',
        '_is_failing',
        '_limit_holds_from',
        '_report_valid_until',
        '_reported_in_flight',
        '_runs',
        '_silent_before',
        '_slowdown',
        '_traits',
        '_warm_at',
    )

    def __init__(self, traits: Traits) -> None:
        """Creates the state of a warm and idle upstream."""
        self._traits = traits
        self._counts: collections.Counter[str] = collections.Counter()
        self._runs: collections.Counter[str] = collections.Counter()
        self._in_flight = 0
        self._reported_in_flight = 0
        self._report_valid_until = float('-inf')
        self._warm_at = float('-inf')
        self._silent_before = float('-inf')
        self._down_until = float('-inf')
        self._slowdown = float(1)
        self._crash_marker = ''
        self._call_limit: float | None = None
        self._limit_holds_from = float('inf')
        self._arrivals: collections.deque[Instant] = collections.deque()
        self._is_draining = False
        self._is_failing = False

    @property
    def traits(self) -> Traits:
        """The constant properties."""
        return self._traits

    @property
    def counts(self) -> collections.Counter[str]:
        """The number of occurrences by event."""
        return self._counts

    @property
    def runs(self) -> collections.Counter[str]:
        """The number of starts by request id."""
        return self._runs

    @property
    def in_flight(self) -> int:
        """The number of slots in use."""
        return self._in_flight

    @property
    def reported_in_flight(self) -> int:
        """The number of slots in use according to the load report."""
        return self._reported_in_flight

    @property
    def report_valid_until(self) -> Instant:
        """The time until which the load report stays unchanged."""
        return self._report_valid_until

    @property
    def warm_at(self) -> Instant:
        """The end of the cold start."""
        return self._warm_at

    @property
    def silent_before(self) -> Instant:
        """Connections opened before this time get no answers."""
        return self._silent_before

    @property
    def down_until(self) -> Instant:
        """The time until which the port is closed after a crash."""
        return self._down_until

    @property
    def slowdown(self) -> float:
        """The factor by which service times are multiplied."""
        return self._slowdown

    @property
    def crash_marker(self) -> str:
        """The text in a target that crashes the upstream; empty for none."""
        return self._crash_marker

    @property
    def is_draining(self) -> bool:
        """Whether new requests are shed while running ones finish."""
        return self._is_draining

    @property
    def is_failing(self) -> bool:
        """Whether every request is answered at once with status 500."""
        return self._is_failing

    @property
    def call_limit(self) -> float | None:
        """The requests per second that answers state, or None."""
        return self._call_limit

    def set_call_limit(self, limit: float | None) -> None:
        """Starts or stops to state a limit in answers."""
        self._call_limit = limit
        self._limit_holds_from = float('inf')
        self._arrivals.clear()

    def record_arrival(self, now: Instant) -> None:
        """Counts a request that exceeds the agreed excess over the limit."""
        if self._call_limit is None:
            return
        if self._limit_holds_from == float('inf'):
            self._limit_holds_from = now + LIMIT_SPREAD_SECONDS
        if now < self._limit_holds_from:
            return
        self._arrivals.append(now)
        while self._arrivals[0] <= now - LIMIT_WINDOW_SECONDS:
            self._arrivals.popleft()
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_SECONDS * self._call_limit
        if len(self._arrivals) > allowed + LIMIT_SLACK:
            self.count('over_limit')

    def count(self, event: str) -> None:
        """Counts an event."""
        self._counts[event] += 1

    def record_run(self, request_id: str) -> None:
        """Counts the start of a request."""
        self._runs[request_id] += 1

    def acquire_slot(self) -> None:
        """Marks one more slot as in use."""
        self._in_flight += 1

    def release_slot(self) -> None:
        """Marks one slot as free."""
        self._in_flight -= 1

    def update_report(self, valid_until: Instant) -> None:
        """Reports the present load, unchanged until ``valid_until``."""
        self._reported_in_flight = self._in_flight
        self._report_valid_until = valid_until

    def mark_cold(self, warm_at: Instant) -> None:
        """Begins a cold start that ends at ``warm_at``."""
        self._warm_at = warm_at

    def silence_connections(self, opened_before: Instant) -> None:
        """Leaves requests on connections opened before a time unanswered."""
        self._silent_before = opened_before

    def mark_down(self, down_until: Instant) -> None:
        """Sets the time until which the port is closed."""
        self._down_until = down_until

    def set_slowdown(self, factor: float) -> None:
        """Sets the factor by which service times are multiplied."""
        self._slowdown = factor

    def set_crash_marker(self, marker: str) -> None:
        """Sets the text in a target that crashes the upstream."""
        self._crash_marker = marker

    def set_draining(self, *, is_draining: bool) -> None:
        """Sets whether new requests are shed."""
        self._is_draining = is_draining

    def set_failing(self, *, is_failing: bool) -> None:
        """Sets whether every request fails at once."""
        self._is_failing = is_failing

    def clear_runs(self) -> None:
        """Removes the counts of started requests."""
        self._runs.clear()
