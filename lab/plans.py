"""The deployments of the lab: their example documents and sizes."""

import pathlib
from collections.abc import Callable, Mapping
from typing import Final, TypeAlias, final

from chervilstep.queries.composition import compose
from chervilstep.queries.document import parse_section
from chervilstep.registry import Registry, new_registry
from chervilstep.snapshot import Snapshot

EXAMPLES_DIR: Final = pathlib.Path(__file__).parent.parent / 'examples'


@final
class Plan:
    """The document, size and upstream properties of one deployment."""

    __slots__ = (
        '_connection_limit',
        '_instances',
        '_name',
        '_probe_seconds',
        '_snapshot',
        '_section_texts',
    )

    def __init__(
        self,
        name: str,
        section_texts: Mapping[str, str],
        *,
        instances: int,
        connection_limit: int,
        probe_seconds: float = 0,
    ) -> None:
        """Creates a plan; ``section_texts`` are section texts by name."""
        self._name = name
        self._section_texts = dict(section_texts)
        contents = {
            name: parse_section(text) for name, text in section_texts.items()
        }
        self._snapshot = compose(contents).snapshot
        self._instances = instances
        self._connection_limit = connection_limit
        self._probe_seconds = probe_seconds

    @property
    def name(self) -> str:
        """The short name of the deployment."""
        return self._name

    @property
    def section_texts(self) -> Mapping[str, str]:
        """The section texts of the example document by name."""
        return self._section_texts

    @property
    def snapshot(self) -> Snapshot:
        """The configuration of the example document."""
        return self._snapshot

    @property
    def zones(self) -> tuple[str, ...]:
        """The names of the availability zones."""
        return tuple(self._snapshot.zones)

    @property
    def instances(self) -> int:
        """The number of entry instances."""
        return self._instances

    @property
    def connection_limit(self) -> int:
        """The number of connections that one upstream accepts."""
        return self._connection_limit

    @property
    def probe_seconds(self) -> float:
        """The seconds for which a load report occupies an upstream's slot."""
        return self._probe_seconds

    @property
    def slots_per_upstream(self) -> int:
        """The slots of one upstream; all upstreams have the same number."""
        service = next(iter(self._snapshot.services.values()))
        return service.upstreams[0].slots

    @property
    def slots(self) -> int:
        """The total slots of all upstreams."""
        return sum(
            upstream.slots
            for service in self._snapshot.services.values()
            for upstream in service.upstreams
        )


PlanFactory: TypeAlias = Callable[[], Plan]
PLANS: Final[Registry[PlanFactory]] = new_registry('deployment')


@PLANS.register('nz')
def new_nz_plan() -> Plan:
    """Creates the plan of the Aotearoa Concrete Assurance Trust."""
    return Plan(
        'nz', _read_section_texts('nz'), instances=16, connection_limit=200
    )


@PLANS.register('sk')
def new_sk_plan() -> Plan:
    """Creates the plan of the Družstvo Protipožiarna Kontrola Dverí Trnava."""
    return Plan(
        'sk',
        _read_section_texts('sk'),
        instances=17,
        connection_limit=250,
        probe_seconds=0.006,
    )


def _read_section_texts(name: str) -> dict[str, str]:
    return {
        path.stem: path.read_text()
        for path in sorted((EXAMPLES_DIR / name).glob('*.toml'))
    }
