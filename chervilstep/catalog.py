"""What the platform's store says of routes, zones and upstreams."""

from collections.abc import Iterable, Mapping
from typing import final

from chervilstep.services import ColdStart, Upstream
from chervilstep.snapshot import Customer, Route


@final
class ServiceTerms:
    """What the operators say of a service, without its upstreams."""

    __slots__ = ('_cold_start', '_health_path', '_name')

    def __init__(
        self, name: str, health_path: str, cold_start: ColdStart | None
    ) -> None:
        """Creates the terms of the service ``name``."""
        self._name = name
        self._health_path = health_path
        self._cold_start = cold_start

    @property
    def name(self) -> str:
        """The name of the service."""
        return self._name

    @property
    def health_path(self) -> str:
        """Where its upstreams answer for their health."""
        return self._health_path

    @property
    def cold_start(self) -> ColdStart | None:
        """What its cold upstreams bear."""
        return self._cold_start


@final
class ClientLimits:
    """What callers may send, and how long they may take."""

    __slots__ = ('_body_bytes', '_head_bytes', '_head_seconds', '_idle_seconds')

    def __init__(
        self,
        head_bytes: int,
        body_bytes: int,
        head_seconds: float,
        idle_seconds: float,
    ) -> None:
        """Creates the limits of heads, bodies and idle connections."""
        self._head_bytes = head_bytes
        self._body_bytes = body_bytes
        self._head_seconds = head_seconds
        self._idle_seconds = idle_seconds

    @property
    def head_bytes(self) -> int:
        """The largest head of a request."""
        return self._head_bytes

    @property
    def body_bytes(self) -> int:
        """The largest body of a request."""
        return self._body_bytes

    @property
    def head_seconds(self) -> float:
        """How long a head may take to arrive."""
        return self._head_seconds

    @property
    def idle_seconds(self) -> float:
        """How long a connection may stay idle."""
        return self._idle_seconds


@final
class Terms:
    """One version of the operators' configuration."""

    __slots__ = ('_customers', '_limits', '_routes', '_services', '_version')

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[ServiceTerms],
        customers: Iterable[Customer],
        limits: ClientLimits,
    ) -> None:
        """Creates the configuration of a version; versions only grow."""
        self._version = version
        self._routes = tuple(routes)
        self._services = tuple(services)
        self._customers = tuple(customers)
        self._limits = limits

    @property
    def version(self) -> int:
        """The operators' number; a higher one replaces a lower one."""
        return self._version

    @property
    def routes(self) -> tuple[Route, ...]:
        """The routes of all hosts."""
        return self._routes

    @property
    def services(self) -> tuple[ServiceTerms, ...]:
        """The services, without their upstreams."""
        return self._services

    @property
    def customers(self) -> tuple[Customer, ...]:
        """The customers with their keys and rates."""
        return self._customers

    @property
    def limits(self) -> ClientLimits:
        """What callers may send."""
        return self._limits


@final
class Listing:
    """An upstream as it lists itself."""

    __slots__ = ('_cold_seconds', '_service', '_upstream')

    def __init__(
        self, service: str, upstream: Upstream, cold_seconds: float
    ) -> None:
        """Creates the entry of an upstream of ``service``."""
        self._service = service
        self._upstream = upstream
        self._cold_seconds = cold_seconds

    @property
    def service(self) -> str:
        """The name of its service."""
        return self._service

    @property
    def upstream(self) -> Upstream:
        """The upstream."""
        return self._upstream

    @property
    def cold_seconds(self) -> float:
        """How long it stayed cold after it wrote the entry."""
        return self._cold_seconds


@final
class Catalog:
    """The newest configuration, the withdrawn zones and the upstreams."""

    __slots__ = ('_listings', '_terms', '_withdrawn')

    def __init__(self) -> None:
        """Starts empty."""
        self._terms: Terms | None = None
        self._withdrawn: frozenset[str] = frozenset()
        self._listings: dict[str, Listing] = {}

    @property
    def terms(self) -> Terms | None:
        """The newest configuration, or None before the first."""
        return self._terms

    @property
    def withdrawn(self) -> frozenset[str]:
        """The availability zones that get nothing."""
        return self._withdrawn

    @property
    def listings(self) -> Mapping[str, Listing]:
        """The upstreams by the key of their entry."""
        return self._listings

    def agree(self, terms: Terms) -> None:
        """Takes in a newer configuration."""
        self._terms = terms

    def withdraw(self, zone: str) -> None:
        """Sends nothing to a zone."""
        self._withdrawn |= {zone}

    def restore(self, zone: str) -> None:
        """Sends to a zone again."""
        self._withdrawn -= {zone}

    def enlist(self, key: str, listing: Listing) -> None:
        """Replaces the entry of an upstream."""
        self._listings[key] = listing

    def strike(self, key: str) -> None:
        """Removes the entry of an upstream."""
        self._listings.pop(key, None)
