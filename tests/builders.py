"""Builders of test data that are shared by all test modules."""

import hashlib
import math

from chervilstep.adapters.dialect import NATIVE
from chervilstep.calls import Answer, Attempt, Call, Ending, Outcome, Ticket
from chervilstep.members import Instance, MemberRecord, MemberState
from chervilstep.node import Node, new_node
from chervilstep.services import Service, Upstream
from chervilstep.settings import Profile, Settings
from chervilstep.snapshot import Customer, Priority, Route, Snapshot, ZoneState
from chervilstep.types import Deadline, Verdict, new_deadline

KEY = 'key-of-fletcher'
#: The text of a settings file.
SETTINGS = """
name = "entry-1"
zone = "akl"
entry_address = "127.0.0.1:8001"
peer_address = "127.0.0.1:9001"
admin_address = "127.0.0.1:7001"
configuration_source = "store://127.0.0.1:2379"
peer_secret = "secret"
"""


def digest_key(key):
    return hashlib.sha256(key.encode()).hexdigest()


def a_settings(
    name='entry-1',
    zone='akl',
    source='file:unused.toml',
    seeds=(),
    dialect=NATIVE,
    profile=None,
):
    return Settings(
        name=name,
        zone=zone,
        entry_address='127.0.0.1:0',
        peer_address='127.0.0.1:0',
        admin_address='127.0.0.1:0',
        configuration_source=source,
        seeds=dict(seeds),
        peer_secret='test-secret',
        profile=profile or Profile(dialect=dialect),
    )


def a_node(snapshot=None, name='entry-1', zone='akl', seed=1) -> Node:
    node = new_node(a_settings(name, zone), seed)
    node.configuration.publish(snapshot or a_snapshot())
    return node


def an_unlimited_node(snapshot=None, **changes) -> Node:
    """Returns a node whose customers have no rate limits."""
    source = snapshot or a_snapshot()
    customers = [
        Customer(each.name, 0, 0, each.digests)
        for each in source.customers.values()
    ]
    unlimited = Snapshot(
        source.zones, source.services.values(), source.routes, customers
    )
    return a_node(unlimited, **changes)


def a_ready_node(**changes) -> Node:
    """Returns a node that is ready for callers."""
    return a_node(**changes)


def an_upstream(name='strike-1', zone='akl', port=9001, **changes):
    changes.setdefault('slots', 3)
    address = changes.pop('address', f'127.0.0.1:{port}')
    return Upstream(name, address, zone, **changes)


def a_service(name='strike', upstreams=None, policy='random'):
    if upstreams is None:
        upstreams = [
            an_upstream(f'{name}-{index}', port=9000 + index)
            for index in range(1, 4)
        ]
    return Service(name, upstreams, policy)


def a_route(name='strike', **changes):
    options = {
        'path': f'/{name}/',
        'service': name,
        'methods': ('GET', 'POST'),
        'idempotent': ('GET',),
        'customers': ('fletcher',),
        'is_open': False,
        'priority': Priority.NORMAL,
        'timeout_seconds': 2,
    }
    options.update(changes)
    return Route(name, **options)


def a_customer(name='fletcher', rate=100, burst=20, key=KEY):
    return Customer(name, rate, burst, [digest_key(key)])


def a_snapshot(zones=None, services=None, routes=None, customers=None):
    return Snapshot(
        zones or {'akl': ZoneState.IN_SERVICE, 'ham': ZoneState.IN_SERVICE},
        services or [a_service()],
        routes or [a_route()],
        customers or [a_customer()],
    )


def a_call(
    method='GET',
    target='/strike/1',
    key=KEY,
    body=b'',
    attempt=1,
    deadline=None,
):
    return Call(
        method,
        target,
        (),
        body,
        key_digest=digest_key(key) if key else None,
        deadline=deadline,
        attempt=attempt,
    )


def a_ticket(call=None, route=None, customer=None, now=0):
    return Ticket(
        call or a_call(),
        route or a_route(),
        customer or a_customer(),
        new_deadline(now, 2),
        now,
    )


def an_attempt(ticket=None, upstream=None, number=1, now=0):
    return Attempt(
        ticket or a_ticket(now=now),
        upstream or an_upstream(),
        number,
        now,
        new_deadline(now, 1),
    )


def an_outcome(ending=Ending.ANSWERED, ended_at=0, status=200):
    answer = None
    verdict = Verdict.NOT_RUN
    if ending is Ending.ANSWERED:
        answer = Answer(status, 'OK', (), b'')
        verdict = Verdict.RAN
    return Outcome(ending, verdict, ended_at, answer)


def some_instances(size, first=1, zones=('akl', 'ham', 'tga', 'wlg')):
    return [
        Instance(
            f'entry-{index}',
            zones[index % len(zones)],
            f'127.0.0.1:{8000 + index}',
            f'127.0.0.1:{9000 + index}',
        )
        for index in range(first, first + size)
    ]


def set_instances(node, instances):
    """Replaces the members of the node by these instances."""
    for name in tuple(node.members.records):
        node.members.remove(name)
    for each in instances:
        record = MemberRecord(each, 1, MemberState.ALIVE, Deadline(math.inf))
        node.members.set_record(record)
