"""The health of upstreams that report their load."""

import math
from collections.abc import Mapping
from typing import Final, final

from chervilstep.reports import LoadReport
from chervilstep.types import Deadline, Instant

#: The weight of the newest outcome in the moving average of failures.
FAILURE_WEIGHT: Final = 0.25
#: The time constant with which the failure rate decays, so that an upstream
#: that failed is tried again.
FAILURE_DECAY_SECONDS: Final = 5.0
#: The weight of the newest report in the moving averages of a service.
MEAN_WEIGHT: Final = 0.05
EXPIRED: Final = Deadline(float('-inf'))


@final
class UpstreamHealth:
    """The health of one upstream as this instance observes it."""

    __slots__ = (
        '_closed_until',
        '_cold_tokens_at',
        '_cold_tokens',
        '_cold_until',
        '_last_outcome_at',
        '_failure_rate',
        '_failures',
        '_is_leaving',
        '_other_in_flight',
        '_paused_until',
        '_probe_tokens',
        '_probe_tokens_at',
        '_report',
        '_trial_answers',
    )

    def __init__(self) -> None:
        """Creates the record of a healthy, warm upstream."""
        self._report: LoadReport | None = None
        self._other_in_flight = float(0)
        self._failures = 0
        self._failure_rate = float(0)
        self._last_outcome_at: Instant = 0
        self._closed_until = EXPIRED
        self._is_leaving = False
        self._paused_until = EXPIRED
        self._trial_answers: int | None = None
        self._cold_until = EXPIRED
        self._cold_tokens = float(1)
        self._cold_tokens_at: Instant = 0
        self._probe_tokens: float | None = None
        self._probe_tokens_at: Instant = 0

    @property
    def report(self) -> LoadReport | None:
        """The newest report, regardless of its age."""
        return self._report

    @property
    def other_in_flight(self) -> float:
        """The requests of other instances, derived from the newest report."""
        return self._other_in_flight

    @property
    def failures(self) -> int:
        """The number of consecutive failures."""
        return self._failures

    @property
    def closed_until(self) -> Deadline:
        """When requests may be sent again after failures."""
        return self._closed_until

    @property
    def cold_until(self) -> Deadline:
        """When the upstream stops being cold."""
        return self._cold_until

    @property
    def cold_tokens(self) -> float:
        """The tokens for calls to a cold upstream, as of ``cold_tokens_at``."""
        return self._cold_tokens

    @property
    def cold_tokens_at(self) -> Instant:
        """When the tokens for calls to a cold upstream were updated."""
        return self._cold_tokens_at

    @property
    def probe_tokens(self) -> float | None:
        """The tokens for placement probes, as of ``probe_tokens_at``.

        None before the first probe, when the bucket is full.
        """
        return self._probe_tokens

    @property
    def probe_tokens_at(self) -> Instant:
        """When the tokens for placement probes were updated."""
        return self._probe_tokens_at

    @property
    def is_leaving(self) -> bool:
        """Whether the upstream has said itself that it ends soon."""
        return self._is_leaving

    @property
    def paused_until(self) -> Deadline:
        """Until when the upstream wants no request of this instance."""
        return self._paused_until

    @property
    def trial_answers(self) -> int | None:
        """The answers since the last pause; None once it is forgotten."""
        return self._trial_answers

    def failure_rate(self, now: Instant) -> float:
        """Returns the moving average of failures, which decays with time."""
        age = max(0, now - self._last_outcome_at)
        return self._failure_rate * math.exp(-age / FAILURE_DECAY_SECONDS)

    def is_closed(self, now: Instant) -> bool:
        """Whether requests are held back after failures."""
        return not self._closed_until.has_passed(now)

    def is_cold(self, now: Instant) -> bool:
        """Whether the upstream has started recently."""
        return not self._cold_until.has_passed(now)

    def record_report(self, report: LoadReport, other_in_flight: float) -> None:
        """Replaces the report and the derived requests of other instances."""
        self._report = report
        self._other_in_flight = other_in_flight

    def record_outcome(self, now: Instant, *, has_failed: bool) -> None:
        """Updates the failure rate and the number of consecutive failures."""
        rate = self.failure_rate(now)
        self._failure_rate = rate + FAILURE_WEIGHT * (has_failed - rate)
        self._last_outcome_at = now
        self._failures = self._failures + 1 if has_failed else 0

    def close(self, closed_until: Deadline) -> None:
        """Holds back requests until ``closed_until``."""
        self._closed_until = closed_until

    def mark_leaving(self) -> None:
        """Marks the upstream as leaving, for as long as it runs."""
        self._is_leaving = True

    def pause(self, paused_until: Deadline) -> None:
        """Holds back all requests; a trial with few of them follows."""
        self._paused_until = self._paused_until.later(paused_until)
        self._trial_answers = 0

    def update_trial(self, answers: int | None) -> None:
        """Stores the answers since the last pause, or None to forget it."""
        self._trial_answers = answers

    def mark_cold(self, cold_until: Deadline) -> None:
        """Marks the upstream as cold until ``cold_until``."""
        self._cold_until = cold_until

    def update_probe_tokens(self, tokens: float, now: Instant) -> None:
        """Stores the tokens for placement probes as of ``now``."""
        self._probe_tokens = tokens
        self._probe_tokens_at = now

    def update_cold_tokens(self, tokens: float, now: Instant) -> None:
        """Stores the tokens for calls to a cold upstream as of ``now``."""
        self._cold_tokens = tokens
        self._cold_tokens_at = now


@final
class ServiceMeans:
    """Moving averages over the load reports of upstreams of one service."""

    __slots__ = ('_other_in_flight', '_slowdown')

    def __init__(self) -> None:
        """Creates the averages of idle upstreams at usual speed."""
        self._slowdown = float(1)
        self._other_in_flight = float(0)

    @property
    def slowdown(self) -> float:
        """The mean slowdown of the upstreams."""
        return self._slowdown

    @property
    def other_in_flight(self) -> float:
        """The mean number of requests of other instances at an upstream."""
        return self._other_in_flight

    def record_report(self, slowdown: float, other_in_flight: float) -> None:
        """Updates the averages with a report."""
        self._slowdown += MEAN_WEIGHT * (slowdown - self._slowdown)
        self._other_in_flight += MEAN_WEIGHT * (
            other_in_flight - self._other_in_flight
        )


@final
class HealthTable:
    """The health of all upstreams by name and the reports to send to peers."""

    __slots__ = ('_by_upstream', '_limited_means', '_means', '_unsent_reports')

    def __init__(self) -> None:
        """Creates an empty table."""
        self._by_upstream: dict[str, UpstreamHealth] = {}
        self._means: dict[str, ServiceMeans] = {}
        self._limited_means: dict[str, ServiceMeans] = {}
        self._unsent_reports: dict[str, LoadReport] = {}

    @property
    def by_upstream(self) -> Mapping[str, UpstreamHealth]:
        """The health of each upstream by its name."""
        return self._by_upstream

    @property
    def unsent_reports(self) -> Mapping[str, LoadReport]:
        """The reports not yet sent to peers, by the upstream's name."""
        return self._unsent_reports

    def upstream_health(self, upstream: str) -> UpstreamHealth:
        """Returns the health of ``upstream``, created if missing."""
        found = self._by_upstream.get(upstream)
        if found is None:
            found = UpstreamHealth()
            self._by_upstream[upstream] = found
        return found

    def means_by_service(
        self, *, is_limited: bool
    ) -> Mapping[str, ServiceMeans]:
        """Returns the averages of each service over a part of its upstreams.

        These are the upstreams that limit their requests, or the others: the
        load of the one part says nothing about that of the other.
        """
        return self._limited_means if is_limited else self._means

    def service_means(self, service: str, *, is_limited: bool) -> ServiceMeans:
        """Returns such averages of one service, created if missing."""
        means = self._limited_means if is_limited else self._means
        return means.setdefault(service, ServiceMeans())

    def queue_report(self, upstream: str, report: LoadReport) -> None:
        """Queues a report for the next update to peers."""
        self._unsent_reports[upstream] = report

    def clear_unsent_reports(self) -> None:
        """Discards the queued reports after they were sent."""
        self._unsent_reports.clear()

    def retain(self, names: frozenset[str]) -> None:
        """Removes the upstreams that are not in ``names``."""
        for name in tuple(self._by_upstream):
            if name not in names:
                self._by_upstream.pop(name)
                self._unsent_reports.pop(name, None)
