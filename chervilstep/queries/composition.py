"""Composes the accepted sections to the snapshot that is in force.

Owners edit their sections apart, so sections may contradict each other or be
halfway through a change that spans two of them. The result depends on the
sections alone, not on the order in which they came, and fails closed: a name
with two different definitions belongs to neither section.
"""

import collections
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import TypeAlias, TypeVar, final

from chervilstep.content import SectionContent
from chervilstep.hooks import POLICIES
from chervilstep.queries.kinds import DEFAULT_POLICY
from chervilstep.queries.tables import suggestion
from chervilstep.services import Service, Upstream
from chervilstep.snapshot import Customer, Route, Snapshot, ZoneState

Definition = TypeVar('Definition')
#: The definitions of one kind in each section, by section and name.
Definitions: TypeAlias = Sequence[tuple[str, Mapping[str, Definition]]]


@final
class Composition:
    """A snapshot, and what was left out of it."""

    __slots__ = ('_conflicts', '_snapshot')

    def __init__(self, snapshot: Snapshot, conflicts: Iterable[str]) -> None:
        """Creates a composition."""
        self._snapshot = snapshot
        self._conflicts = tuple(conflicts)

    @property
    def snapshot(self) -> Snapshot:
        """What the sections say together."""
        return self._snapshot

    @property
    def conflicts(self) -> tuple[str, ...]:
        """What was left out or closed, a sentence each for operators."""
        return self._conflicts


def compose(contents: Mapping[str, SectionContent]) -> Composition:
    """Composes the ``contents`` of all accepted sections by their names."""
    conflicts: list[str] = []
    sections = sorted(contents.items())
    zones = _unite(
        'zone',
        [(name, content.zones) for name, content in sections],
        _zone_identity,
        conflicts,
    )
    services = _unite(
        'service',
        [(name, content.services) for name, content in sections],
        _service_identity,
        conflicts,
    )
    customers = _unite(
        'customer',
        [(name, content.customers) for name, content in sections],
        _customer_identity,
        conflicts,
    )
    routes = _unite_routes(
        [(name, content.routes) for name, content in sections], conflicts
    )
    conflicts.extend(_missing_references(routes, services, customers))
    conflicts.extend(_missing_zones(services.values(), zones))
    conflicts.extend(_unknown_policies(services.values()))
    snapshot = Snapshot(
        zones,
        _without_shared_upstreams(
            [*services.values(), *_placeholders(services, routes)], conflicts
        ),
        routes,
        _without_shared_digests(list(customers.values()), conflicts),
    )
    return Composition(snapshot, sorted(set(conflicts)))


def _unite(
    kind: str,
    definitions: Definitions[Definition],
    identity: Callable[[Definition], object],
    conflicts: list[str],
) -> dict[str, Definition]:
    """Unites definitions; equal ones in two sections count as one.

    Equal definitions let a name move to another section without a gap: it is
    added there first and then taken out of the old section.
    """
    united: dict[str, Definition] = {}
    others: dict[str, list[Definition]] = {}
    for _, named in definitions:
        for name, definition in named.items():
            if united.setdefault(name, definition) is not definition:
                others.setdefault(name, []).append(definition)
    for repeated, found in others.items():
        if len({identity(united[repeated]), *map(identity, found)}) > 1:
            united.pop(repeated)
            conflicts.append(
                f'{kind} {repeated!r} is out of force: sections'
                f' {_definers(definitions, repeated)} define it differently'
            )
    return united


def _definers(definitions: Definitions[Definition], name: str) -> str:
    return ', '.join(section for section, named in definitions if name in named)


def _unite_routes(
    definitions: Definitions[Route], conflicts: list[str]
) -> list[Route]:
    """Unites routes; the paths of contradicted ones are closed.

    Leaving such a path out would let its requests fall through to a route
    with a shorter prefix, which may be open to all.
    """
    united = _unite('route', definitions, _route_identity, conflicts)
    return [
        _sole_route(path, claims, united, conflicts)
        for path, claims in _claims_by_path(definitions).items()
    ]


def _claims_by_path(
    definitions: Definitions[Route],
) -> dict[str, dict[str, Route]]:
    by_path: dict[str, dict[str, Route]] = {}
    for _, named in definitions:
        for route in named.values():
            by_path.setdefault(route.path, {})[route.name] = route
    return by_path


def _sole_route(
    path: str,
    claims: Mapping[str, Route],
    united: Mapping[str, Route],
    conflicts: list[str],
) -> Route:
    names = sorted(claims)
    first = claims[names[0]]
    if len(names) > 1:
        joined = ', '.join(names)
        conflicts.append(
            f'path {path!r} is closed: the routes {joined} claim it'
        )
        return _closed(first)
    return united.get(first.name) or _closed(first)


def _closed(route: Route) -> Route:
    return Route(
        route.name,
        route.path,
        route.service,
        methods=route.methods,
        idempotent=(),
        customers=(),
        is_open=False,
        priority=route.priority,
        timeout_seconds=route.timeout_seconds,
    )


def _missing_references(
    routes: Iterable[Route],
    services: Mapping[str, Service],
    customers: Mapping[str, Customer],
) -> Iterator[str]:
    for route in routes:
        if route.service not in services:
            yield f'route {route.name!r}: service {route.service!r} is missing'
        for customer in route.customers:
            if customer not in customers:
                yield f'route {route.name!r}: customer {customer!r} is missing'


def _missing_zones(
    services: Iterable[Service], zones: Mapping[str, ZoneState]
) -> Iterator[str]:
    for service in services:
        for upstream in service.upstreams:
            if upstream.zone not in zones:
                yield (
                    f'upstream {upstream.name!r}: zone {upstream.zone!r}'
                    ' is missing'
                )


def _unknown_policies(services: Iterable[Service]) -> Iterator[str]:
    for service in services:
        if service.policy not in POLICIES:
            hint = suggestion(service.policy, POLICIES.names)
            yield (
                f'service {service.name!r}: unknown policy {service.policy!r}'
                f'{hint}; {DEFAULT_POLICY!r} is used'
            )


def _placeholders(
    services: Mapping[str, Service], routes: Iterable[Route]
) -> list[Service]:
    """Returns a service without upstreams for each missing one."""
    missing = {route.service for route in routes} - set(services)
    return [Service(name, (), DEFAULT_POLICY) for name in sorted(missing)]


def _without_shared_upstreams(
    services: list[Service], conflicts: list[str]
) -> list[Service]:
    shared = _repeated(
        upstream.name for service in services for upstream in service.upstreams
    )
    for name in shared:
        users = ', '.join(
            service.name
            for service in services
            if any(upstream.name == name for upstream in service.upstreams)
        )
        conflicts.append(
            f'upstream {name!r} is out of force: services {users} define it'
        )
    return [_sound_service(service, shared) for service in services]


def _sound_service(service: Service, shared: set[str]) -> Service:
    is_known = service.policy in POLICIES
    if is_known and shared.isdisjoint(map(_name_of, service.upstreams)):
        return service
    kept = [item for item in service.upstreams if item.name not in shared]
    policy = service.policy if is_known else DEFAULT_POLICY
    return Service(service.name, kept, policy)


def _without_shared_digests(
    customers: list[Customer], conflicts: list[str]
) -> list[Customer]:
    shared = _repeated(
        digest for customer in customers for digest in customer.digests
    )
    for claimed in shared:
        users = ', '.join(
            customer.name
            for customer in customers
            if claimed in customer.digests
        )
        conflicts.append(f'a key of the customers {users} is out of force')
    return [_sound_customer(customer, shared) for customer in customers]


def _sound_customer(customer: Customer, shared: set[str]) -> Customer:
    if shared.isdisjoint(customer.digests):
        return customer
    kept = customer.digests - shared
    return Customer(customer.name, customer.rate, customer.burst, kept)


def _repeated(names: Iterable[str]) -> set[str]:
    counts = collections.Counter(names)
    return {name for name, count in counts.items() if count > 1}


def _name_of(upstream: Upstream) -> str:
    return upstream.name


def _zone_identity(zone: ZoneState) -> ZoneState:
    return zone


def _upstream_identity(upstream: Upstream) -> tuple[object, ...]:
    return (
        upstream.name,
        upstream.address,
        upstream.zone,
        upstream.slots,
        upstream.is_leaving,
    )


def _service_identity(service: Service) -> tuple[object, ...]:
    return service.policy, tuple(map(_upstream_identity, service.upstreams))


def _customer_identity(customer: Customer) -> tuple[object, ...]:
    return customer.rate, customer.burst, customer.digests


def _route_identity(route: Route) -> tuple[object, ...]:
    idempotent = tuple(sorted(filter(route.is_idempotent, route.methods)))
    access = (route.is_open, route.customers)
    limits = (route.priority, route.timeout_seconds)
    methods = (route.methods, idempotent)
    return route.path, route.service, access, limits, methods
