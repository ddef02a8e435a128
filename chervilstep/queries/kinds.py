"""Parsers of zones, services, routes and customers."""

import re
from collections.abc import Callable
from typing import Final, TypeAlias

from chervilstep.content import SectionContent
from chervilstep.queries.tables import NAME_PATTERN, Table
from chervilstep.registry import Registry, new_registry
from chervilstep.services import Service, Upstream, UpstreamState
from chervilstep.snapshot import Customer, Priority, Route, ZoneState
from chervilstep.types import MS_PER_SECOND

#: Parses the definitions of one kind from their table.
KindParser: TypeAlias = Callable[[Table, SectionContent], None]

#: The parsers of the kinds of definitions, by the name of the table.
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
    """Parses the state of each availability zone."""
    for name in table.names:
        if not NAME_PATTERN.fullmatch(name):
            table.add_fault(name, f'{name!r} is not a valid name')
        content.add_zone(name, table.choice(name, ZoneState.WITHDRAWN))


@KINDS.register('services')
def parse_services(table: Table, content: SectionContent) -> None:
    """Parses the services with their upstreams."""
    names: set[str] = set()
    addresses: set[str] = set()
    for name, entry in table.tables():
        service = _parse_service(name, entry)
        content.add_service(service)
        for index, upstream in enumerate(service.upstreams):
            path = f'upstreams[{index}]'
            if upstream.name in names:
                entry.add_fault(path, f'duplicate upstream {upstream.name!r}')
            if upstream.address in addresses:
                entry.add_fault(path, f'duplicate address {upstream.address!r}')
            names.add(upstream.name)
            addresses.add(upstream.address)


@KINDS.register('routes')
def parse_routes(table: Table, content: SectionContent) -> None:
    """Parses the routes."""
    paths: dict[str, str] = {}
    for name, entry in table.tables():
        route = _parse_route(name, entry)
        content.add_route(route)
        other = paths.setdefault(route.path, name)
        if other != name:
            entry.add_fault('path', f'the route {other!r} has the same path')


@KINDS.register('customers')
def parse_customers(table: Table, content: SectionContent) -> None:
    """Parses the customers with the digests of their keys."""
    owners: dict[str, str] = {}
    for name, entry in table.tables():
        entry.allow_only(('rate', 'burst', 'keys'))
        digests = entry.texts('keys')
        for digest in digests:
            other = owners.setdefault(digest, name)
            if other != name:
                entry.add_fault(
                    'keys', f'a key of {other!r} is listed here too'
                )
            if not _DIGEST.fullmatch(digest):
                # The message leaves the text out, as it may be a plain key.
                entry.add_fault(
                    'keys',
                    'an item is not a lower-case hexadecimal SHA-256 digest',
                )
        rate = entry.number('rate', MIN_RATE, MAX_RATE)
        burst = entry.number('burst', 1, MAX_RATE)
        content.add_customer(Customer(name, rate, burst, digests))


def _parse_service(name: str, entry: Table) -> Service:
    entry.allow_only(('policy', 'slots', 'upstreams'))
    slots = entry.integer('slots', 1, MAX_SLOTS)
    upstreams = [
        _parse_upstream(item, slots) for item in entry.array('upstreams')
    ]
    return Service(name, upstreams, entry.text('policy', DEFAULT_POLICY))


def _parse_upstream(item: Table, slots: int) -> Upstream:
    item.allow_only(('name', 'address', 'zone', 'state'))
    return Upstream(
        item.name('name'),
        item.address('address'),
        item.name('zone'),
        slots,
        item.choice('state', UpstreamState.ACTIVE),
    )


def _parse_route(name: str, entry: Table) -> Route:
    entry.allow_only(
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
        entry.add_fault(
            'open', 'a route must be open or list its customers, not both'
        )
    if not is_open and not entry.texts('customers'):
        entry.add_fault(
            'customers', 'a route must list its customers or be open'
        )
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
        entry.add_fault('path', f'{path!r} must start and end with a slash')
    if {'.', '..'} & set(path.split('/')):
        entry.add_fault('path', f'{path!r} has a relative segment')
    return path


def _parse_methods(
    entry: Table, name: str, default: tuple[str, ...]
) -> tuple[str, ...]:
    methods = entry.texts(name, default)
    if not default and not methods:
        entry.add_fault(name, 'must list at least one method')
    for method in methods:
        if not _METHOD.fullmatch(method):
            entry.add_fault(
                name, f'{method!r} is not an upper-case HTTP method'
            )
    return methods


def _parse_timeout(entry: Table) -> float:
    return entry.number('timeout_ms', 1, MAX_TIMEOUT_MS) / MS_PER_SECOND
