"""Counters of everything that happens, kept without I/O."""

from collections import Counter
from collections.abc import Iterator
from typing import TypeAlias, final

#: A counter's name and its labels in alphabetical order.
CounterKey: TypeAlias = tuple[str, tuple[tuple[str, str], ...]]


@final
class Counters:
    """Counts events by name and labels; adapters export the totals.

    Labels take their values from the configuration and from the constants
    of the code, never from requests, so that their number stays bounded.
    """

    __slots__ = ('_totals',)

    def __init__(self) -> None:
        """Starts with no counts."""
        self._totals: Counter[CounterKey] = Counter()

    def __iter__(self) -> Iterator[tuple[CounterKey, int]]:
        """Walks over the counts."""
        return iter(self._totals.items())

    def total(self, name: str, **labels: str) -> int:
        """The count of ``name`` with exactly these labels."""
        return self._totals[(name, tuple(sorted(labels.items())))]

    def total_of(self, name: str) -> int:
        """The sum of ``name`` over all labels."""
        return sum(
            count for key, count in self._totals.items() if key[0] == name
        )

    def add(self, name: str, amount: int = 1, **labels: str) -> None:
        """Adds ``amount`` to the counter ``name`` with these labels."""
        self._totals[(name, tuple(sorted(labels.items())))] += amount
