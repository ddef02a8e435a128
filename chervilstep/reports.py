"""Load reports that upstreams send with their answers."""

from typing import final

from chervilstep.types import Instant


@final
class LoadReport:
    """The load of an upstream at one instant, as the upstream reports it."""

    __slots__ = ('_measured_at', '_running', '_slots', '_slowdown', '_waiting')

    def __init__(
        self,
        running: int,
        waiting: int,
        slots: int,
        slowdown: float,
        measured_at: Instant,
    ) -> None:
        """Creates a report of the load at ``measured_at``."""
        self._running = running
        self._waiting = waiting
        self._slots = slots
        self._slowdown = slowdown
        self._measured_at = measured_at

    @property
    def running(self) -> int:
        """The number of requests that run, from all instances."""
        return self._running

    @property
    def waiting(self) -> int:
        """The number of requests that wait, from all instances."""
        return self._waiting

    @property
    def slots(self) -> int:
        """The number of requests that the upstream runs concurrently."""
        return self._slots

    @property
    def slowdown(self) -> float:
        """The factor by which requests currently take longer than usual."""
        return self._slowdown

    @property
    def measured_at(self) -> Instant:
        """When the load was measured."""
        return self._measured_at
