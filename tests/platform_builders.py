"""Builders of what the users' platform says, and a stand-in for its store."""

import asyncio
import base64
import contextlib
import json
from urllib.parse import parse_qs, urlsplit

import chervilstep.platform.items  # noqa: F401 - registers the readers
from chervilstep.adapters.http1 import PipelineServer
from chervilstep.adapters.requests import Response
from chervilstep.catalog import ClientLimits
from chervilstep.replica import StoredItem

HOST = 'hulo84.example'
KEY = 'nn2ctnfzs989anu6wsjn'
LIMITS = ClientLimits(16384, 1 << 20, 3, 15)
JSON = (('Content-Type', 'application/json'),)


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


def an_entry(port=8080, state='ready', **changes):
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


def encoded(table):
    return json.dumps(table).encode()


def an_item(key, table, revision=1):
    content = None if table is None else encoded(table)
    return StoredItem(key, revision, content)


class StandInStore:
    """Holds items and answers reads and watches, or fails as it is told."""

    def __init__(self, page=500):
        self.page = page
        self.items = {}
        self.revision = 1
        self.compacted_to = 0
        self.refusal = None
        #: Whether watches hear nothing of changes.
        self.is_deaf = False
        self.reads = []
        self.changed = asyncio.Event()
        self.server = PipelineServer(
            self.answer, lambda: LIMITS, lambda fault: None
        )

    @property
    def address(self):
        port = next(iter(self.server._sockets.values())).getsockname()[1]
        return f'127.0.0.1:{port}'

    def put(self, key, table):
        self.revision += 1
        value = None
        if table is not None:
            value = base64.b64encode(encoded(table)).decode()
        self.items[key] = (self.revision, value)
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self):
        self.compacted_to = self.revision

    async def answer(self, request):
        parts = urlsplit(request.target)
        query = {name: each[0] for name, each in parse_qs(parts.query).items()}
        self.reads.append(parts.path)
        if self.refusal is not None:
            return Response(self.refusal, (), b'')
        if parts.path.endswith('kv-range'):
            return self._list(query)
        return await self._watch(query)

    def _list(self, query):
        after = query.get('after', '')
        keys = sorted(key for key in self.items if key > after)
        live = [key for key in keys if self.items[key][1] is not None]
        shown = live[: self.page]
        return Response(
            200,
            JSON,
            encoded(
                {
                    'items': [self._item(key) for key in shown],
                    'hasMore': len(shown) < len(live),
                    'asOf': self.revision,
                }
            ),
        )

    async def _watch(self, query):
        after = int(query['after'])
        if after < self.compacted_to:
            return Response(410, (), b'')
        if after >= self.revision:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query['waitMs']) / 1000):
                    await self.changed.wait()
        if self.is_deaf:
            await asyncio.sleep(int(query['waitMs']) / 1000)
            return Response(200, JSON, encoded({'events': [], 'asOf': after}))
        events = [
            self._item(key)
            for key, (revision, _) in self.items.items()
            if revision > after
        ]
        return Response(
            200, JSON, encoded({'events': events, 'asOf': self.revision})
        )

    def _item(self, key):
        revision, value = self.items[key]
        if value is None:
            return {'key': key, 'revision': revision, 'deleted': True}
        return {
            'key': key,
            'value': value,
            'revision': revision,
            'createRev': revision,
            'lease': 0,
        }


@contextlib.asynccontextmanager
async def a_store(**options):
    store = StandInStore(**options)
    store.server.listen(0, '127.0.0.1')
    try:
        yield store
    finally:
        store.server.stop()
        store.server.close_all()
