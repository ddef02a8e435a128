"""Sketches of how long answers take, by service."""

from collections.abc import Mapping
from typing import Final, final

from ddsketch import LogCollapsingLowestDenseDDSketch

#: The relative error of a quantile.
ACCURACY: Final = 0.02
#: Bounds the memory of one sketch.
MAX_BINS: Final = 512


@final
class Latencies:
    """One sketch for each service (DDSketch, Masson et al., VLDB 2019)."""

    __slots__ = ('_sketches',)

    def __init__(self) -> None:
        """Starts without a sketch."""
        self._sketches: dict[str, LogCollapsingLowestDenseDDSketch] = {}

    @property
    def services(self) -> tuple[str, ...]:
        """The services with at least one answer."""
        return tuple(self._sketches)

    def quantiles(self, service: str) -> Mapping[str, float]:
        """The median and the tail of a service, in seconds."""
        sketch = self._sketches[service]
        return {
            name: sketch.get_quantile_value(rank)
            for name, rank in _QUANTILES.items()
        }

    def add(self, service: str, seconds: float) -> None:
        """Adds the time that one answer took."""
        sketch = self._sketches.get(service)
        if sketch is None:
            sketch = LogCollapsingLowestDenseDDSketch(ACCURACY, MAX_BINS)
            self._sketches[service] = sketch
        sketch.add(seconds)

    def keep(self, services: frozenset[str]) -> None:
        """Forgets the services that are not in ``services``."""
        for name in self.services:
            if name not in services:
                self._sketches.pop(name)


_QUANTILES: Final = {'p50': 0.5, 'p99': 0.99, 'p99.9': 0.999}
