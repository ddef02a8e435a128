"""Services and their upstreams."""

import enum
from collections.abc import Iterable
from typing import final


@final
class UpstreamState(enum.Enum):
    """Whether an upstream accepts new requests."""

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

        ``identity`` is the identity that the server reports, if it differs
        from the name.
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
        """The identity that the server reports.

        An answer with another identity shows that the address now belongs to
        another server.
        """
        return self._identity

    @property
    def zone(self) -> str:
        """The name of the upstream's availability zone."""
        return self._zone

    @property
    def slots(self) -> int:
        """The number of requests that the upstream runs concurrently."""
        return self._slots

    @property
    def is_leaving(self) -> bool:
        """Whether the operators are removing the upstream."""
        return self._state is UpstreamState.LEAVING


@final
class ColdStart:
    """The limit on calls to upstreams of a service after their start."""

    __slots__ = ('_calls_per_second', '_seconds')

    def __init__(self, seconds: float, calls_per_second: float) -> None:
        """Creates the limit for upstreams that are cold for ``seconds``."""
        self._seconds = seconds
        self._calls_per_second = calls_per_second

    @property
    def seconds(self) -> float:
        """How long an upstream is cold after its start."""
        return self._seconds

    @property
    def calls_per_second(self) -> float:
        """The calls per second to a cold upstream from all instances."""
        return self._calls_per_second


@final
class Service:
    """A group of upstreams that handle the same requests."""

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
        """Creates a service that selects upstreams by ``policy``."""
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
        """All upstreams, in the order of the document."""
        return self._upstreams

    @property
    def cold_start(self) -> ColdStart | None:
        """The limit on calls to cold upstreams; None without a limit."""
        return self._cold_start

    @property
    def health_path(self) -> str:
        """The URL path of health checks; empty if there are none."""
        return self._health_path

    @property
    def policy(self) -> str:
        """The name of the policy that selects an upstream."""
        return self._policy
