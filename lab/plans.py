"""The deployments of the brief: their example documents and sizes."""

import pathlib
from collections.abc import Callable, Mapping
from typing import Final, TypeAlias, final

from chervilstep.queries.composition import compose
from chervilstep.queries.document import parse_section
from chervilstep.registry import Registry, new_registry
from chervilstep.snapshot import Snapshot

EXAMPLES: Final = pathlib.Path(__file__).parent.parent / 'examples'


@final
class Plan:
    """One deployment: its document and what its machines are like."""

    __slots__ = (
        '_connection_limit',
        '_instances',
        '_name',
        '_probe_seconds',
        '_snapshot',
        '_texts',
    )

    def __init__(
        self,
        name: str,
        texts: Mapping[str, str],
        *,
        instances: int,
        connection_limit: int,
        probe_seconds: float = 0,
    ) -> None:
        """Creates a plan from the texts of the sections by their names."""
        self._name = name
        self._texts = dict(texts)
        contents = {name: parse_section(text) for name, text in texts.items()}
        self._snapshot = compose(contents).snapshot
        self._instances = instances
        self._connection_limit = connection_limit
        self._probe_seconds = probe_seconds

    @property
    def name(self) -> str:
        """The short name of the deployment."""
        return self._name

    @property
    def texts(self) -> Mapping[str, str]:
        """The sections of the example document by name."""
        return self._texts

    @property
    def snapshot(self) -> Snapshot:
        """What the example document says."""
        return self._snapshot

    @property
    def zones(self) -> tuple[str, ...]:
        """The availability zones."""
        return tuple(self._snapshot.zones)

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
    def slots_of_each(self) -> int:
        """The slots of one upstream, which are equal everywhere."""
        service = next(iter(self._snapshot.services.values()))
        return service.upstreams[0].slots

    @property
    def slots(self) -> int:
        """The slots of all upstreams together."""
        return sum(
            upstream.slots
            for service in self._snapshot.services.values()
            for upstream in service.upstreams
        )


PlanFactory: TypeAlias = Callable[[], Plan]
PLANS: Final[Registry[PlanFactory]] = new_registry('deployment')


@PLANS.register('nz')
def new_nz_plan() -> Plan:
    """The Aotearoa Concrete Assurance Trust."""
    return Plan('nz', _texts('nz'), instances=16, connection_limit=200)


@PLANS.register('sk')
def new_sk_plan() -> Plan:
    """The Družstvo Protipožiarna Kontrola Dverí Trnava."""
    return Plan(
        'sk',
        _texts('sk'),
        instances=17,
        connection_limit=250,
        probe_seconds=0.006,
    )


def _texts(name: str) -> dict[str, str]:
    return {
        path.stem: path.read_text()
        for path in sorted((EXAMPLES / name).glob('*.toml'))
    }
