"""Per-minute counts of good and bad events for service-level objectives."""

from array import array
from collections.abc import Iterator
from typing import Final, TypeAlias, final

from chervilstep.types import Instant

SECONDS_PER_MINUTE: Final = 60
#: The longest window of the burn rate report (``queries.burnrate``).
RETENTION_MINUTES: Final = 360

#: The indicator, the kind of the subject (``service`` or ``customer``), and
#: the name of the subject.
SeriesKey: TypeAlias = tuple[str, str, str]


@final
class EventCounts:
    """The numbers of good and bad events in a period."""

    __slots__ = ('_bad', '_good')

    def __init__(self, good: int, bad: int) -> None:
        """Creates the counts of a period."""
        self._good = good
        self._bad = bad

    @property
    def good(self) -> int:
        """The number of events that met the objective."""
        return self._good

    @property
    def bad(self) -> int:
        """The number of events that missed the objective."""
        return self._bad


@final
class EventSeries:
    """A ring buffer of the good and bad events of the last minutes."""

    __slots__ = ('_bad', '_good', '_newest_minute')

    def __init__(self) -> None:
        """Creates a series without events."""
        self._good = array('I', bytes(RETENTION_MINUTES * array('I').itemsize))
        self._bad = array('I', bytes(RETENTION_MINUTES * array('I').itemsize))
        self._newest_minute = 0

    def counts(self, minutes: int, now: Instant) -> EventCounts:
        """Returns the counts of the last ``minutes``, up to the current one."""
        newest = minute_number(now)
        retained = range(
            max(newest - minutes, self._newest_minute - RETENTION_MINUTES) + 1,
            min(newest, self._newest_minute) + 1,
        )
        indices = [minute % RETENTION_MINUTES for minute in retained]
        return EventCounts(
            sum(self._good[index] for index in indices),
            sum(self._bad[index] for index in indices),
        )

    def add(self, now: Instant, *, is_good: bool) -> None:
        """Counts one event that occurred at ``now``."""
        minute = minute_number(now)
        self._advance(minute)
        counts = self._good if is_good else self._bad
        counts[minute % RETENTION_MINUTES] += 1

    def _advance(self, minute: int) -> None:
        for new_minute in range(
            max(self._newest_minute + 1, minute - RETENTION_MINUTES + 1),
            minute + 1,
        ):
            self._good[new_minute % RETENTION_MINUTES] = 0
            self._bad[new_minute % RETENTION_MINUTES] = 0
        self._newest_minute = max(self._newest_minute, minute)


@final
class SloTable:
    """The event series of each indicator and subject."""

    __slots__ = ('_series',)

    def __init__(self) -> None:
        """Creates an empty table."""
        self._series: dict[SeriesKey, EventSeries] = {}

    def __iter__(self) -> Iterator[tuple[SeriesKey, EventSeries]]:
        """Iterates over the series and their keys."""
        return iter(self._series.items())

    def add(self, key: SeriesKey, now: Instant, *, is_good: bool) -> None:
        """Counts one event, creating its series if it is missing."""
        series = self._series.get(key)
        if series is None:
            series = EventSeries()
            self._series[key] = series
        series.add(now, is_good=is_good)

    def retain(
        self, services: frozenset[str], customers: frozenset[str]
    ) -> None:
        """Discards the series of subjects that are no longer configured."""
        for key in tuple(self._series):
            _, kind, name = key
            configured = services if kind == 'service' else customers
            if name not in configured:
                self._series.pop(key)


def minute_number(now: Instant) -> int:
    """Returns the index of the minute that contains ``now``."""
    return int(now // SECONDS_PER_MINUTE)
