"""Merges the accepted sections into one snapshot.

Sections are edited independently, so they may conflict, or a change that spans
two of them may be incomplete. The result depends only on the sections, not on
the order of their arrival, and fails closed: a name with two different
definitions is left out.
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
#: Pairs of a section and its definitions of one kind by name.
DefinitionsBySection: TypeAlias = Sequence[tuple[str, Mapping[str, Definition]]]


@final
class Composition:
    """A snapshot and the conflicts between its sections."""

    __slots__ = ('_conflicts', '_snapshot')

    def __init__(self, snapshot: Snapshot, conflicts: Iterable[str]) -> None:
        """Creates a composition."""
        self._snapshot = snapshot
        self._conflicts = tuple(conflicts)

    @property
    def snapshot(self) -> Snapshot:
        """The merged configuration."""
        return self._snapshot

    @property
    def conflicts(self) -> tuple[str, ...]:
        """Descriptions of what was left out or closed, for operators."""
        return self._conflicts


def compose(contents: Mapping[str, SectionContent]) -> Composition:
    """Merges the ``contents`` of all accepted sections, given by name."""
    conflicts: list[str] = []
    sections = sorted(contents.items())
    zones = _merge(
        'zone',
        [(name, content.zones) for name, content in sections],
        _zone_identity,
        conflicts,
    )
    services = _merge(
        'service',
        [(name, content.services) for name, content in sections],
        _service_identity,
        conflicts,
    )
    customers = _merge(
        'customer',
        [(name, content.customers) for name, content in sections],
        _customer_identity,
        conflicts,
    )
    routes = _merge_routes(
        [(name, content.routes) for name, content in sections], conflicts
    )
    conflicts.extend(_missing_references(routes, services, customers))
    conflicts.extend(_missing_zones(services.values(), zones))
    conflicts.extend(_unknown_policies(services.values()))
    snapshot = Snapshot(
        zones,
        _without_shared_upstreams(
            [*services.values(), *_placeholder_services(services, routes)],
            conflicts,
        ),
        routes,
        _without_shared_digests(list(customers.values()), conflicts),
    )
    return Composition(snapshot, sorted(set(conflicts)))


def _merge(
    kind: str,
    definitions: DefinitionsBySection[Definition],
    identity: Callable[[Definition], object],
    conflicts: list[str],
) -> dict[str, Definition]:
    """Merges definitions; equal ones in several sections count as one.

    This lets a definition move to another section without an interruption: it
    is first added to the new section and then removed from the old one.
    """
    merged: dict[str, Definition] = {}
    repeats: dict[str, list[Definition]] = {}
    for _, by_name in definitions:
        for name, definition in by_name.items():
            if merged.setdefault(name, definition) is not definition:
                repeats.setdefault(name, []).append(definition)
    for repeated, variants in repeats.items():
        if len({identity(merged[repeated]), *map(identity, variants)}) > 1:
            merged.pop(repeated)
            conflicts.append(
                f'{kind} {repeated!r} is not in force: sections'
                f' {_sections_of(definitions, repeated)} define it differently'
            )
    return merged


def _sections_of(
    definitions: DefinitionsBySection[Definition], name: str
) -> str:
    return ', '.join(
        section for section, by_name in definitions if name in by_name
    )


def _merge_routes(
    definitions: DefinitionsBySection[Route], conflicts: list[str]
) -> list[Route]:
    """Merges routes; a path with conflicting routes is closed.

    If such a path were left out, its requests would match a route with a
    shorter prefix, which may be open to all.
    """
    merged = _merge('route', definitions, _route_identity, conflicts)
    return [
        _resolve_path(path, routes_by_name, merged, conflicts)
        for path, routes_by_name in _routes_by_path(definitions).items()
    ]


def _routes_by_path(
    definitions: DefinitionsBySection[Route],
) -> dict[str, dict[str, Route]]:
    by_path: dict[str, dict[str, Route]] = {}
    for _, by_name in definitions:
        for route in by_name.values():
            by_path.setdefault(route.path, {})[route.name] = route
    return by_path


def _resolve_path(
    path: str,
    routes_by_name: Mapping[str, Route],
    merged: Mapping[str, Route],
    conflicts: list[str],
) -> Route:
    names = sorted(routes_by_name)
    first = routes_by_name[names[0]]
    if len(names) > 1:
        joined = ', '.join(names)
        conflicts.append(
            f'path {path!r} is closed: the routes {joined} all define it'
        )
        return _closed_route(first)
    return merged.get(first.name) or _closed_route(first)


def _closed_route(route: Route) -> Route:
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


def _placeholder_services(
    services: Mapping[str, Service], routes: Iterable[Route]
) -> list[Service]:
    """Returns a service without upstreams for each missing service."""
    missing = {route.service for route in routes} - set(services)
    return [Service(name, (), DEFAULT_POLICY) for name in sorted(missing)]


def _without_shared_upstreams(
    services: list[Service], conflicts: list[str]
) -> list[Service]:
    shared = _duplicates(
        upstream.name for service in services for upstream in service.upstreams
    )
    for name in shared:
        users = ', '.join(
            service.name
            for service in services
            if any(upstream.name == name for upstream in service.upstreams)
        )
        conflicts.append(
            f'upstream {name!r} is not in force: services {users} define it'
        )
    return [_valid_service(service, shared) for service in services]


def _valid_service(service: Service, shared: set[str]) -> Service:
    is_known = service.policy in POLICIES
    if is_known and shared.isdisjoint(map(_name_of, service.upstreams)):
        return service
    kept = [item for item in service.upstreams if item.name not in shared]
    policy = service.policy if is_known else DEFAULT_POLICY
    return Service(service.name, kept, policy)


def _without_shared_digests(
    customers: list[Customer], conflicts: list[str]
) -> list[Customer]:
    shared = _duplicates(
        digest for customer in customers for digest in customer.digests
    )
    for shared_digest in shared:
        users = ', '.join(
            customer.name
            for customer in customers
            if shared_digest in customer.digests
        )
        conflicts.append(f'a key of the customers {users} is not in force')
    return [_valid_customer(customer, shared) for customer in customers]


def _valid_customer(customer: Customer, shared: set[str]) -> Customer:
    if shared.isdisjoint(customer.digests):
        return customer
    kept = customer.digests - shared
    return Customer(customer.name, customer.rate, customer.burst, kept)


def _duplicates(names: Iterable[str]) -> set[str]:
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
