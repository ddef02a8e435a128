"""Reports that upstreams send with their answers."""

from typing import Final, final

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


@final
class StatedLimit:
    """What one answer says about the request rate that its upstream accepts.

    The rate is the total over all instances.
    """

    __slots__ = ('_calls_per_second', '_unreadable_text')

    def __init__(
        self,
        calls_per_second: float | None,
        unreadable_text: str | None = None,
    ) -> None:
        """Creates a statement; see the factory functions of this module."""
        self._calls_per_second = calls_per_second
        self._unreadable_text = unreadable_text

    @property
    def calls_per_second(self) -> float | None:
        """The accepted requests per second; None without a limit."""
        return self._calls_per_second

    @property
    def unreadable_text(self) -> str | None:
        """The text of a statement that is not a limit, else None.

        Such a statement says neither that there is a limit nor that there is
        none.
        """
        return self._unreadable_text


#: The statement of an answer without a limit.
NO_LIMIT: Final = StatedLimit(None)


def new_stated_limit(calls_per_second: float) -> StatedLimit:
    """Creates the statement of a limit in requests per second."""
    return StatedLimit(calls_per_second)


def new_unreadable_limit(text: str) -> StatedLimit:
    """Creates a statement that cannot be read as a limit."""
    return StatedLimit(None, text)


@final
class AvailabilityNotice:
    """What one answer says about further requests to its upstream."""

    __slots__ = ('_is_leaving', '_pause_seconds', '_unreadable_text')

    def __init__(
        self,
        *,
        is_leaving: bool = False,
        pause_seconds: float = 0,
        unreadable_text: str | None = None,
    ) -> None:
        """Creates a notice; by default it says nothing."""
        self._is_leaving = is_leaving
        self._pause_seconds = pause_seconds
        self._unreadable_text = unreadable_text

    @property
    def is_leaving(self) -> bool:
        """Whether the upstream ends soon and wants no new requests."""
        return self._is_leaving

    @property
    def pause_seconds(self) -> float:
        """For how long this instance must send nothing; zero for no pause."""
        return self._pause_seconds

    @property
    def unreadable_text(self) -> str | None:
        """The text of a pause that is not a number of seconds, else None."""
        return self._unreadable_text


#: The notice of an answer that says nothing about further requests.
NO_NOTICE: Final = AvailabilityNotice()
