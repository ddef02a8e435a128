"""Decodes the items of the platform's store into the types of chervilstep.

Only this package uses the names of the wire format.
"""

import contextlib
import json
import re
from collections.abc import Iterator, Mapping
from typing import Final

from chervilstep.catalog import (
    ClientLimits,
    PlatformConfig,
    ServiceConfig,
    UpstreamEntry,
)
from chervilstep.exceptions import ItemError
from chervilstep.platform import fields
from chervilstep.queries.headers import digest_key
from chervilstep.services import ColdStart, Upstream, UpstreamState
from chervilstep.snapshot import Customer, Priority, Route, RouteOptions

#: The kind of routes whose requests may run more than once.
SAFE_KIND: Final = 'safe'
#: Errors of decoding a value that does not have the expected form.
DECODE_ERRORS: Final = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    # Infinite numbers raise the first, deeply nested values the second.
    OverflowError,
    RecursionError,
)
VERSION_BASE: Final = 16
#: A server runs one request at a time on a connection, and a caller has no more
#: ports than this for connections to one address.
MAX_SLOTS: Final = 65535
#: Far more requests per second than a deployment gets.
MAX_RATE: Final = 10**9
_VERSION_PATTERN: Final = re.compile('[0-9a-fA-F]{1,15}')


def decode_config(value: bytes) -> PlatformConfig:
    """Decodes the operators' configuration.

    Raises:
        ItemError: The value is not a valid configuration.
    """
    with _raising_item_errors():
        return _platform_config(_parse_table(value))


def decode_version(value: bytes) -> int:
    """Decodes only the version of a configuration.

    Raises:
        ItemError: The value has no valid version.
    """
    with _raising_item_errors():
        return _version(_parse_table(value)['version'])


def decode_entry_order(value: bytes) -> tuple[int, int]:
    """Decodes what orders the entries of one server.

    These are the time at which it started, in Unix milliseconds or 0, and its
    count of writes since then.

    Raises:
        ItemError: The value is not an entry of a server.
    """
    with _raising_item_errors():
        table = _parse_table(value)
        status = fields.require_table(table['status'])
        return (
            fields.require_integer(table.get('born', 0), 0, fields.MAX_INTEGER),
            fields.require_integer(status['seqNo'], 0, fields.MAX_INTEGER),
        )


def decode_upstream_entry(identity: str, value: bytes) -> UpstreamEntry:
    """Decodes the entry of the server with this identity.

    Raises:
        ItemError: The value is not a valid entry; another process than the
            server may have written it.
    """
    with _raising_item_errors():
        return _upstream_entry(identity, _parse_table(value))


@contextlib.contextmanager
def _raising_item_errors() -> Iterator[None]:
    try:
        yield
    except DECODE_ERRORS as fault:
        raise ItemError(f'{type(fault).__name__}: {fault}') from fault


def _parse_table(value: bytes) -> fields.Table:
    return fields.require_table(json.loads(value))


def _platform_config(table: fields.Table) -> PlatformConfig:
    customers = [
        _customer(fields.require_table(each))
        for each in fields.require_list(table.get('tenants') or [])
    ]
    customer_names = [customer.name for customer in customers]
    routes = [
        _route(fields.require_text(listener['host']), rule, customer_names)
        for listener in fields.require_list(table['listeners'])
        for rule in fields.require_list(listener['ruleSet'])
    ]
    return PlatformConfig(
        _version(table['version']),
        routes,
        [
            _service_config(each)
            for each in fields.require_list(table['clusters'])
        ],
        customers,
        _client_limits(table['limits']),
    )


def _version(field: object) -> int:
    text = fields.require_name(field)
    if not _VERSION_PATTERN.fullmatch(text):
        raise ValueError('the version is not a hexadecimal number')
    return int(text, VERSION_BASE)


def _client_limits(table: fields.Table) -> ClientLimits:
    return ClientLimits(
        fields.require_integer(table['maxHeaderBytes'], 0, fields.MAX_INTEGER),
        fields.require_integer(table['maxBodyBytes'], 0, fields.MAX_INTEGER),
        _seconds(table['headerTimeoutS']),
        _seconds(table['idleTimeoutS']),
    )


def _customer(table: fields.Table) -> Customer:
    priority = table.get('priority')
    return Customer(
        fields.require_name(table['name']),
        _rate(table.get('ratePerS') or 0),
        _rate(table.get('burst') or 0),
        [
            digest_key(fields.require_text(key))
            for key in fields.require_list(table.get('apiKeys') or [])
        ],
        None if priority is None else _priority(priority),
    )


def _route(host: str, rule: fields.Table, customers: list[str]) -> Route:
    action = rule['action']
    weighted = action.get('weightedServices') or [
        {'service': action['service'], 'weight': 1}
    ]
    weighted_routes = [
        (
            fields.require_number(each['weight'], 0, MAX_RATE),
            _route_to_service(host, rule, each['service'], customers),
        )
        for each in fields.require_list(weighted)
    ]
    first = weighted_routes[0][1]
    return (
        first
        if len(weighted_routes) == 1
        else first.with_weighted_routes(weighted_routes)
    )


def _route_to_service(
    host: str, rule: fields.Table, service: str, customers: list[str]
) -> Route:
    action = rule['action']
    options = RouteOptions(
        host,
        fields.require_integer(
            action.get('maxAttempts') or 1, 1, fields.MAX_INTEGER
        ),
        _seconds(rule['sloS']) if 'sloS' in rule else None,
    )
    route = Route(
        fields.require_name(rule['name']),
        fields.require_text(rule['match']['prefix']),
        fields.require_name(service),
        methods=(),
        idempotent=ALL_METHODS if rule['kind'] == SAFE_KIND else (),
        customers=customers,
        # Without customers there are no keys that a route could require.
        is_open=fields.require_flag(rule.get('public') or False)
        or not customers,
        priority=_priority(rule.get('priority') or 0),
        timeout_seconds=_seconds(action['timeoutS']),
    )
    return route.with_options(options)


def _service_config(table: fields.Table) -> ServiceConfig:
    cold_seconds = _seconds(table.get('coldStartS') or 0)
    cold_start = None
    if cold_seconds:
        # The number of requests per second that a cold server can handle.
        cold_start = ColdStart(cold_seconds, _rate(table['coldPerS']))
    return ServiceConfig(
        fields.require_name(table['name']),
        fields.require_text(table.get('healthPath') or ''),
        cold_start,
    )


def _upstream_entry(identity: str, table: fields.Table) -> UpstreamEntry:
    info = fields.require_table(table['info'])
    status = fields.require_table(table['status'])
    # The counter and the version of the software are not used. An entry without
    # them was not written by a server.
    fields.require_integer(status['seqNo'], 0, fields.MAX_INTEGER)
    fields.require_name(info['version'])
    upstream = Upstream(
        _upstream_name(fields.require_token(identity), table),
        fields.require_address(table['address']),
        fields.require_name(info['zone']),
        fields.require_integer(info['slots'], 1, MAX_SLOTS),
        _UPSTREAM_STATES[fields.require_name(status['state'])],
        identity,
    )
    return UpstreamEntry(
        fields.require_name(info['service']),
        upstream,
        _seconds(status['coldLeftS']),
    )


def _upstream_name(identity: str, table: fields.Table) -> str:
    """Returns a name that differs between two starts of one server."""
    if 'born' not in table:
        return identity
    started_ms = fields.require_integer(table['born'], 0, fields.MAX_INTEGER)
    return f'{identity}/{started_ms}'


def _seconds(field: object) -> float:
    return fields.require_number(field, 0, fields.MAX_SECONDS)


def _rate(field: object) -> float:
    return fields.require_number(field, 0, MAX_RATE)


def _priority(field: object) -> Priority:
    rank = fields.require_integer(
        field, -fields.MAX_INTEGER, fields.MAX_INTEGER
    )
    return Priority(min(max(rank, Priority.URGENT), Priority.BULK))


ALL_METHODS: Final = (
    'GET',
    'HEAD',
    'POST',
    'PUT',
    'PATCH',
    'DELETE',
    'OPTIONS',
)
_UPSTREAM_STATES: Final[Mapping[str, UpstreamState]] = {
    'ready': UpstreamState.ACTIVE,
    'draining': UpstreamState.LEAVING,
}
