"""Where everything of one deployment listens, and who may call at what rate."""

from typing import Final, final

from lab.plans import Plan

#: The processes over which the services' upstreams are spread.
HOSTS: Final = 4


@final
class EntryPlace:
    """The name, zone and ports of one entry instance."""

    __slots__ = ('_admin_port', '_name', '_peer_port', '_port', '_zone')

    def __init__(
        self, name: str, zone: str, port: int, peer_port: int, admin_port: int
    ) -> None:
        """Creates the place of an instance."""
        self._name = name
        self._zone = zone
        self._port = port
        self._peer_port = peer_port
        self._admin_port = admin_port

    @property
    def name(self) -> str:
        """The name of the instance."""
        return self._name

    @property
    def zone(self) -> str:
        """Its availability zone."""
        return self._zone

    @property
    def address(self) -> str:
        """Where callers connect to."""
        return f'127.0.0.1:{self._port}'

    @property
    def peer_address(self) -> str:
        """Where other instances connect to."""
        return f'127.0.0.1:{self._peer_port}'

    @property
    def admin_address(self) -> str:
        """Where operators connect to."""
        return f'127.0.0.1:{self._admin_port}'

    def renamed(self, name: str) -> 'EntryPlace':
        """The same place under the name of a replacement."""
        return EntryPlace(
            name, self._zone, self._port, self._peer_port, self._admin_port
        )


@final
class UpstreamPlace:
    """The name, zone and port of one upstream."""

    __slots__ = ('_host', '_name', '_port', '_service', '_zone')

    def __init__(
        self, name: str, service: str, zone: str, host: str, port: int
    ) -> None:
        """Creates the place of an upstream in the process ``host``."""
        self._name = name
        self._service = service
        self._zone = zone
        self._host = host
        self._port = port

    @property
    def name(self) -> str:
        """The name in the operators' document."""
        return self._name

    @property
    def service(self) -> str:
        """The service that it belongs to."""
        return self._service

    @property
    def zone(self) -> str:
        """Its availability zone."""
        return self._zone

    @property
    def host(self) -> str:
        """The process that it shares with others."""
        return self._host

    @property
    def port(self) -> int:
        """Where it listens."""
        return self._port


@final
class Topology:
    """One deployment with all its ports."""

    __slots__ = ('_controls', '_entries', '_plan', '_platform', '_upstreams')

    def __init__(
        self,
        plan: Plan,
        entries: tuple[EntryPlace, ...],
        upstreams: tuple[UpstreamPlace, ...],
        platform: tuple[int, int],
        controls: dict[str, int],
    ) -> None:
        """Creates a topology; ``controls`` are ports by host."""
        self._plan = plan
        self._entries = entries
        self._upstreams = upstreams
        self._platform = platform
        self._controls = dict(controls)

    @property
    def plan(self) -> Plan:
        """What is deployed."""
        return self._plan

    @property
    def entries(self) -> tuple[EntryPlace, ...]:
        """The entry instances."""
        return self._entries

    @property
    def upstreams(self) -> tuple[UpstreamPlace, ...]:
        """The upstreams of all services."""
        return self._upstreams

    @property
    def platform_port(self) -> int:
        """Where the platform stand-in serves."""
        return self._platform[0]

    @property
    def platform_control(self) -> str:
        """Where the platform stand-in is controlled."""
        return f'127.0.0.1:{self._platform[1]}'

    @property
    def control_ports(self) -> dict[str, int]:
        """The control port of each process that hosts upstreams."""
        return self._controls

    def hosted_by(self, host: str) -> tuple[UpstreamPlace, ...]:
        """The upstreams that share one process."""
        return tuple(place for place in self._upstreams if place.host == host)

    def upstreams_of(self, service: str) -> tuple[UpstreamPlace, ...]:
        """The upstreams of one service."""
        return tuple(
            place for place in self._upstreams if place.service == service
        )


def new_topology(plan: Plan, instances: int, ports: list[int]) -> Topology:
    """Spreads entry instances over the zones in turn, on free ports."""
    left = iter(ports)
    zones = plan.zones
    entries = tuple(
        EntryPlace(
            f'entry-{index + 1}',
            zones[index % len(zones)],
            next(left),
            next(left),
            next(left),
        )
        for index in range(instances)
    )
    services = plan.snapshot.services
    upstreams = tuple(
        UpstreamPlace(
            upstream.name,
            service.name,
            upstream.zone,
            f'upstreams-{index % HOSTS}',
            next(left),
        )
        for index, service in enumerate(services.values())
        for upstream in service.upstreams
    )
    controls = {f'upstreams-{index}': next(left) for index in range(HOSTS)}
    platform = (next(left), next(left))
    return Topology(plan, entries, upstreams, platform, controls)


def ports_needed(plan: Plan, instances: int) -> int:
    """How many ports a topology takes."""
    services = plan.snapshot.services
    upstreams = sum(len(service.upstreams) for service in services.values())
    return 3 * instances + upstreams + HOSTS + 2
