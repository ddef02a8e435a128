"""Running estimates of the mean and the tail latency of each service."""

from collections.abc import Mapping
from typing import Final, final

#: The quantile that is estimated as the tail latency.
TAIL_QUANTILE: Final = 0.95
#: The weight of the newest answer in the mean.
MEAN_WEIGHT: Final = 0.02
#: The largest change of the tail by one answer, as a fraction of the tail.
MAX_STEP_FRACTION: Final = 0.05
#: The estimates are not used before this many answers.
MIN_ANSWERS: Final = 100


@final
class LatencyEstimate:
    """Estimates of the mean and one quantile of a service's latency.

    The quantile is estimated by stochastic approximation (Robbins and Monro,
    "A Stochastic Approximation Method", 1951). The steps are proportional to
    the estimate, so that it follows changes of scale.
    """

    __slots__ = ('_answers', '_mean_seconds', '_tail_seconds')

    def __init__(self) -> None:
        """Creates an estimate without answers."""
        self._answers = 0
        self._tail_seconds = float(0)
        self._mean_seconds = float(0)

    @property
    def mean_seconds(self) -> float | None:
        """The mean latency in seconds, or None before enough answers."""
        return self._mean_seconds if self._answers >= MIN_ANSWERS else None

    @property
    def tail_seconds(self) -> float | None:
        """The tail latency in seconds, or None before enough answers."""
        return self._tail_seconds if self._answers >= MIN_ANSWERS else None

    def record(self, seconds: float) -> None:
        """Updates the estimates with the latency of one answer."""
        if not self._answers:
            self._tail_seconds = seconds
            self._mean_seconds = seconds
        self._mean_seconds += MEAN_WEIGHT * (seconds - self._mean_seconds)
        self._answers += 1
        step = MAX_STEP_FRACTION * self._tail_seconds
        if seconds > self._tail_seconds:
            self._tail_seconds += step * TAIL_QUANTILE
        else:
            self._tail_seconds -= step * (1 - TAIL_QUANTILE)


@final
class LatencyEstimates:
    """The latency estimates of all services by name."""

    __slots__ = ('_by_service',)

    def __init__(self) -> None:
        """Creates an empty table."""
        self._by_service: dict[str, LatencyEstimate] = {}

    @property
    def by_service(self) -> Mapping[str, LatencyEstimate]:
        """The estimates of the services that have answered."""
        return self._by_service

    def record(self, service: str, seconds: float) -> None:
        """Records the latency of one answer of ``service``."""
        estimate = self._by_service.get(service)
        if estimate is None:
            estimate = LatencyEstimate()
            self._by_service[service] = estimate
        estimate.record(seconds)

    def retain(self, services: frozenset[str]) -> None:
        """Removes the services that are not in ``services``."""
        for name in tuple(self._by_service):
            if name not in services:
                self._by_service.pop(name)
