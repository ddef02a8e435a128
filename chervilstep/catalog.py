"""Routes, zones and upstreams as read from the platform's store."""

from collections.abc import Iterable, Mapping
from typing import final

from chervilstep.services import ColdStart, Upstream
from chervilstep.snapshot import Customer, Route


@final
class ServiceConfig:
    """The configuration of a service, without its upstreams."""

    __slots__ = ('_cold_start', '_health_path', '_name')

    def __init__(
        self, name: str, health_path: str, cold_start: ColdStart | None
    ) -> None:
        """Creates the configuration of the service ``name``."""
        self._name = name
        self._health_path = health_path
        self._cold_start = cold_start

    @property
    def name(self) -> str:
        """The name of the service."""
        return self._name

    @property
    def health_path(self) -> str:
        """The URL path of health checks; empty if there are none."""
        return self._health_path

    @property
    def cold_start(self) -> ColdStart | None:
        """The limit on calls to cold upstreams; None without a limit."""
        return self._cold_start


@final
class ClientLimits:
    """The limits of requests and connections of callers."""

    __slots__ = ('_body_bytes', '_head_bytes', '_head_seconds', '_idle_seconds')

    def __init__(
        self,
        head_bytes: int,
        body_bytes: int,
        head_seconds: float,
        idle_seconds: float,
    ) -> None:
        """Creates limits of request heads, bodies and idle connections."""
        self._head_bytes = head_bytes
        self._body_bytes = body_bytes
        self._head_seconds = head_seconds
        self._idle_seconds = idle_seconds

    @property
    def head_bytes(self) -> int:
        """The maximum size of a request head."""
        return self._head_bytes

    @property
    def body_bytes(self) -> int:
        """The maximum size of a request body."""
        return self._body_bytes

    @property
    def head_seconds(self) -> float:
        """The timeout for reading a request head."""
        return self._head_seconds

    @property
    def idle_seconds(self) -> float:
        """The timeout of an idle connection."""
        return self._idle_seconds


@final
class PlatformConfig:
    """One version of the operators' configuration in the store."""

    __slots__ = ('_customers', '_limits', '_routes', '_services', '_version')

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[ServiceConfig],
        customers: Iterable[Customer],
        limits: ClientLimits,
    ) -> None:
        """Creates a configuration; versions only increase."""
        self._version = version
        self._routes = tuple(routes)
        self._services = tuple(services)
        self._customers = tuple(customers)
        self._limits = limits

    @property
    def version(self) -> int:
        """The operators' version; a higher one replaces a lower one."""
        return self._version

    @property
    def routes(self) -> tuple[Route, ...]:
        """The routes of every host."""
        return self._routes

    @property
    def services(self) -> tuple[ServiceConfig, ...]:
        """The services, without their upstreams."""
        return self._services

    @property
    def customers(self) -> tuple[Customer, ...]:
        """The customers with their keys and rates."""
        return self._customers

    @property
    def limits(self) -> ClientLimits:
        """The limits of requests and connections of callers."""
        return self._limits


@final
class UpstreamEntry:
    """The entry that an upstream writes about itself to the store."""

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
        """The name of the upstream's service."""
        return self._service

    @property
    def upstream(self) -> Upstream:
        """The upstream."""
        return self._upstream

    @property
    def cold_seconds(self) -> float:
        """How long the upstream is cold, from the time of the entry."""
        return self._cold_seconds


@final
class Catalog:
    """The newest configuration, withdrawn zones and upstream entries."""

    __slots__ = ('_config', '_upstream_entries', '_withdrawn_zones')

    def __init__(self) -> None:
        """Creates an empty catalog."""
        self._config: PlatformConfig | None = None
        self._withdrawn_zones: frozenset[str] = frozenset()
        self._upstream_entries: dict[str, UpstreamEntry] = {}

    @property
    def config(self) -> PlatformConfig | None:
        """The newest configuration, or None before the first one."""
        return self._config

    @property
    def withdrawn_zones(self) -> frozenset[str]:
        """The availability zones whose upstreams get no requests."""
        return self._withdrawn_zones

    @property
    def upstream_entries(self) -> Mapping[str, UpstreamEntry]:
        """The entries of upstreams by their keys in the store."""
        return self._upstream_entries

    def replace_config(self, config: PlatformConfig) -> None:
        """Replaces the configuration by a newer version."""
        self._config = config

    def withdraw_zone(self, zone: str) -> None:
        """Marks a zone as withdrawn."""
        self._withdrawn_zones |= {zone}

    def restore_zone(self, zone: str) -> None:
        """Marks a zone as in service again."""
        self._withdrawn_zones -= {zone}

    def set_upstream_entry(self, key: str, entry: UpstreamEntry) -> None:
        """Adds or replaces the entry of an upstream."""
        self._upstream_entries[key] = entry

    def remove_upstream_entry(self, key: str) -> None:
        """Removes the entry of an upstream, if there is one."""
        self._upstream_entries.pop(key, None)
