"""Decodes the items of the platform's store into the types of chervilstep.

Only this package uses the names of the wire format.
"""

import contextlib
import json
from collections.abc import Iterator, Mapping
from typing import Any, Final, TypeAlias

from chervilstep.catalog import (
    ClientLimits,
    PlatformConfig,
    ServiceConfig,
    UpstreamEntry,
)
from chervilstep.exceptions import ItemError
from chervilstep.queries.headers import digest_key
from chervilstep.queries.tables import is_address
from chervilstep.services import ColdStart, Upstream, UpstreamState
from chervilstep.snapshot import Customer, Priority, Route, RouteOptions

#: A decoded JSON object.
Table: TypeAlias = Mapping[str, Any]

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
#: The slots of a server whose entry states less than one.
MIN_SLOTS: Final = 1


def decode_config(value: bytes) -> PlatformConfig:
    """Decodes the operators' configuration.

    Raises:
        ItemError: The value is not a valid configuration.
    """
    with _raising_item_errors():
        return _platform_config(_parse_table(value))


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


def _parse_table(value: bytes) -> Table:
    table = json.loads(value)
    if not isinstance(table, dict):
        raise TypeError('the value is not a JSON object')
    return table


def _platform_config(table: Table) -> PlatformConfig:
    customers = [_customer(each) for each in table.get('tenants', ())]
    customer_names = [customer.name for customer in customers]
    routes = [
        _route(_text(listener['host']), rule, customer_names)
        for listener in table['listeners']
        for rule in listener['ruleSet']
    ]
    return PlatformConfig(
        int(table['version'], VERSION_BASE),
        routes,
        [_service_config(each) for each in table['clusters']],
        customers,
        _client_limits(table['limits']),
    )


def _client_limits(table: Table) -> ClientLimits:
    return ClientLimits(
        int(table['maxHeaderBytes']),
        int(table['maxBodyBytes']),
        float(table['headerTimeoutS']),
        float(table['idleTimeoutS']),
    )


def _customer(table: Table) -> Customer:
    priority = table.get('priority')
    return Customer(
        _require_text(table['name']),
        float(table.get('ratePerS') or 0),
        float(table.get('burst') or 0),
        [digest_key(key) for key in table.get('apiKeys', ())],
        None if priority is None else _priority(priority),
    )


def _route(host: str, rule: Table, customers: list[str]) -> Route:
    action = rule['action']
    weighted = action.get('weightedServices') or [
        {'service': action['service'], 'weight': 1}
    ]
    weighted_routes = [
        (
            float(each['weight']),
            _route_to_service(host, rule, each['service'], customers),
        )
        for each in weighted
    ]
    first = weighted_routes[0][1]
    return (
        first
        if len(weighted_routes) == 1
        else first.with_weighted_routes(weighted_routes)
    )


def _route_to_service(
    host: str, rule: Table, service: str, customers: list[str]
) -> Route:
    action = rule['action']
    options = RouteOptions(
        host,
        int(action.get('maxAttempts') or 1),
        float(rule['sloS']) if 'sloS' in rule else None,
    )
    route = Route(
        _require_text(rule['name']),
        _text(rule['match']['prefix']),
        _require_text(service),
        methods=(),
        idempotent=ALL_METHODS if rule['kind'] == SAFE_KIND else (),
        customers=customers,
        # Without customers there are no keys that a route could require.
        is_open=bool(rule.get('public')) or not customers,
        priority=_priority(rule.get('priority') or 0),
        timeout_seconds=float(action['timeoutS']),
    )
    return route.with_options(options)


def _service_config(table: Table) -> ServiceConfig:
    cold_seconds = float(table.get('coldStartS') or 0)
    cold_start = None
    if cold_seconds:
        # The number of requests per second that a cold server can handle.
        cold_start = ColdStart(cold_seconds, float(table['coldPerS']))
    return ServiceConfig(
        _require_text(table['name']),
        _text(table.get('healthPath') or ''),
        cold_start,
    )


def _upstream_entry(identity: str, table: Table) -> UpstreamEntry:
    info = table['info']
    status = table['status']
    started_ms = table.get('born')
    if started_ms is not None and not isinstance(started_ms, int):
        raise TypeError('the field born is not an integer')
    name = identity if started_ms is None else f'{identity}/{started_ms}'
    upstream = Upstream(
        name,
        _require_address(table['address']),
        _require_text(info['zone']),
        max(MIN_SLOTS, int(info['slots'])),
        _UPSTREAM_STATES[status['state']],
        identity,
    )
    return UpstreamEntry(
        _require_text(info['service']),
        upstream,
        float(status.get('coldLeftS') or 0),
    )


def _text(field: object) -> str:
    if not isinstance(field, str):
        raise TypeError('a field is not a string')
    return field


def _require_text(field: object) -> str:
    text = _text(field)
    if not text:
        raise ValueError('a required field is empty')
    return text


def _require_address(field: object) -> str:
    text = _require_text(field)
    if not is_address(text):
        raise ValueError('an address is not an IP address and a port')
    return text


def _priority(rank: int) -> Priority:
    return Priority(min(max(int(rank), Priority.URGENT), Priority.BULK))


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
