"""Services and the servers that run their requests."""

import enum
from collections.abc import Iterable
from typing import final


@final
class UpstreamState(enum.Enum):
    """Whether an upstream takes new work."""

    ACTIVE = 'active'
    LEAVING = 'leaving'


@final
class Upstream:
    """One server of a service."""

    __slots__ = ('_address', '_identity', '_name', '_slots', '_state', '_zone')

    def __init__(
        self,
        name: str,
        address: str,
        zone: str,
        slots: int,
        state: UpstreamState = UpstreamState.ACTIVE,
        identity: str | None = None,
    ) -> None:
        """Creates an upstream that listens on ``address`` (``ip:port``).

        ``identity`` is what the server calls itself, when that differs from
        the name.
        """
        self._name = name
        self._identity = identity or name
        self._address = address
        self._zone = zone
        self._slots = slots
        self._state = state

    @property
    def name(self) -> str:
        """The name, unique within the document."""
        return self._name

    @property
    def address(self) -> str:
        """The ``ip:port`` that the upstream listens on."""
        return self._address

    @property
    def identity(self) -> str:
        """What the server calls itself; others may get its address later."""
        return self._identity

    @property
    def zone(self) -> str:
        """The name of its availability zone."""
        return self._zone

    @property
    def slots(self) -> int:
        """How many requests it runs at once."""
        return self._slots

    @property
    def is_leaving(self) -> bool:
        """Whether the operators are taking it out."""
        return self._state is UpstreamState.LEAVING


@final
class ColdStart:
    """How much the upstreams of a service bear after their start."""

    __slots__ = ('_calls_a_second', '_seconds')

    def __init__(self, seconds: float, calls_a_second: float) -> None:
        """Creates the bounds of upstreams that are cold for ``seconds``."""
        self._seconds = seconds
        self._calls_a_second = calls_a_second

    @property
    def seconds(self) -> float:
        """How long an upstream is cold after its start."""
        return self._seconds

    @property
    def calls_a_second(self) -> float:
        """What a cold upstream bears from all instances together."""
        return self._calls_a_second


@final
class Service:
    """A group of upstreams that run the same requests."""

    __slots__ = (
        '_cold_start',
        '_health_path',
        '_name',
        '_policy',
        '_upstreams',
    )

    def __init__(
        self,
        name: str,
        upstreams: Iterable[Upstream],
        policy: str,
        cold_start: ColdStart | None = None,
        health_path: str = '',
    ) -> None:
        """Creates a service whose upstreams are chosen by ``policy``."""
        self._cold_start = cold_start
        self._health_path = health_path
        self._name = name
        self._upstreams = tuple(upstreams)
        self._policy = policy

    @property
    def name(self) -> str:
        """The name, unique within the document."""
        return self._name

    @property
    def upstreams(self) -> tuple[Upstream, ...]:
        """Every upstream, in the order of the document."""
        return self._upstreams

    @property
    def cold_start(self) -> ColdStart | None:
        """What cold upstreams bear, when the operators say so."""
        return self._cold_start

    @property
    def health_path(self) -> str:
        """Where upstreams answer for their health; empty for nowhere."""
        return self._health_path

    @property
    def policy(self) -> str:
        """The name of the policy that chooses among the upstreams."""
        return self._policy
