"""The message that shares the result of a probe with other instances."""

from typing import Final, final

from chervilstep.fields import require_range, require_type
from chervilstep.hooks import MESSAGES
from chervilstep.messages import Message

#: The greatest number of requests in flight that a peer may report.
MAX_IN_FLIGHT: Final = 10**9


@final
@MESSAGES.register('probe-result')
class ProbeResult(Message):
    """The load that an upstream reported to a probe of the sender."""

    __slots__ = ('_in_flight', '_upstream')

    kind = 'probe-result'
    fields = ('upstream', 'in_flight')

    def __init__(self, upstream: str, in_flight: int) -> None:
        """Creates the result of a probe, which is sent without delay.

        Raises:
            PeerError: A value has another type, or is out of range.
        """
        self._upstream = require_type(upstream, str)
        self._in_flight = require_range(
            require_type(in_flight, int), MAX_IN_FLIGHT
        )

    @property
    def upstream(self) -> str:
        """The name of the upstream."""
        return self._upstream

    @property
    def in_flight(self) -> int:
        """Requests in flight from all instances, by the upstream's count."""
        return self._in_flight
