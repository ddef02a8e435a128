"""The parsers of zones, services, routes and customers."""

import re
from collections.abc import Callable
from typing import Final, TypeAlias

from chervilstep.content import SectionContent
from chervilstep.queries.tables import NAME_PATTERN, Table
from chervilstep.registry import Registry, new_registry
from chervilstep.services import Service, Upstream, UpstreamState
from chervilstep.snapshot import Customer, Priority, Route, ZoneState
from chervilstep.types import MS_PER_SECOND

#: Reads the definitions of one kind from their table.
KindParser: TypeAlias = Callable[[Table, SectionContent], None]

#: The kinds of definitions by the name of their table.
KINDS: Final[Registry[KindParser]] = new_registry('kind of definition')

DEFAULT_POLICY: Final = 'warm-least-in-flight'
DEFAULT_IDEMPOTENT: Final = ('GET', 'HEAD', 'OPTIONS')
MAX_SLOTS: Final = 1024
MAX_TIMEOUT_MS: Final = 600_000
MIN_RATE: Final = 0.001
MAX_RATE: Final = 1e9

_METHOD: Final = re.compile('[A-Z]{1,16}')
_PATH: Final = re.compile("/(?:[A-Za-z0-9._~!$&'()*+,;=:@-]+/)*")
_DIGEST: Final = re.compile('[0-9a-f]{64}')


@KINDS.register('zones')
def parse_zones(table: Table, content: SectionContent) -> None:
    """Reads the state of each availability zone."""
    for name in table.names:
        if not NAME_PATTERN.fullmatch(name):
            table.fault(name, f'{name!r} is not a name')
        content.add_zone(name, table.choice(name, ZoneState.WITHDRAWN))


@KINDS.register('services')
def parse_services(table: Table, content: SectionContent) -> None:
    """Reads the services with their upstreams."""
    names: set[str] = set()
    addresses: set[str] = set()
    for name, entry in table.tables():
        service = _parse_service(name, entry)
        content.add_service(service)
        for index, upstream in enumerate(service.upstreams):
            place = f'upstreams[{index}]'
            if upstream.name in names:
                entry.fault(place, f'a second upstream {upstream.name!r}')
            if upstream.address in addresses:
                entry.fault(place, f'a second use of {upstream.address!r}')
            names.add(upstream.name)
            addresses.add(upstream.address)


@KINDS.register('routes')
def parse_routes(table: Table, content: SectionContent) -> None:
    """Reads the routes."""
    paths: dict[str, str] = {}
    for name, entry in table.tables():
        route = _parse_route(name, entry)
        content.add_route(route)
        other = paths.setdefault(route.path, name)
        if other != name:
            entry.fault('path', f'the route {other!r} has the same path')


@KINDS.register('customers')
def parse_customers(table: Table, content: SectionContent) -> None:
    """Reads the customers with the digests of their keys."""
    owners: dict[str, str] = {}
    for name, entry in table.tables():
        entry.allow(('rate', 'burst', 'keys'))
        digests = entry.texts('keys')
        for digest in digests:
            other = owners.setdefault(digest, name)
            if other != name:
                entry.fault('keys', f'a key of {other!r} stands here too')
            if not _DIGEST.fullmatch(digest):
                # The text is not repeated: it may be a key itself.
                entry.fault('keys', 'an item is not a SHA-256 digest in hex')
        rate = entry.number('rate', MIN_RATE, MAX_RATE)
        burst = entry.number('burst', 1, MAX_RATE)
        content.add_customer(Customer(name, rate, burst, digests))


def _parse_service(name: str, entry: Table) -> Service:
    entry.allow(('policy', 'slots', 'upstreams'))
    slots = entry.integer('slots', 1, MAX_SLOTS)
    upstreams = [
        _parse_upstream(item, slots) for item in entry.array('upstreams')
    ]
    return Service(name, upstreams, entry.text('policy', DEFAULT_POLICY))


def _parse_upstream(item: Table, slots: int) -> Upstream:
    item.allow(('name', 'address', 'zone', 'state'))
    return Upstream(
        item.name('name'),
        item.address('address'),
        item.name('zone'),
        slots,
        item.choice('state', UpstreamState.ACTIVE),
    )


def _parse_route(name: str, entry: Table) -> Route:
    entry.allow(
        (
            'path',
            'service',
            'methods',
            'idempotent',
            'customers',
            'open',
            'priority',
            'timeout_ms',
        )
    )
    is_open = entry.flag('open')
    if is_open and entry.has('customers'):
        entry.fault('open', 'a route is open or has customers, not both')
    if not is_open and not entry.texts('customers'):
        entry.fault('customers', 'a route names its customers or is open')
    return Route(
        name,
        _parse_path(entry),
        entry.name('service'),
        methods=_parse_methods(entry, 'methods', ()),
        idempotent=_parse_methods(entry, 'idempotent', DEFAULT_IDEMPOTENT),
        customers=entry.texts('customers'),
        is_open=is_open,
        priority=entry.choice('priority', Priority.NORMAL),
        timeout_seconds=_parse_timeout(entry),
    )


def _parse_path(entry: Table) -> str:
    path = entry.text('path')
    if path and not _PATH.fullmatch(path):
        entry.fault('path', f'{path!r} must start and end with a slash')
    if {'.', '..'} & set(path.split('/')):
        entry.fault('path', f'{path!r} has a relative part')
    return path


def _parse_methods(
    entry: Table, name: str, default: tuple[str, ...]
) -> tuple[str, ...]:
    methods = entry.texts(name, default)
    if not default and not methods:
        entry.fault(name, 'at least one method is needed')
    for method in methods:
        if not _METHOD.fullmatch(method):
            entry.fault(name, f'{method!r} is not a method in upper case')
    return methods


def _parse_timeout(entry: Table) -> float:
    return entry.number('timeout_ms', 1, MAX_TIMEOUT_MS) / MS_PER_SECOND
