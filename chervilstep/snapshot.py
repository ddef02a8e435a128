"""The configuration in force, as immutable values that the queries read."""

import enum
from collections.abc import Iterable, Mapping
from typing import final


@final
class ZoneState(enum.Enum):
    """Whether an availability zone takes new work."""

    IN_SERVICE = 'in-service'
    WITHDRAWN = 'withdrawn'


@final
class UpstreamState(enum.Enum):
    """Whether an upstream takes new work."""

    ACTIVE = 'active'
    LEAVING = 'leaving'


@final
class Priority(enum.IntEnum):
    """The order in which waiting requests are served; lower goes first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


@final
class Upstream:
    """One server of a service."""

    __slots__ = ('_address', '_name', '_slots', '_state', '_zone')

    def __init__(
        self,
        name: str,
        address: str,
        zone: str,
        slots: int,
        state: UpstreamState = UpstreamState.ACTIVE,
    ) -> None:
        """Creates an upstream that listens on ``address`` (``ip:port``)."""
        self._name = name
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
class Service:
    """A group of upstreams that run the same requests."""

    __slots__ = ('_name', '_policy', '_upstreams')

    def __init__(
        self,
        name: str,
        upstreams: Iterable[Upstream],
        policy: str,
    ) -> None:
        """Creates a service whose upstreams are chosen by ``policy``."""
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
    def policy(self) -> str:
        """The name of the policy that chooses among the upstreams."""
        return self._policy


@final
class Route:
    """A path prefix, the service behind it, and who may use it."""

    __slots__ = (
        '_customers',
        '_idempotent',
        '_is_open',
        '_methods',
        '_name',
        '_path',
        '_priority',
        '_service',
        '_timeout_seconds',
    )

    def __init__(
        self,
        name: str,
        path: str,
        service: str,
        *,
        methods: Iterable[str],
        idempotent: Iterable[str],
        customers: Iterable[str],
        is_open: bool,
        priority: Priority,
        timeout_seconds: float,
    ) -> None:
        """Creates a route; ``idempotent`` names methods safe to resend."""
        self._name = name
        self._path = path
        self._service = service
        self._methods = frozenset(methods)
        self._idempotent = frozenset(idempotent)
        self._customers = frozenset(customers)
        self._is_open = is_open
        self._priority = priority
        self._timeout_seconds = timeout_seconds

    @property
    def name(self) -> str:
        """The name, unique within the document."""
        return self._name

    @property
    def path(self) -> str:
        """The path prefix, which starts and ends with a slash."""
        return self._path

    @property
    def service(self) -> str:
        """The name of the service that runs the requests."""
        return self._service

    @property
    def methods(self) -> frozenset[str]:
        """The HTTP methods that the route takes."""
        return self._methods

    @property
    def customers(self) -> frozenset[str]:
        """The names of the customers that may use a route with keys."""
        return self._customers

    @property
    def is_open(self) -> bool:
        """Whether requests need no key."""
        return self._is_open

    @property
    def priority(self) -> Priority:
        """The place of its requests in the queue."""
        return self._priority

    @property
    def timeout_seconds(self) -> float:
        """How long a request may take when its caller names no deadline."""
        return self._timeout_seconds

    def is_idempotent(self, method: str) -> bool:
        """Whether a request with ``method`` may run more than once."""
        return method in self._idempotent


@final
class Customer:
    """Someone whose keys, rate and burst the document lists."""

    __slots__ = ('_burst', '_digests', '_name', '_rate')

    def __init__(
        self,
        name: str,
        rate: float,
        burst: float,
        digests: Iterable[str],
    ) -> None:
        """Creates a customer of ``rate`` requests a second and a burst."""
        self._name = name
        self._rate = rate
        self._burst = burst
        self._digests = frozenset(digests)

    @property
    def name(self) -> str:
        """The name, unique within the document."""
        return self._name

    @property
    def rate(self) -> float:
        """Requests a second over all instances together."""
        return self._rate

    @property
    def burst(self) -> float:
        """Requests at once over all instances together."""
        return self._burst

    @property
    def digests(self) -> frozenset[str]:
        """SHA-256 digests of the keys, in lower-case hexadecimal."""
        return self._digests


@final
class Snapshot:
    """The whole configuration in force at one instant.

    Names that are defined in conflict, or refer to nothing, are left out by
    whoever builds the snapshot, so that reading it fails closed.
    """

    __slots__ = (
        '_by_digest',
        '_by_path',
        '_customers',
        '_routes',
        '_services',
        '_zones',
    )

    def __init__(
        self,
        zones: Mapping[str, ZoneState],
        services: Iterable[Service],
        routes: Iterable[Route],
        customers: Iterable[Customer],
    ) -> None:
        """Indexes the parts; the longest route prefix comes first."""
        self._zones = dict(zones)
        self._services = {service.name: service for service in services}
        self._routes = tuple(
            sorted(routes, key=lambda route: (-len(route.path), route.name))
        )
        self._by_path = {route.path: route for route in self._routes}
        self._customers = {customer.name: customer for customer in customers}
        self._by_digest = {
            digest: customer
            for customer in self._customers.values()
            for digest in customer.digests
        }

    @property
    def zones(self) -> Mapping[str, ZoneState]:
        """The state of each availability zone by its name."""
        return self._zones

    @property
    def services(self) -> Mapping[str, Service]:
        """The services by name."""
        return self._services

    @property
    def routes(self) -> tuple[Route, ...]:
        """The routes, the longest prefix first."""
        return self._routes

    @property
    def customers(self) -> Mapping[str, Customer]:
        """The customers by name."""
        return self._customers

    def is_withdrawn(self, zone: str) -> bool:
        """Whether ``zone`` takes no new work; an unknown zone takes none."""
        return self._zones.get(zone) is not ZoneState.IN_SERVICE

    def route_by_path(self, prefix: str) -> Route | None:
        """The route whose path is exactly ``prefix``."""
        return self._by_path.get(prefix)

    def customer_by_digest(self, digest: str) -> Customer | None:
        """The customer that holds the key of this digest."""
        return self._by_digest.get(digest)


def new_empty_snapshot() -> Snapshot:
    """Creates the snapshot of an instance without a configuration."""
    return Snapshot({}, (), (), ())
