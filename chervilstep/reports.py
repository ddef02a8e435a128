"""What upstreams tell of their load with their answers."""

from typing import final

from chervilstep.types import Instant


@final
class LoadReport:
    """The load of an upstream at one instant, as it says itself."""

    __slots__ = ('_at', '_running', '_slots', '_slowdown', '_waiting')

    def __init__(
        self,
        running: int,
        waiting: int,
        slots: int,
        slowdown: float,
        at: Instant,
    ) -> None:
        """Creates a report that was true at the instant ``at``."""
        self._running = running
        self._waiting = waiting
        self._slots = slots
        self._slowdown = slowdown
        self._at = at

    @property
    def running(self) -> int:
        """Requests of all instances that the upstream runs."""
        return self._running

    @property
    def waiting(self) -> int:
        """Requests of all instances that wait there."""
        return self._waiting

    @property
    def slots(self) -> int:
        """How many requests it runs at once."""
        return self._slots

    @property
    def slowdown(self) -> float:
        """How many times as long as usual work takes there."""
        return self._slowdown

    @property
    def at(self) -> Instant:
        """When the report was true."""
        return self._at
