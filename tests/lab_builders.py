"""Builders of test data for the tests of the lab."""

from lab.documents import document
from lab.plans import PLANS
from lab.servers import Server, Traits
from lab.store import Store
from lab.topology import new_topology, ports_needed

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
    count = ports_needed(plan, instances)
    return new_topology(plan, instances, list(range(20000, 20000 + count)))


def a_document(topology=None, limits=None, policy=''):
    return document(topology or a_topology(), limits or {}, policy)
