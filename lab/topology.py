"""The endpoints of all processes of one deployment."""

from typing import Final, final

from lab.plans import Plan

#: The number of processes that host the upstreams of all services.
HOST_COUNT: Final = 4


@final
class EntryEndpoint:
    """The name, zone and ports of one entry instance."""

    __slots__ = ('_admin_port', '_name', '_peer_port', '_port', '_zone')

    def __init__(
        self, name: str, zone: str, port: int, peer_port: int, admin_port: int
    ) -> None:
        """Creates the endpoints of an instance."""
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
        """The availability zone."""
        return self._zone

    @property
    def address(self) -> str:
        """The address for callers."""
        return f'127.0.0.1:{self._port}'

    @property
    def peer_address(self) -> str:
        """The address for other instances."""
        return f'127.0.0.1:{self._peer_port}'

    @property
    def admin_address(self) -> str:
        """The address for operators."""
        return f'127.0.0.1:{self._admin_port}'

    def with_name(self, name: str) -> 'EntryEndpoint':
        """Returns the same endpoints with another instance name."""
        return EntryEndpoint(
            name, self._zone, self._port, self._peer_port, self._admin_port
        )


@final
class UpstreamEndpoint:
    """The name, zone and port of one upstream."""

    __slots__ = ('_host', '_name', '_port', '_service', '_zone')

    def __init__(
        self, name: str, service: str, zone: str, host: str, port: int
    ) -> None:
        """Creates the endpoint of an upstream in the process ``host``."""
        self._name = name
        self._service = service
        self._zone = zone
        self._host = host
        self._port = port

    @property
    def name(self) -> str:
        """The name of the upstream in the operators' document."""
        return self._name

    @property
    def service(self) -> str:
        """The name of the service of the upstream."""
        return self._service

    @property
    def zone(self) -> str:
        """The availability zone."""
        return self._zone

    @property
    def host(self) -> str:
        """The name of the process that hosts the upstream."""
        return self._host

    @property
    def port(self) -> int:
        """The port on which the upstream listens."""
        return self._port


@final
class Topology:
    """The plan of a deployment with the endpoints of all processes."""

    __slots__ = (
        '_control_ports',
        '_entries',
        '_plan',
        '_platform_ports',
        '_upstreams',
    )

    def __init__(
        self,
        plan: Plan,
        entries: tuple[EntryEndpoint, ...],
        upstreams: tuple[UpstreamEndpoint, ...],
        platform_ports: tuple[int, int],
        control_ports: dict[str, int],
    ) -> None:
        """Creates a topology; ``control_ports`` are ports by host.

        ``platform_ports`` are the store port and the control port of the
        platform stand-in.
        """
        self._plan = plan
        self._entries = entries
        self._upstreams = upstreams
        self._platform_ports = platform_ports
        self._control_ports = dict(control_ports)

    @property
    def plan(self) -> Plan:
        """The plan of the deployment."""
        return self._plan

    @property
    def entries(self) -> tuple[EntryEndpoint, ...]:
        """The entry instances."""
        return self._entries

    @property
    def upstreams(self) -> tuple[UpstreamEndpoint, ...]:
        """The upstreams of all services."""
        return self._upstreams

    @property
    def platform_port(self) -> int:
        """The port of the store that the platform stand-in serves."""
        return self._platform_ports[0]

    @property
    def platform_control_address(self) -> str:
        """The control address of the platform stand-in."""
        return f'127.0.0.1:{self._platform_ports[1]}'

    @property
    def control_ports(self) -> dict[str, int]:
        """The control port of each process that hosts upstreams."""
        return self._control_ports

    def upstreams_on_host(self, host: str) -> tuple[UpstreamEndpoint, ...]:
        """Returns the upstreams that one process hosts."""
        return tuple(
            upstream for upstream in self._upstreams if upstream.host == host
        )

    def service_upstreams(self, service: str) -> tuple[UpstreamEndpoint, ...]:
        """Returns the upstreams of one service."""
        return tuple(
            upstream
            for upstream in self._upstreams
            if upstream.service == service
        )


def new_topology(plan: Plan, instances: int, ports: list[int]) -> Topology:
    """Assigns ports to all processes, and zones to instances in rotation."""
    free_ports = iter(ports)
    zones = plan.zones
    entries = tuple(
        EntryEndpoint(
            f'entry-{index + 1}',
            zones[index % len(zones)],
            next(free_ports),
            next(free_ports),
            next(free_ports),
        )
        for index in range(instances)
    )
    services = plan.snapshot.services
    upstreams = tuple(
        UpstreamEndpoint(
            upstream.name,
            service.name,
            upstream.zone,
            f'upstreams-{index % HOST_COUNT}',
            next(free_ports),
        )
        for index, service in enumerate(services.values())
        for upstream in service.upstreams
    )
    control_ports = {
        f'upstreams-{index}': next(free_ports) for index in range(HOST_COUNT)
    }
    platform_ports = (next(free_ports), next(free_ports))
    return Topology(plan, entries, upstreams, platform_ports, control_ports)


def port_count(plan: Plan, instances: int) -> int:
    """Returns the number of ports that a topology needs."""
    services = plan.snapshot.services
    upstreams = sum(len(service.upstreams) for service in services.values())
    return 3 * instances + upstreams + HOST_COUNT + 2
