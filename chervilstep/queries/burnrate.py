"""Burn rates of the error budgets.

The windows and thresholds are those of multi-window, multi-burn-rate alerts
(The Site Reliability Workbook, chapter 5). The window of three days is left
out: instances persist no counts and are replaced more often than that.
"""

from collections.abc import Iterable, Mapping
from typing import Final, TypeAlias, final

from chervilstep.hooks import STATUS_ENTRIES
from chervilstep.node import Node
from chervilstep.queries.indicators import OBJECTIVES
from chervilstep.slo import EventCounts
from chervilstep.types import Instant

#: The length of each window by name.
WINDOW_MINUTES: Final = {'5m': 5, '30m': 30, '1h': 60, '6h': 360}

#: The numbers of events in each window, as ``[good, bad]``.
WindowCounts: TypeAlias = Mapping[str, list[int]]


@final
class Alert:
    """An alert that fires when two windows both exceed a burn rate."""

    __slots__ = ('_long_window', '_name', '_short_window', '_threshold')

    def __init__(
        self, name: str, long_window: str, short_window: str, threshold: float
    ) -> None:
        """Creates an alert on a long and a short window."""
        self._name = name
        self._long_window = long_window
        self._short_window = short_window
        self._threshold = threshold

    @property
    def name(self) -> str:
        """The severity of the alert."""
        return self._name

    def fires(self, rates: Mapping[str, float]) -> bool:
        """Whether the burn rates of both windows exceed the threshold."""
        return (
            min(rates[self._long_window], rates[self._short_window])
            > self._threshold
        )


ALERTS: Final = (
    Alert('page', '1h', '5m', 14.4),
    Alert('page', '6h', '30m', 6),
)


@final
class BurnRate:
    """The burn rate of one indicator for one service or customer."""

    __slots__ = ('_counts', '_indicator', '_kind', '_subject')

    def __init__(
        self,
        indicator: str,
        kind: str,
        subject: str,
        counts: Mapping[str, EventCounts],
    ) -> None:
        """Creates a burn rate from the event counts of each window."""
        self._indicator = indicator
        self._kind = kind
        self._subject = subject
        self._counts = counts

    @property
    def indicator(self) -> str:
        """The name of the indicator."""
        return self._indicator

    @property
    def kind(self) -> str:
        """Either ``service`` or ``customer``."""
        return self._kind

    @property
    def subject(self) -> str:
        """The name of the service or customer."""
        return self._subject

    @property
    def counts(self) -> Mapping[str, EventCounts]:
        """The event counts of each window."""
        return self._counts

    @property
    def rates(self) -> dict[str, float]:
        """The bad fraction divided by the error budget, by window.

        A rate of 1 means that the objective is just met.
        """
        budget = 1 - OBJECTIVES[self._indicator]
        return {
            window: _bad_fraction(counts) / budget
            for window, counts in self._counts.items()
        }

    @property
    def alert(self) -> str:
        """The name of the first alert that fires, or an empty string."""
        rates = self.rates
        for alert in ALERTS:
            if alert.fires(rates):
                return alert.name
        return ''


@STATUS_ENTRIES.register('burn')
def describe_burn(node: Node, now: Instant) -> dict[str, WindowCounts]:
    """Returns the event counts of each series and window of this instance."""
    return {
        '/'.join(key): {
            window: _pair(series.counts(minutes, now))
            for window, minutes in WINDOW_MINUTES.items()
        }
        for key, series in node.slo
    }


def merge_event_counts(
    burn_entries: Iterable[Mapping[str, WindowCounts]],
) -> tuple[BurnRate, ...]:
    """Returns the burn rates over all instances, the highest first."""
    totals: dict[str, dict[str, list[int]]] = {}
    for burn_entry in burn_entries:
        for name, counts in burn_entry.items():
            _add_counts(totals.setdefault(name, _zero_counts()), counts)
    burn_rates = [_new_burn_rate(*total) for total in totals.items()]
    return tuple(sorted(burn_rates, key=_sort_key))


def _zero_counts() -> dict[str, list[int]]:
    return {window: [0, 0] for window in WINDOW_MINUTES}


def _add_counts(total: dict[str, list[int]], counts: WindowCounts) -> None:
    for window, (good, bad) in counts.items():
        total[window][0] += good
        total[window][1] += bad


def _new_burn_rate(name: str, counts: Mapping[str, list[int]]) -> BurnRate:
    indicator, kind, subject = name.split('/', 2)
    return BurnRate(
        indicator,
        kind,
        subject,
        {window: EventCounts(*pair) for window, pair in counts.items()},
    )


def _sort_key(burn_rate: BurnRate) -> tuple[float, str, str, str]:
    return (
        -max(burn_rate.rates.values()),
        burn_rate.kind,
        burn_rate.subject,
        burn_rate.indicator,
    )


def _bad_fraction(counts: EventCounts) -> float:
    total = counts.good + counts.bad
    return counts.bad / total if total else float(0)


def _pair(counts: EventCounts) -> list[int]:
    return [counts.good, counts.bad]
