"""Builders of lab objects for tests."""

from typing import Any

from lab.arrivals import Record
from lab.caller import CallOutcome
from lab.documents import new_document
from lab.plans import PLANS
from lab.queries.demands import Turn
from lab.queries.measuring import TurnResult
from lab.servers import Server, Traits
from lab.store import Store
from lab.topology import new_topology, port_count
from lab.turns import Mark
from lab.upstream import Upstream

NOW = 100.0


def a_server(name='strike-1', **changes):
    return Server(Traits(name, **changes))


def a_store(*names):
    store = Store()
    for name in names:
        store.put(name, f'text of {name}')
    return store


def a_topology(name='nz', instances=3):
    plan = PLANS.find(name)()
    count = port_count(plan, instances)
    return new_topology(plan, instances, list(range(20000, 20000 + count)))


def a_document(topology=None, limits=None, policy=''):
    return new_document(topology or a_topology(), limits or {}, policy)


def a_record(request_id='a', at=0, **changes):
    status = changes.pop('status', 200)
    outcome = CallOutcome(
        status,
        reason=changes.pop('reason', ''),
        verdict=changes.pop('verdict', ''),
        upstream=changes.pop('upstream', ''),
    )
    options: dict[str, Any] = {
        'customer': 'fletcher',
        'route': 'strike',
        'is_idempotent': False,
        'lateness': 0,
        'latency': 0.01,
    }
    options.update(changes)
    return Record(request_id, scheduled_at=at, outcome=outcome, **options)


def a_refusal(request_id='a', at=0, reason='rate-exceeded', **changes):
    changes.setdefault('verdict', 'not-run')
    return a_record(request_id, at, status=503, reason=reason, **changes)


def a_result(*records, marks=()):
    return TurnResult(records, [Mark(at, text) for at, text in marks], {})


def a_turn(name='t1', seconds=5, rate=200, seed=1, fault='none', plan='nz'):
    return Turn(
        PLANS.find(plan)(),
        name,
        rate=rate,
        seconds=seconds,
        seed=seed,
        fault=fault,
    )


def an_upstream_server(port, name='strike-1', **traits):
    traits.setdefault('mean_seconds', 0.01)
    return Upstream(a_server(name, **traits), port)
