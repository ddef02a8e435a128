"""The configuration in force, as immutable values."""

import copy
import enum
from collections.abc import Iterable, Mapping
from typing import Final, final

from chervilstep.services import Service


@final
class ZoneState(enum.Enum):
    """Whether an availability zone gets new requests."""

    IN_SERVICE = 'in-service'
    WITHDRAWN = 'withdrawn'


@final
class Priority(enum.IntEnum):
    """The priority of requests in the queue; lower values go first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


#: Attempts per request, including the first, unless the route sets a limit.
DEFAULT_MAX_ATTEMPTS: Final = 3


@final
class RouteOptions:
    """Settings of a route that only some deployments use."""

    __slots__ = ('_host', '_max_attempts', '_objective_seconds')

    def __init__(
        self,
        host: str = '',
        max_attempts: int = DEFAULT_MAX_ATTEMPTS,
        objective_seconds: float | None = None,
    ) -> None:
        """Creates options; an empty ``host`` matches any host."""
        self._host = host
        self._max_attempts = max_attempts
        self._objective_seconds = objective_seconds

    @property
    def host(self) -> str:
        """The host that the route matches; empty for any."""
        return self._host

    @property
    def max_attempts(self) -> int:
        """The maximum number of attempts per request."""
        return self._max_attempts

    @property
    def objective_seconds(self) -> float | None:
        """The latency objective of the route, if it has one."""
        return self._objective_seconds


DEFAULT_ROUTE_OPTIONS: Final = RouteOptions()


@final
class Route:
    """A path prefix with its service and its access rules."""

    __slots__ = (
        '_customers',
        '_idempotent',
        '_is_open',
        '_methods',
        '_name',
        '_options',
        '_path',
        '_priority',
        '_service',
        '_timeout_seconds',
        '_weighted_routes',
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
        """Creates a route; ``idempotent`` lists methods safe to resend."""
        self._options = DEFAULT_ROUTE_OPTIONS
        self._weighted_routes: tuple[tuple[float, Route], ...] = ()
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
        """The name of the service that handles the requests."""
        return self._service

    @property
    def methods(self) -> frozenset[str]:
        """The HTTP methods that the route accepts."""
        return self._methods

    @property
    def customers(self) -> frozenset[str]:
        """The names of the customers that may use the route."""
        return self._customers

    @property
    def is_open(self) -> bool:
        """Whether requests are accepted without a key."""
        return self._is_open

    @property
    def priority(self) -> Priority:
        """The priority of its requests in the queue."""
        return self._priority

    @property
    def host(self) -> str:
        """The host that the route matches; empty for any."""
        return self._options.host

    @property
    def max_attempts(self) -> int:
        """The maximum number of attempts per request."""
        return self._options.max_attempts

    @property
    def objective_seconds(self) -> float | None:
        """The latency objective of the route, if it has one."""
        return self._options.objective_seconds

    @property
    def weighted_routes(self) -> 'tuple[tuple[float, Route], ...]':
        """Pairs of a weight and a route, when requests are split."""
        return self._weighted_routes

    @property
    def timeout_seconds(self) -> float:
        """The timeout of a request whose caller sets no deadline."""
        return self._timeout_seconds

    def with_options(self, options: 'RouteOptions') -> 'Route':
        """Returns a copy of the route with other options."""
        changed = copy.copy(self)
        changed._options = options
        return changed

    def with_weighted_routes(
        self, weighted_routes: 'Iterable[tuple[float, Route]]'
    ) -> 'Route':
        """Returns a copy that splits its requests by weight."""
        changed = copy.copy(self)
        changed._weighted_routes = tuple(weighted_routes)
        return changed

    def is_idempotent(self, method: str) -> bool:
        """Whether a request with ``method`` may run more than once."""
        return method in self._idempotent


@final
class Customer:
    """A customer with its keys, rate and burst."""

    __slots__ = ('_burst', '_digests', '_name', '_priority', '_rate')

    def __init__(
        self,
        name: str,
        rate: float,
        burst: float,
        digests: Iterable[str],
        priority: Priority | None = None,
    ) -> None:
        """Creates a customer that may send ``rate`` requests per second.

        A rate of zero means no limit.
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
        """The requests per second, over all instances together."""
        return self._rate

    @property
    def burst(self) -> float:
        """The size of a burst of requests, over all instances together."""
        return self._burst

    @property
    def priority(self) -> Priority | None:
        """The priority that overrides that of routes, or None."""
        return self._priority

    @property
    def digests(self) -> frozenset[str]:
        """SHA-256 digests of the keys, in lower-case hexadecimal."""
        return self._digests


@final
class Snapshot:
    """The whole configuration that is in force at one time.

    The code that builds the snapshot leaves out names with conflicting
    definitions and dangling references, so that look-ups fail closed.
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
        """Creates a snapshot and indexes its routes and keys."""
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
        """The operators' version, if the configuration has one."""
        return self._version

    @property
    def zones(self) -> Mapping[str, ZoneState]:
        """The states of availability zones by name."""
        return self._zones

    @property
    def services(self) -> Mapping[str, Service]:
        """The services by name."""
        return self._services

    @property
    def routes(self) -> tuple[Route, ...]:
        """The routes, longest prefix first."""
        return self._routes

    @property
    def customers(self) -> Mapping[str, Customer]:
        """The customers by name."""
        return self._customers

    def with_zones_and_services(
        self, zones: Mapping[str, ZoneState], services: Iterable[Service]
    ) -> 'Snapshot':
        """Returns a copy with other zones and services."""
        changed = copy.copy(self)
        changed._zones = dict(zones)
        changed._services = {service.name: service for service in services}
        return changed

    def is_withdrawn(self, zone: str) -> bool:
        """Whether ``zone`` is withdrawn or unknown."""
        return self._zones.get(zone) is not ZoneState.IN_SERVICE

    def route_by_path(self, prefix: str, host: str = '') -> Route | None:
        """Returns the route of a host whose path is exactly ``prefix``."""
        return self._by_path.get((host, prefix))

    def customer_by_digest(self, digest: str) -> Customer | None:
        """Returns the customer whose key has this digest, or None."""
        return self._by_digest.get(digest)


def new_empty_snapshot() -> Snapshot:
    """Returns the snapshot of an instance without a configuration."""
    return Snapshot({}, (), (), ())
