"""Counters for metrics; an adapter exports them."""

from collections import Counter
from collections.abc import Iterator
from typing import TypeAlias, final

#: The name of a counter and its labels in alphabetical order.
CounterKey: TypeAlias = tuple[str, tuple[tuple[str, str], ...]]


@final
class Counters:
    """Totals of events by name and labels.

    Label values come from the configuration and from constants of the code,
    never from requests, so that the number of time series stays bounded.
    """

    __slots__ = ('_totals',)

    def __init__(self) -> None:
        """Creates an empty set of counters."""
        self._totals: Counter[CounterKey] = Counter()

    def __iter__(self) -> Iterator[tuple[CounterKey, int]]:
        """Iterates over the counters and their totals."""
        return iter(self._totals.items())

    def total(self, name: str, **labels: str) -> int:
        """Returns the total of ``name`` with exactly these labels."""
        return self._totals[(name, tuple(sorted(labels.items())))]

    def total_over_labels(self, name: str) -> int:
        """Returns the sum of ``name`` over all of its labels."""
        return sum(
            count for key, count in self._totals.items() if key[0] == name
        )

    def add(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increases the counter ``name`` with these labels by ``amount``."""
        self._totals[(name, tuple(sorted(labels.items())))] += amount
