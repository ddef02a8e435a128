"""Messages that exchange the slow start states of upstreams."""

from collections.abc import Iterable
from typing import Final, TypeAlias, final

from chervilstep.fields import require_length, require_range, require_type
from chervilstep.hooks import MESSAGES
from chervilstep.messages import Message

#: The greatest epoch, number of slots, ejections or seconds of a state.
MAX_COUNT: Final = 10**9
#: The arguments of ``SlowStartState`` in the order of its ``__init__``.
StateValues: TypeAlias = tuple[str, int, int, float, int]


@final
class SlowStartState:
    """The slow start of one upstream as it is sent to other instances."""

    __slots__ = (
        '_closed_seconds',
        '_ejections',
        '_epoch',
        '_open_slots',
        '_upstream',
    )

    def __init__(
        self,
        upstream: str,
        epoch: int,
        open_slots: int,
        closed_seconds: float,
        ejections: int,
    ) -> None:
        """Creates a state that closes the upstream for ``closed_seconds``.

        Raises:
            PeerError: A value has another type, or is out of range.
        """
        self._upstream = require_type(upstream, str)
        self._epoch = require_range(require_type(epoch, int), MAX_COUNT)
        self._open_slots = require_range(
            require_type(open_slots, int), MAX_COUNT
        )
        self._closed_seconds = require_range(closed_seconds, MAX_COUNT)
        self._ejections = require_range(require_type(ejections, int), MAX_COUNT)

    @property
    def upstream(self) -> str:
        """The name of the upstream."""
        return self._upstream

    @property
    def epoch(self) -> int:
        """The number of times that the upstream was found cold."""
        return self._epoch

    @property
    def open_slots(self) -> int:
        """The number of open slots; ``WARM_SLOTS`` stands for all."""
        return self._open_slots

    @property
    def closed_seconds(self) -> float:
        """The seconds for which no more requests are sent to the upstream."""
        return self._closed_seconds

    @property
    def ejections(self) -> int:
        """The number of consecutive ejections."""
        return self._ejections

    @property
    def values(self) -> StateValues:
        """The values in the order of ``__init__``."""
        return (
            self._upstream,
            self._epoch,
            self._open_slots,
            self._closed_seconds,
            self._ejections,
        )


@final
@MESSAGES.register('warmth-ask')
class SlowStartQuery(Message):
    """Asks a peer for the slow start of the upstreams of a service."""

    __slots__ = ('_service',)

    kind = 'warmth-ask'
    fields = ('service',)

    def __init__(self, service: str) -> None:
        """Creates a query for the upstreams of ``service``."""
        self._service = require_type(service, str)

    @property
    def service(self) -> str:
        """The name of the service."""
        return self._service


@final
@MESSAGES.register('warmth-news')
class SlowStartUpdate(Message):
    """Carries the slow start states that the sender has."""

    __slots__ = ('_states',)

    kind = 'warmth-news'
    fields = ('entries',)

    def __init__(self, entries: Iterable[StateValues]) -> None:
        """Creates an update; each entry has the values of one state."""
        self._states = tuple(
            SlowStartState(*entry) for entry in require_length(tuple(entries))
        )

    @property
    def entries(self) -> tuple[StateValues, ...]:
        """The values of one state for each upstream."""
        return tuple(state.values for state in self._states)

    @property
    def states(self) -> tuple[SlowStartState, ...]:
        """One state for each upstream."""
        return self._states


def new_update(states: Iterable[SlowStartState]) -> SlowStartUpdate:
    """Creates the message that carries ``states``."""
    return SlowStartUpdate(state.values for state in states)
