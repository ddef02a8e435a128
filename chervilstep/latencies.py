"""Histograms of the latency of answers, by service."""

import bisect
from collections.abc import Mapping
from typing import Final, final

#: The upper bounds of the buckets, each twice the one before. They range from
#: below the fastest answer of an upstream to beyond the longest deadline.
BUCKET_BOUNDS_SECONDS: Final = (
    0.005,
    0.01,
    0.02,
    0.04,
    0.08,
    0.16,
    0.32,
    0.64,
    1.28,
    2.56,
    5.12,
    10.24,
)


@final
class Histogram:
    """The number of answers in each range of latencies."""

    __slots__ = ('_counts', '_total_seconds')

    def __init__(self) -> None:
        """Creates an empty histogram."""
        self._counts = [0 for _ in (*BUCKET_BOUNDS_SECONDS, None)]
        self._total_seconds = float(0)

    @property
    def counts(self) -> tuple[int, ...]:
        """The answers in each bucket; the last bucket has no upper bound."""
        return tuple(self._counts)

    @property
    def total_seconds(self) -> float:
        """The sum of the latencies of all answers."""
        return self._total_seconds

    def observe(self, seconds: float) -> None:
        """Counts one answer that took ``seconds``."""
        self._counts[bisect.bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self._total_seconds += seconds


@final
class LatencyHistograms:
    """One histogram for each service."""

    __slots__ = ('_by_service',)

    def __init__(self) -> None:
        """Creates an empty table."""
        self._by_service: dict[str, Histogram] = {}

    @property
    def by_service(self) -> Mapping[str, Histogram]:
        """The histograms of the services with at least one answer."""
        return self._by_service

    def observe(self, service: str, seconds: float) -> None:
        """Counts one answer of ``service`` that took ``seconds``."""
        if service not in self._by_service:
            self._by_service[service] = Histogram()
        self._by_service[service].observe(seconds)

    def retain(self, services: frozenset[str]) -> None:
        """Removes the services that are not in ``services``."""
        for name in tuple(self._by_service):
            if name not in services:
                self._by_service.pop(name)
