"""The load of each upstream and service as this instance measures it."""

from collections.abc import Mapping
from typing import Final, final

from chervilstep.calls import Attempt
from chervilstep.types import Deadline, Instant

#: The weight of the newest answer in the moving average of the latency.
LATENCY_WEIGHT: Final = 0.2
#: How long an upstream counts as full after it has shed a request.
FULL_AFTER_SHED_SECONDS: Final = 0.01
#: How long a shed request counts when the upstreams of a service are
#: compared.
RECENT_SHED_SECONDS: Final = 0.5
#: Requests are assumed to queue at the upstreams when the typical latency
#: exceeds the base latency by this factor.
QUEUEING_LATENCY_FACTOR: Final = 2
#: The factor by which the base latency may grow at each review, so that an
#: outdated minimum does not persist.
BASE_LATENCY_GROWTH: Final = 1.001


@final
class InFlightReport:
    """The number of requests in flight that an upstream reported."""

    __slots__ = ('_valid_until', '_in_flight')

    def __init__(self, in_flight: int, valid_until: Deadline) -> None:
        """Creates a report that is valid until ``valid_until``."""
        self._in_flight = in_flight
        self._valid_until = valid_until

    @property
    def in_flight(self) -> int:
        """The requests in flight from all instances, by the upstream's count."""
        return self._in_flight

    @property
    def valid_until(self) -> Deadline:
        """When the report expires."""
        return self._valid_until


@final
class UpstreamLoad:
    """The load of one upstream as this instance measures it."""

    __slots__ = (
        '_attempts',
        '_failures',
        '_full_until',
        '_recent_shed_until',
        '_last_answer_at',
        '_last_shed_at',
        '_last_used',
        '_latency',
        '_report',
        '_sheds',
        '_slow_answers',
    )

    def __init__(self) -> None:
        """Creates a record without requests in flight."""
        self._attempts: dict[Attempt, None] = {}
        self._last_answer_at: Instant | None = None
        self._last_used = 0
        self._latency: float | None = None
        self._failures = 0
        self._sheds = 0
        self._last_shed_at: Instant = float('-inf')
        self._slow_answers = 0
        self._full_until = Deadline(float('-inf'))
        self._recent_shed_until = Deadline(float('-inf'))
        self._report: InFlightReport | None = None

    @property
    def in_flight(self) -> int:
        """The number of requests from this instance that are in flight."""
        return len(self._attempts)

    @property
    def attempts(self) -> tuple[Attempt, ...]:
        """The attempts in flight, oldest first."""
        return tuple(self._attempts)

    @property
    def last_answer_at(self) -> Instant | None:
        """When the last answer arrived; None before the first one."""
        return self._last_answer_at

    @property
    def last_used(self) -> int:
        """The sequence number of the last attempt at this upstream.

        The upstream with the lowest number is the least recently used one.
        """
        return self._last_used

    @property
    def latency(self) -> float | None:
        """The exponential moving average of the latency, in seconds."""
        return self._latency

    @property
    def failures(self) -> int:
        """The number of failures since the last answer."""
        return self._failures

    @property
    def sheds(self) -> int:
        """The number of bursts of shed requests since the last answer."""
        return self._sheds

    @property
    def slow_answers(self) -> int:
        """The number of consecutive slow answers."""
        return self._slow_answers

    @property
    def report(self) -> InFlightReport | None:
        """The newest report of the upstream, even if it has expired."""
        return self._report

    def is_full(self, now: Instant) -> bool:
        """Whether a request was shed within ``FULL_AFTER_SHED_SECONDS``."""
        return not self._full_until.has_passed(now)

    def has_shed_recently(self, now: Instant) -> bool:
        """Whether a request was shed within ``RECENT_SHED_SECONDS``."""
        return not self._recent_shed_until.has_passed(now)

    def move_to_back(self, sequence: int) -> None:
        """Marks the upstream as used at ``sequence``, without an attempt."""
        self._last_used = sequence

    def start_attempt(self, attempt: Attempt, sequence: int) -> None:
        """Adds an attempt in flight with its sequence number."""
        self._attempts[attempt] = None
        self._last_used = sequence

    def end_attempt(self, attempt: Attempt) -> None:
        """Removes an attempt that has ended."""
        self._attempts.pop(attempt, None)

    def record_answer(self, answered_at: Instant, seconds: float) -> None:
        """Updates the latency with an answer and resets the fault counts."""
        self._last_answer_at = answered_at
        self._failures = 0
        self._sheds = 0
        if self._latency is None:
            self._latency = seconds
        self._latency += LATENCY_WEIGHT * (seconds - self._latency)

    def record_slowness(self, *, is_slow: bool) -> None:
        """Updates the number of consecutive slow answers."""
        self._slow_answers = self._slow_answers + 1 if is_slow else 0

    def record_failure(self) -> None:
        """Counts a failed attempt."""
        self._failures += 1

    def record_shed(self, started_at: Instant, now: Instant) -> None:
        """Counts a shed request.

        Requests that were in flight at the time of the last counted one
        belong to the same burst and are not counted again. The count
        restarts when no request was shed for ``RECENT_SHED_SECONDS``.
        """
        if not self.has_shed_recently(now):
            self._sheds = 0
        if started_at >= self._last_shed_at:
            self._sheds += 1
            self._last_shed_at = now
        self._full_until = Deadline(now + FULL_AFTER_SHED_SECONDS)
        self._recent_shed_until = Deadline(now + RECENT_SHED_SECONDS)

    def reset_counts(self) -> None:
        """Resets all counts after they have led to an ejection."""
        self._failures = 0
        self._sheds = 0
        self._slow_answers = 0

    def record_report(self, report: InFlightReport) -> None:
        """Replaces the newest report."""
        self._report = report


@final
class ServiceLoad:
    """The load of one service and its concurrency limit at this instance."""

    __slots__ = (
        '_base_latency',
        '_in_flight',
        '_limit',
        '_next_decrease',
        '_typical_latency',
    )

    def __init__(self, limit: float) -> None:
        """Creates a record that allows ``limit`` requests in flight."""
        self._in_flight = 0
        self._limit = limit
        self._next_decrease = Deadline(float('-inf'))
        self._typical_latency: float | None = None
        self._base_latency: float | None = None

    @property
    def in_flight(self) -> int:
        """The number of requests in flight at all upstreams of the service."""
        return self._in_flight

    @property
    def limit(self) -> float:
        """The maximum number of requests in flight from this instance."""
        return self._limit

    @property
    def typical_latency(self) -> float | None:
        """The median latency over the upstreams, in seconds."""
        return self._typical_latency

    @property
    def is_queueing(self) -> bool:
        """Whether the latency shows that requests queue at the upstreams."""
        if self._typical_latency is None or self._base_latency is None:
            return False
        return (
            self._typical_latency > QUEUEING_LATENCY_FACTOR * self._base_latency
        )

    def start_attempt(self) -> None:
        """Counts one more request in flight."""
        self._in_flight += 1

    def end_attempt(self) -> None:
        """Counts one request fewer in flight."""
        self._in_flight -= 1

    def raise_limit(self, step: float, highest: float) -> None:
        """Raises the limit by ``step``, up to ``highest``."""
        self._limit = min(highest, self._limit + step)

    def lower_limit(
        self,
        factor: float,
        lowest: float,
        next_decrease: Deadline,
        now: Instant,
    ) -> None:
        """Multiplies the limit by ``factor``, but not below ``lowest``.

        Does nothing before the deadline that the previous decrease set;
        ``next_decrease`` replaces that deadline.
        """
        if self._next_decrease.has_passed(now):
            self._limit = max(lowest, self._limit * factor)
            self._next_decrease = next_decrease

    def update_latency(self, typical_latency: float) -> None:
        """Replaces the typical latency and updates the base latency."""
        self._typical_latency = typical_latency
        base = self._base_latency or typical_latency
        self._base_latency = min(typical_latency, base * BASE_LATENCY_GROWTH)


@final
class LoadTable:
    """The loads of all upstreams and services by name."""

    __slots__ = (
        '_live_instances',
        '_by_upstream',
        '_by_service',
        '_attempts_started',
    )

    def __init__(self) -> None:
        """Creates an empty table."""
        self._by_upstream: dict[str, UpstreamLoad] = {}
        self._by_service: dict[str, ServiceLoad] = {}
        self._live_instances: frozenset[str] = frozenset()
        self._attempts_started = 0

    @property
    def by_upstream(self) -> Mapping[str, UpstreamLoad]:
        """The load of each upstream by its name."""
        return self._by_upstream

    @property
    def by_service(self) -> Mapping[str, ServiceLoad]:
        """The load of each service by its name."""
        return self._by_service

    @property
    def live_instances(self) -> frozenset[str]:
        """The live instances at the last review; empty before the first."""
        return self._live_instances

    @property
    def attempts_started(self) -> int:
        """The number of attempts started so far, which drives round robin."""
        return self._attempts_started

    def upstream_load(self, name: str) -> UpstreamLoad:
        """Returns the load of the upstream ``name``, created if missing."""
        found = self._by_upstream.get(name)
        if found is None:
            found = UpstreamLoad()
            self._by_upstream[name] = found
        return found

    def service_load(self, name: str, limit: float) -> ServiceLoad:
        """Returns the load of the service ``name``, created if missing.

        ``limit`` is the initial concurrency limit of a new record.
        """
        found = self._by_service.get(name)
        if found is None:
            found = ServiceLoad(limit)
            self._by_service[name] = found
        return found

    def in_flight(self, upstream: str) -> int:
        """Returns the number of requests in flight at ``upstream``."""
        found = self._by_upstream.get(upstream)
        return found.in_flight if found else 0

    def count_attempt(self) -> None:
        """Counts a started attempt."""
        self._attempts_started += 1

    def update_live_instances(self, instances: frozenset[str]) -> None:
        """Replaces the set of live instances."""
        self._live_instances = instances

    def retain(self, names: frozenset[str]) -> None:
        """Removes upstreams that are not in ``names`` and have no requests."""
        for name in tuple(self._by_upstream):
            if name not in names and not self._by_upstream[name].in_flight:
                self._by_upstream.pop(name)
