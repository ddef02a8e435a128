"""The message by which instances share the results of probes."""

from typing import final

from chervilstep.hooks import MESSAGES
from chervilstep.messages import Message


@final
@MESSAGES.register('probe-result')
class ProbeResult(Message):
    """Says what an upstream answered to a probe of the sender."""

    __slots__ = ('_in_flight', '_upstream')

    kind = 'probe-result'
    fields = ('upstream', 'in_flight')

    def __init__(self, upstream: str, in_flight: int) -> None:
        """Creates the result of a probe that was answered just now."""
        self._upstream = upstream
        self._in_flight = in_flight

    @property
    def upstream(self) -> str:
        """The name of the upstream."""
        return self._upstream

    @property
    def in_flight(self) -> int:
        """Requests of all instances, as the upstream counts them."""
        return self._in_flight
