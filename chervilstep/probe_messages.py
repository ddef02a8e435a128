"""The message that shares the result of a probe with other instances."""

from typing import final

from chervilstep.hooks import MESSAGES
from chervilstep.messages import Message


@final
@MESSAGES.register('probe-result')
class ProbeResult(Message):
    """The load that an upstream reported to a probe of the sender."""

    __slots__ = ('_in_flight', '_upstream')

    kind = 'probe-result'
    fields = ('upstream', 'in_flight')

    def __init__(self, upstream: str, in_flight: int) -> None:
        """Creates the result of a probe, which is sent without delay."""
        self._upstream = upstream
        self._in_flight = in_flight

    @property
    def upstream(self) -> str:
        """The name of the upstream."""
        return self._upstream

    @property
    def in_flight(self) -> int:
        """Requests in flight from all instances, by the upstream's count."""
        return self._in_flight
