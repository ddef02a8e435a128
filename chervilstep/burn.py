"""Counts of good and bad events by the minute, for service levels."""

from array import array
from collections.abc import Iterator
from typing import Final, TypeAlias, final

from chervilstep.types import Instant

SECONDS_PER_MINUTE: Final = 60
#: How many minutes are kept; the longest window of the report.
KEPT_MINUTES: Final = 360

#: An indicator, the kind of its subject, and the subject's name.
SeriesKey: TypeAlias = tuple[str, str, str]


@final
class Events:
    """How many events were good and bad in some span of time."""

    __slots__ = ('_bad', '_good')

    def __init__(self, good: int, bad: int) -> None:
        """Creates a pair of counts."""
        self._good = good
        self._bad = bad

    @property
    def good(self) -> int:
        """Events that met the objective."""
        return self._good

    @property
    def bad(self) -> int:
        """Events that did not."""
        return self._bad


@final
class Series:
    """The good and bad events of the last minutes, in a ring."""

    __slots__ = ('_bad', '_good', '_minute')

    def __init__(self) -> None:
        """Starts with empty minutes."""
        self._good = array('I', bytes(KEPT_MINUTES * array('I').itemsize))
        self._bad = array('I', bytes(KEPT_MINUTES * array('I').itemsize))
        self._minute = 0

    def events(self, minutes: int, now: Instant) -> Events:
        """The events of the last ``minutes``, the running one included."""
        newest = minute_of(now)
        kept = range(
            max(newest - minutes, self._minute - KEPT_MINUTES) + 1,
            min(newest, self._minute) + 1,
        )
        places = [minute % KEPT_MINUTES for minute in kept]
        return Events(
            sum(self._good[place] for place in places),
            sum(self._bad[place] for place in places),
        )

    def add(self, now: Instant, *, is_good: bool) -> None:
        """Counts one event at ``now``."""
        minute = minute_of(now)
        self._advance(minute)
        counts = self._good if is_good else self._bad
        counts[minute % KEPT_MINUTES] += 1

    def _advance(self, minute: int) -> None:
        for passed in range(
            max(self._minute + 1, minute - KEPT_MINUTES + 1), minute + 1
        ):
            self._good[passed % KEPT_MINUTES] = 0
            self._bad[passed % KEPT_MINUTES] = 0
        self._minute = max(self._minute, minute)


@final
class BurnLedger:
    """The series of every indicator and subject."""

    __slots__ = ('_series',)

    def __init__(self) -> None:
        """Starts without a series."""
        self._series: dict[SeriesKey, Series] = {}

    def __iter__(self) -> Iterator[tuple[SeriesKey, Series]]:
        """Walks over the series."""
        return iter(self._series.items())

    def add(self, key: SeriesKey, now: Instant, *, is_good: bool) -> None:
        """Counts one event of a series."""
        series = self._series.get(key)
        if series is None:
            series = Series()
            self._series[key] = series
        series.add(now, is_good=is_good)

    def keep(self, services: frozenset[str], customers: frozenset[str]) -> None:
        """Forgets the subjects that are no longer configured."""
        for key in tuple(self._series):
            _, kind, name = key
            known = services if kind == 'service' else customers
            if name not in known:
                self._series.pop(key)


def minute_of(now: Instant) -> int:
    """The number of the minute in which ``now`` lies."""
    return int(now // SECONDS_PER_MINUTE)
