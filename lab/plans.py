"""The deployments of the brief, at its sizes."""

from collections.abc import Callable, Mapping
from typing import Final, TypeAlias, final

from chervilstep.registry import Registry, new_registry


@final
class ServicePlan:
    """One service: how many servers, and the route in front of it."""

    __slots__ = ('_idempotent', '_name', '_priority', '_servers')

    def __init__(
        self,
        name: str,
        servers: int,
        *,
        priority: str = 'normal',
        idempotent: tuple[str, ...] = ('GET',),
    ) -> None:
        """Creates a service whose route has the path ``/name/``."""
        self._name = name
        self._servers = servers
        self._priority = priority
        self._idempotent = idempotent

    @property
    def name(self) -> str:
        """The name of the service and of its route."""
        return self._name

    @property
    def servers(self) -> int:
        """How many upstreams it has."""
        return self._servers

    @property
    def priority(self) -> str:
        """The priority of its route."""
        return self._priority

    @property
    def idempotent(self) -> tuple[str, ...]:
        """The methods that may be sent again."""
        return self._idempotent


@final
class Plan:
    """One deployment: zones, services, customers and sizes."""

    __slots__ = (
        '_connection_limit',
        '_customers',
        '_instances',
        '_name',
        '_probe_seconds',
        '_services',
        '_slots',
        '_zones',
    )

    def __init__(
        self,
        name: str,
        zones: tuple[str, ...],
        services: tuple[ServicePlan, ...],
        customers: Mapping[str, float],
        *,
        instances: int,
        connection_limit: int,
        probe_seconds: float = 0,
        slots: int = 3,
    ) -> None:
        """Creates a plan; ``customers`` gives each one's share of the load."""
        self._name = name
        self._zones = zones
        self._services = services
        self._customers = dict(customers)
        self._instances = instances
        self._connection_limit = connection_limit
        self._probe_seconds = probe_seconds
        self._slots = slots

    @property
    def name(self) -> str:
        """The short name of the deployment."""
        return self._name

    @property
    def zones(self) -> tuple[str, ...]:
        """The availability zones."""
        return self._zones

    @property
    def services(self) -> tuple[ServicePlan, ...]:
        """The services."""
        return self._services

    @property
    def customers(self) -> Mapping[str, float]:
        """Each customer's share of the load."""
        return self._customers

    @property
    def instances(self) -> int:
        """How many entry instances it runs."""
        return self._instances

    @property
    def connection_limit(self) -> int:
        """How many connections an upstream takes."""
        return self._connection_limit

    @property
    def probe_seconds(self) -> float:
        """How long a load report holds a slot of an upstream."""
        return self._probe_seconds

    @property
    def slots(self) -> int:
        """How many requests an upstream runs at once."""
        return self._slots

    @property
    def total_slots(self) -> int:
        """The slots of all upstreams together."""
        return self._slots * sum(plan.servers for plan in self._services)


PlanFactory: TypeAlias = Callable[[], Plan]
PLANS: Final[Registry[PlanFactory]] = new_registry('deployment')


@PLANS.register('nz')
def new_nz_plan() -> Plan:
    """The Aotearoa Concrete Assurance Trust."""
    return Plan(
        'nz',
        ('akl', 'ham', 'tga', 'wlg'),
        (
            ServicePlan('results', 10),
            ServicePlan('intake', 8, idempotent=()),
            ServicePlan('curing', 10, priority='bulk'),
            ServicePlan('strike', 8, priority='urgent'),
        ),
        {
            'fletcher': 0.3,
            'naylor': 0.25,
            'hamilton-city': 0.15,
            'kauri-build': 0.1,
            'tauranga-port': 0.08,
            'wharf-eng': 0.06,
            'totara': 0.04,
            'rimu': 0.02,
        },
        instances=16,
        connection_limit=200,
    )


@PLANS.register('sk')
def new_sk_plan() -> Plan:
    """The Družstvo Protipožiarna Kontrola Dverí Trnava."""
    return Plan(
        'sk',
        ('tt-a', 'tt-b', 'ba-a', 'nr-a'),
        (
            ServicePlan('certstav', 14, priority='urgent'),
            ServicePlan('nalezy', 8, idempotent=()),
            ServicePlan('archiv', 14, priority='bulk'),
            ServicePlan('harky', 8),
        ),
        {
            'hasici': 0.28,
            'poistovna-a': 0.25,
            'poistovna-b': 0.17,
            'inspekcia-tt': 0.1,
            'inspekcia-ba': 0.08,
            'inspekcia-nr': 0.06,
            'urad': 0.04,
            'mesto': 0.02,
        },
        instances=17,
        connection_limit=250,
        probe_seconds=0.006,
    )
