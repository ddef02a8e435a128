"""Builders of the platform's store items, and a stand-in for its store."""

import contextlib
import json

from tornado import netutil

import chervilstep.platform.items  # noqa: F401 - registers the item readers
from chervilstep.catalog import ClientLimits
from chervilstep.replica import StoredItem
from chervilstep.revisions import Revision
from lab.commands.platform_faults import PLATFORM_FAULTS
from lab.platform import Platform
from lab.store import Store

HOST = 'hulo84.example'
KEY = 'nn2ctnfzs989anu6wsjn'
LIMITS = ClientLimits(16384, 1 << 20, 3, 15)


def a_rule(**changes):
    return {
        'name': 'r-1',
        'kind': 'safe',
        'sloS': 0.2,
        'priority': 2,
        'public': False,
        'match': {'prefix': '/leny950/'},
        'action': {'service': 'huvo11a', 'timeoutS': 0.8, 'maxAttempts': 2},
        **changes,
    }


def a_configuration(version=7, rules=None, **changes):
    return {
        'version': version if isinstance(version, str) else f'{version:08x}',
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeoutS': 3,
            'idleTimeoutS': 15,
        },
        'tenants': [
            {
                'name': 'cuka620',
                'apiKeys': [KEY],
                'priority': 1,
                'ratePerS': 77,
                'burst': 77,
            }
        ],
        'listeners': [{'host': HOST, 'ruleSet': rules or [a_rule()]}],
        'clusters': [
            {
                'name': 'huvo11a',
                'healthPath': '/health',
                'maxConns': 220,
                'coldStartS': 3.0,
                'coldPerS': 12.0,
            }
        ],
        **changes,
    }


def a_server_entry(port=8080, state='ready', **changes):
    return {
        'address': f'127.0.0.1:{port}',
        'info': {
            'service': 'huvo11a',
            'version': 'v1',
            'zone': 'akl',
            'slots': 3,
        },
        'status': {'state': state, 'seqNo': 4, 'coldLeftS': 0},
        **changes,
    }


def a_changed_entry(path, field):
    """Returns a server's entry with another value of the field at ``path``."""
    entry = a_server_entry(born=1700)
    table = entry
    *parents, name = path.split('.')
    for parent in parents:
        table = table[parent]
    table[name] = field
    return entry


def an_entry_without(path):
    entry = a_changed_entry(path, None)
    table = entry
    *parents, name = path.split('.')
    for parent in parents:
        table = table[parent]
    del table[name]
    return entry


def encode_json(table):
    return json.dumps(table).encode()


def a_stored_item(key, table, revision=1, epoch=0):
    value = None if table is None else encode_json(table)
    return StoredItem(key, Revision(revision, epoch), value)


class StoreStandIn:
    """The lab's store stand-in on a free port; its values are tables."""

    def __init__(self, **options):
        (socket,) = netutil.bind_sockets(0, '127.0.0.1')
        port = socket.getsockname()[1]
        socket.close()
        self.platform = Platform(Store(**options), port)

    @property
    def address(self):
        return self.platform.address

    @property
    def read_count(self):
        return sum(self.platform.store.calls.values())

    def put(self, key, table):
        text = None if table is None else json.dumps(table)
        self.put_text(key, text)

    def put_text(self, key, text):
        self.platform.put(key, text)

    def inject_fault(self, fault, argument=''):
        PLATFORM_FAULTS.find(fault)(self.platform.store, argument)
        self.platform.wake_watches()


@contextlib.asynccontextmanager
async def a_store(**options):
    store = StoreStandIn(**options)
    store.platform.listen()
    try:
        yield store
    finally:
        if store.platform.is_listening:
            await store.platform.stop_listening()
