"""The configuration in force, as immutable values that the queries read."""

import copy
import enum
from collections.abc import Iterable, Mapping
from typing import Final, final

from chervilstep.services import Service


@final
class ZoneState(enum.Enum):
    """Whether an availability zone takes new work."""

    IN_SERVICE = 'in-service'
    WITHDRAWN = 'withdrawn'


@final
class Priority(enum.IntEnum):
    """The order in which waiting requests are served; lower goes first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


#: Attempts of one request, the first one included, unless its route differs.
MAX_ATTEMPTS: Final = 3


@final
class RouteTerms:
    """What only some deployments say of a route."""

    __slots__ = ('_host', '_max_attempts', '_objective_seconds')

    def __init__(
        self,
        host: str = '',
        max_attempts: int = MAX_ATTEMPTS,
        objective_seconds: float | None = None,
    ) -> None:
        """Creates terms; an empty ``host`` stands for any."""
        self._host = host
        self._max_attempts = max_attempts
        self._objective_seconds = objective_seconds

    @property
    def host(self) -> str:
        """The host that requests name."""
        return self._host

    @property
    def max_attempts(self) -> int:
        """To how many upstreams one request may be sent."""
        return self._max_attempts

    @property
    def objective_seconds(self) -> float | None:
        """The latency that the operators aim at, if they named one."""
        return self._objective_seconds


NO_TERMS: Final = RouteTerms()


@final
class Route:
    """A path prefix, the service behind it, and who may use it."""

    __slots__ = (
        '_customers',
        '_idempotent',
        '_is_open',
        '_methods',
        '_name',
        '_parts',
        '_path',
        '_priority',
        '_service',
        '_terms',
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
        self._terms = NO_TERMS
        self._parts: tuple[tuple[float, Route], ...] = ()
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
    def host(self) -> str:
        """The host that requests name; empty for any."""
        return self._terms.host

    @property
    def max_attempts(self) -> int:
        """To how many upstreams one request may be sent."""
        return self._terms.max_attempts

    @property
    def objective_seconds(self) -> float | None:
        """The latency that the operators aim at, if they named one."""
        return self._terms.objective_seconds

    @property
    def parts(self) -> 'tuple[tuple[float, Route], ...]':
        """The weights and the routes among which requests are split."""
        return self._parts

    @property
    def timeout_seconds(self) -> float:
        """How long a request may take when its caller names no deadline."""
        return self._timeout_seconds

    def under(self, terms: 'RouteTerms') -> 'Route':
        """The same route under other terms."""
        changed = copy.copy(self)
        changed._terms = terms
        return changed

    def split(self, parts: 'Iterable[tuple[float, Route]]') -> 'Route':
        """A route that splits its requests among ``parts`` by weight."""
        changed = copy.copy(self)
        changed._parts = tuple(parts)
        return changed

    def is_idempotent(self, method: str) -> bool:
        """Whether a request with ``method`` may run more than once."""
        return method in self._idempotent


@final
class Customer:
    """Someone whose keys, rate and burst the document lists."""

    __slots__ = ('_burst', '_digests', '_name', '_priority', '_rate')

    def __init__(
        self,
        name: str,
        rate: float,
        burst: float,
        digests: Iterable[str],
        priority: Priority | None = None,
    ) -> None:
        """Creates a customer of ``rate`` requests a second and a burst.

        A rate of zero is no limit.
        """
        self._priority = priority
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
    def priority(self) -> Priority | None:
        """The class of its requests, when it goes before that of routes."""
        return self._priority

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
        '_version',
        '_zones',
    )

    def __init__(
        self,
        zones: Mapping[str, ZoneState],
        services: Iterable[Service],
        routes: Iterable[Route],
        customers: Iterable[Customer],
        version: int | None = None,
    ) -> None:
        """Indexes the parts; the longest route prefix comes first."""
        self._version = version
        self._zones = dict(zones)
        self._services = {service.name: service for service in services}
        self._routes = tuple(
            sorted(routes, key=lambda route: (-len(route.path), route.name))
        )
        self._by_path = {
            (route.host, route.path): route for route in self._routes
        }
        self._customers = {customer.name: customer for customer in customers}
        self._by_digest = {
            digest: customer
            for customer in self._customers.values()
            for digest in customer.digests
        }

    @property
    def version(self) -> int | None:
        """The operators' number, for a configuration that has one."""
        return self._version

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

    def revised(
        self, zones: Mapping[str, ZoneState], services: Iterable[Service]
    ) -> 'Snapshot':
        """A snapshot with the same routes and customers."""
        revised = copy.copy(self)
        revised._zones = dict(zones)
        revised._services = {service.name: service for service in services}
        return revised

    def is_withdrawn(self, zone: str) -> bool:
        """Whether ``zone`` takes no new work; an unknown zone takes none."""
        return self._zones.get(zone) is not ZoneState.IN_SERVICE

    def route_by_path(self, prefix: str, host: str = '') -> Route | None:
        """The route of a host whose path is exactly ``prefix``."""
        return self._by_path.get((host, prefix))

    def customer_by_digest(self, digest: str) -> Customer | None:
        """The customer that holds the key of this digest."""
        return self._by_digest.get(digest)


def new_empty_snapshot() -> Snapshot:
    """Creates the snapshot of an instance without a configuration."""
    return Snapshot({}, (), (), ())
