"""Decodes what the platform's store holds into types with our names.

The wire's names stand in this module and its neighbours only.
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
from chervilstep.services import ColdStart, Upstream, UpstreamState
from chervilstep.snapshot import Customer, Priority, Route, RouteOptions

#: A table of a decoded body.
Table: TypeAlias = Mapping[str, Any]

#: Requests of a route of this kind may run more than once.
KIND_SAFE: Final = 'safe'
#: What decoding a body of another form raises.
DECODE_ERRORS: Final = (ValueError, LookupError, TypeError, AttributeError)
VERSION_BASE: Final = 16
#: Slots of a server that names no sensible number.
MIN_SLOTS: Final = 1


def decode_terms(content: bytes) -> PlatformConfig:
    """Decodes the operators' configuration.

    Raises:
        ItemError: It is not one.
    """
    with _reporting():
        return _terms(_table(content))


def decode_listing(identity: str, content: bytes) -> UpstreamEntry:
    """Decodes the entry of the server that calls itself ``identity``.

    Raises:
        ItemError: It is not one; another writer may have left it.
    """
    with _reporting():
        return _listing(identity, _table(content))


@contextlib.contextmanager
def _reporting() -> Iterator[None]:
    try:
        yield
    except DECODE_ERRORS as fault:
        raise ItemError(f'{type(fault).__name__}: {fault}') from fault


def _table(content: bytes) -> Table:
    table = json.loads(content)
    if not isinstance(table, dict):
        raise TypeError('the value is not a table')
    return table


def _terms(table: Table) -> PlatformConfig:
    customers = [_customer(each) for each in table.get('tenants', ())]
    names = [customer.name for customer in customers]
    routes = [
        _route(listener['host'], rule, names)
        for listener in table['listeners']
        for rule in listener['ruleSet']
    ]
    return PlatformConfig(
        int(table['version'], VERSION_BASE),
        routes,
        [_service(each) for each in table['clusters']],
        customers,
        _limits(table['limits']),
    )


def _limits(table: Table) -> ClientLimits:
    return ClientLimits(
        int(table['maxHeaderBytes']),
        int(table['maxBodyBytes']),
        float(table['headerTimeoutS']),
        float(table['idleTimeoutS']),
    )


def _customer(table: Table) -> Customer:
    priority = table.get('priority')
    return Customer(
        table['name'],
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
    parts = [
        (
            float(each['weight']),
            _single_route(host, rule, each['service'], customers),
        )
        for each in weighted
    ]
    first = parts[0][1]
    return first if len(parts) == 1 else first.with_weighted_routes(parts)


def _single_route(
    host: str, rule: Table, service: str, customers: list[str]
) -> Route:
    action = rule['action']
    terms = RouteOptions(
        host,
        int(action.get('maxAttempts') or 1),
        float(rule['sloS']) if 'sloS' in rule else None,
    )
    route = Route(
        rule['name'],
        rule['match']['prefix'],
        service,
        methods=(),
        idempotent=ANY_METHOD if rule['kind'] == KIND_SAFE else (),
        customers=customers,
        # Without customers in the configuration no request carries a key.
        is_open=bool(rule.get('public')) or not customers,
        priority=_priority(rule.get('priority') or 0),
        timeout_seconds=float(action['timeoutS']),
    )
    return route.with_options(terms)


def _service(table: Table) -> ServiceConfig:
    cold_seconds = float(table.get('coldStartS') or 0)
    cold_start = None
    if cold_seconds:
        # The rate that a cold server bears.
        cold_start = ColdStart(cold_seconds, float(table['coldPerS']))
    return ServiceConfig(
        table['name'], table.get('healthPath') or '', cold_start
    )


def _listing(identity: str, table: Table) -> UpstreamEntry:
    described = table['info']
    status = table['status']
    started_ms = table.get('born')
    if started_ms is not None and not isinstance(started_ms, int):
        raise TypeError('the start is not a whole number')
    name = identity if started_ms is None else f'{identity}/{started_ms}'
    upstream = Upstream(
        name,
        _text(table['address']),
        _text(described['zone']),
        max(MIN_SLOTS, int(described['slots'])),
        _STATES[status['state']],
        identity,
    )
    return UpstreamEntry(
        _text(described['service']),
        upstream,
        float(status.get('coldLeftS') or 0),
    )


def _text(found: object) -> str:
    if not isinstance(found, str) or not found:
        raise TypeError('a text is missing')
    return found


def _priority(rank: int) -> Priority:
    return Priority(min(max(int(rank), Priority.URGENT), Priority.BULK))


ANY_METHOD: Final = (
    'GET',
    'HEAD',
    'POST',
    'PUT',
    'PATCH',
    'DELETE',
    'OPTIONS',
)
_STATES: Final[Mapping[str, UpstreamState]] = {
    'ready': UpstreamState.ACTIVE,
    'draining': UpstreamState.LEAVING,
}
