"""Tolerances of the limits that the fleet enforces without a quorum."""

from typing import Final, final

#: These defaults come from the service agreements of the first deployments.
RATE_WINDOW_SECONDS: Final = 5
RATE_EXCESS: Final = 0.25
RATE_EXCESS_CALLS: Final = 20
RETRY_RATIO: Final = 0.2
RETRY_RESERVE: Final = 60
RETRY_WINDOW_SECONDS: Final = 10
COLD_FACTOR: Final = 1.5
COLD_EXTRA: Final = 5
PROBES_PER_SECOND: Final = 60


@final
class Allowances:
    """The agreed tolerances of rates, retries, cold starts and probes.

    Each tolerance applies to all instances together, even while some of them
    cannot reach each other.
    """

    __slots__ = (
        '_cold_extra',
        '_cold_factor',
        '_probes_per_second',
        '_rate_excess',
        '_rate_excess_calls',
        '_rate_window_seconds',
        '_retry_ratio',
        '_retry_reserve',
        '_retry_window_seconds',
    )

    def __init__(
        self,
        *,
        rate_window_seconds: float = RATE_WINDOW_SECONDS,
        rate_excess: float = RATE_EXCESS,
        rate_excess_calls: float = RATE_EXCESS_CALLS,
        retry_ratio: float = RETRY_RATIO,
        retry_reserve: float = RETRY_RESERVE,
        retry_window_seconds: float = RETRY_WINDOW_SECONDS,
        cold_factor: float = COLD_FACTOR,
        cold_extra: float = COLD_EXTRA,
        probes_per_second: float = PROBES_PER_SECOND,
    ) -> None:
        """Creates allowances; omitted values have their defaults."""
        self._rate_window_seconds = rate_window_seconds
        self._rate_excess = rate_excess
        self._rate_excess_calls = rate_excess_calls
        self._retry_ratio = retry_ratio
        self._retry_reserve = retry_reserve
        self._retry_window_seconds = retry_window_seconds
        self._cold_factor = cold_factor
        self._cold_extra = cold_extra
        self._probes_per_second = probes_per_second

    @property
    def rate_window_seconds(self) -> float:
        """The length of the window in which a customer's calls are counted."""
        return self._rate_window_seconds

    @property
    def rate_excess(self) -> float:
        """The tolerated excess, as a fraction of the calls in a window."""
        return self._rate_excess

    @property
    def rate_excess_calls(self) -> float:
        """The tolerated excess in calls of a customer in a window."""
        return self._rate_excess_calls

    @property
    def retry_ratio(self) -> float:
        """The retries and hedges allowed for each call of a service."""
        return self._retry_ratio

    @property
    def retry_reserve(self) -> float:
        """The retries and hedges allowed in a window regardless of calls."""
        return self._retry_reserve

    @property
    def retry_window_seconds(self) -> float:
        """The length of the window in which retries and hedges are counted."""
        return self._retry_window_seconds

    @property
    def cold_factor(self) -> float:
        """The factor by which the rate of a cold upstream may be exceeded."""
        return self._cold_factor

    @property
    def cold_extra(self) -> float:
        """The extra calls allowed to a cold upstream in each second."""
        return self._cold_extra

    @property
    def probes_per_second(self) -> float:
        """The health checks and probes of an upstream allowed per second."""
        return self._probes_per_second
