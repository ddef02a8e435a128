"""The latency of each service: its mean and its tail."""

from collections.abc import Mapping
from typing import Final, final

#: The quantile that is tracked.
QUANTILE: Final = 0.95
#: The weight of the newest answer in the mean.
MEAN_WEIGHT: Final = 0.02
#: Each answer moves the estimate by at most this part of it.
STEP_PART: Final = 0.05
#: The estimate is not used before this many answers.
MIN_ANSWERS: Final = 100


@final
class Tail:
    """An estimate of one quantile by stochastic approximation.

    Robbins and Monro, "A Stochastic Approximation Method" (1951), with steps
    in proportion to the estimate, so that it follows changes of scale.
    """

    __slots__ = ('_answers', '_mean', '_seconds')

    def __init__(self) -> None:
        """Starts without answers."""
        self._answers = 0
        self._seconds = float(0)
        self._mean = float(0)

    @property
    def mean(self) -> float | None:
        """The mean latency in seconds, or None before enough answers."""
        return self._mean if self._answers >= MIN_ANSWERS else None

    @property
    def seconds(self) -> float | None:
        """The quantile, or None before enough answers."""
        return self._seconds if self._answers >= MIN_ANSWERS else None

    def note(self, seconds: float) -> None:
        """Takes in the latency of one answer."""
        if not self._answers:
            self._seconds = seconds
            self._mean = seconds
        self._mean += MEAN_WEIGHT * (seconds - self._mean)
        self._answers += 1
        step = STEP_PART * self._seconds
        if seconds > self._seconds:
            self._seconds += step * QUANTILE
        else:
            self._seconds -= step * (1 - QUANTILE)


@final
class Tails:
    """The tails of all services by name."""

    __slots__ = ('_tails',)

    def __init__(self) -> None:
        """Starts without services."""
        self._tails: dict[str, Tail] = {}

    @property
    def by_service(self) -> Mapping[str, Tail]:
        """The tails of the services that have answered."""
        return self._tails

    def note(self, service: str, seconds: float) -> None:
        """Takes in the latency of one answer."""
        tail = self._tails.get(service)
        if tail is None:
            tail = Tail()
            self._tails[service] = tail
        tail.note(seconds)

    def keep(self, services: frozenset[str]) -> None:
        """Forgets the services that are not in ``services``."""
        for name in tuple(self._tails):
            if name not in services:
                self._tails.pop(name)
