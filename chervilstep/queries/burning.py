"""How fast the error budgets burn.

The windows and factors are those of multi-window, multi-burn-rate alerts
(The Site Reliability Workbook, chapter 5). The window of three days is left
out, since instances keep nothing and are replaced more often.
"""

from collections.abc import Iterable, Mapping
from typing import Final, TypeAlias, final

from chervilstep.burn import Events
from chervilstep.hooks import STATUS_PARTS
from chervilstep.node import Node
from chervilstep.queries.indicators import OBJECTIVES
from chervilstep.types import Instant

#: The windows by name, in minutes.
WINDOWS: Final = {'5m': 5, '30m': 30, '1h': 60, '6h': 360}

#: The events of each window, as ``[good, bad]``.
WindowCounts: TypeAlias = Mapping[str, list[int]]


@final
class Alert:
    """A burn rate that two windows must both exceed."""

    __slots__ = ('_factor', '_long', '_name', '_short')

    def __init__(self, name: str, long: str, short: str, factor: float) -> None:
        """Creates an alert over a long and a short window."""
        self._name = name
        self._long = long
        self._short = short
        self._factor = factor

    @property
    def name(self) -> str:
        """How urgent the alert is."""
        return self._name

    def fires(self, rates: Mapping[str, float]) -> bool:
        """Whether the budget burns too fast in both windows."""
        return min(rates[self._long], rates[self._short]) > self._factor


ALERTS: Final = (
    Alert('page', '1h', '5m', 14.4),
    Alert('page', '6h', '30m', 6),
)


@final
class BurnRow:
    """The burn of one indicator of one service or customer."""

    __slots__ = ('_counts', '_indicator', '_kind', '_subject')

    def __init__(
        self,
        indicator: str,
        kind: str,
        subject: str,
        counts: Mapping[str, Events],
    ) -> None:
        """Creates a row from the events of each window."""
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
    def counts(self) -> Mapping[str, Events]:
        """The events of each window."""
        return self._counts

    @property
    def rates(self) -> dict[str, float]:
        """How often the error budget is spent over, by window.

        One means that the objective is just met.
        """
        budget = 1 - OBJECTIVES[self._indicator]
        return {
            window: _bad_part(events) / budget
            for window, events in self._counts.items()
        }

    @property
    def alert(self) -> str:
        """The name of the alert that fires, or an empty string."""
        rates = self.rates
        for alert in ALERTS:
            if alert.fires(rates):
                return alert.name
        return ''


@STATUS_PARTS.register('burn')
def describe_burn(node: Node, now: Instant) -> dict[str, WindowCounts]:
    """The events of each series and window, to be added over instances."""
    return {
        '/'.join(key): {
            window: _pair(series.events(minutes, now))
            for window, minutes in WINDOWS.items()
        }
        for key, series in node.burn
    }


def merge_burn(
    parts: Iterable[Mapping[str, WindowCounts]],
) -> tuple[BurnRow, ...]:
    """Adds up the events of several instances, the fastest burn first."""
    sums: dict[str, dict[str, list[int]]] = {}
    for part in parts:
        for name, counts in part.items():
            _add_counts(sums.setdefault(name, _no_events()), counts)
    rows = [_row(*summed) for summed in sums.items()]
    return tuple(sorted(rows, key=_rank))


def _no_events() -> dict[str, list[int]]:
    return {window: [0, 0] for window in WINDOWS}


def _add_counts(total: dict[str, list[int]], counts: WindowCounts) -> None:
    for window, (good, bad) in counts.items():
        total[window][0] += good
        total[window][1] += bad


def _row(name: str, counts: Mapping[str, list[int]]) -> BurnRow:
    indicator, kind, subject = name.split('/', 2)
    return BurnRow(
        indicator,
        kind,
        subject,
        {window: Events(*pair) for window, pair in counts.items()},
    )


def _rank(row: BurnRow) -> tuple[float, str, str, str]:
    return -max(row.rates.values()), row.kind, row.subject, row.indicator


def _bad_part(events: Events) -> float:
    total = events.good + events.bad
    return events.bad / total if total else float(0)


def _pair(events: Events) -> list[int]:
    return [events.good, events.bad]
