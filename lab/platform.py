"""The platform stand-in: a read-and-watch service as docs/PLATFORM.md says.

Its control has a port of its own, so that it works while the service is down.
"""

import asyncio
import json
from collections.abc import Sequence
from typing import Any, Final, final

from tornado import web
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from lab.commands.platform_faults import PLATFORM_FAULTS
from lab.queries.values import changed_values, shown_revision, shown_values
from lab.store import INSTANCES, Store, Value

#: The largest value that the service holds.
VALUE_LIMIT_BYTES: Final = 1024 * 1024
_LOOPBACK: Final = '127.0.0.1'
_MS: Final = 1000


@final
class Platform:
    """Serves a store on one port, unless it is refusing."""

    __slots__ = ('_changed', '_port', '_server', '_store')

    def __init__(self, store: Store, port: int) -> None:
        """Creates the service; ``open`` opens its port."""
        self._store = store
        self._port = port
        self._changed = asyncio.Event()
        self._server: HTTPServer | None = None

    @property
    def store(self) -> Store:
        """The values."""
        return self._store

    @property
    def is_open(self) -> bool:
        """Whether the port is open."""
        return self._server is not None

    def open(self) -> None:
        """Opens the port."""
        shared = {'platform': self}
        application = web.Application(
            [
                ('/v1/list', ListHandler, shared),
                ('/v1/watch', WatchHandler, shared),
            ],
            log_function=_ignore,
        )
        self._server = HTTPServer(application)
        self._server.add_sockets(bind_sockets(self._port, _LOOPBACK))

    async def refuse(self) -> None:
        """Closes the port and breaks off every connection."""
        server, self._server = self._server, None
        if server is not None:
            server.stop()
            await server.close_all_connections()

    def put(self, name: str, text: str | None) -> None:
        """Sets or deletes a value; the list of instances lags."""
        if name.startswith(INSTANCES) and self._store.lag_seconds:
            asyncio.get_running_loop().call_later(
                self._store.lag_seconds, self._put_now, name, text
            )
        else:
            self._put_now(name, text)

    def wake(self) -> None:
        """Lets every waiting watch look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, seconds: float) -> None:
        """Waits for a change, at most for some seconds."""
        try:
            await asyncio.wait_for(self._changed.wait(), max(0, seconds))
        except TimeoutError:
            return

    def _put_now(self, name: str, text: str | None) -> None:
        self._store.put(name, text)
        self.wake()


class _ReadHandler(web.RequestHandler):
    def initialize(self, platform: Platform) -> None:
        self._platform = platform
        self._store = platform.store

    async def prepare(self) -> None:
        kind = self.request.path.rpartition('/')[2]
        self._store.count(f'{kind} {self.get_query_argument("prefix")}')
        if self._store.is_hanging:
            await asyncio.Event().wait()

    def answer(self, values: Sequence[Value]) -> None:
        listed = [
            {
                'name': value.name,
                'revision': value.revision,
                'text': value.text,
            }
            for value in values
        ]
        revision = shown_revision(self._store)
        self.finish({'revision': revision, 'values': listed})


@final
class ListHandler(_ReadHandler):
    """Lists the values under a prefix."""

    def get(self) -> None:
        """Answers at once."""
        self.answer(
            shown_values(self._store, self.get_query_argument('prefix'))
        )


@final
class WatchHandler(_ReadHandler):
    """Waits for changes under a prefix."""

    async def get(self) -> None:
        """Answers with the next changes, or with none after the wait."""
        prefix = self.get_query_argument('prefix')
        after = int(self.get_query_argument('after'))
        wait_seconds = int(self.get_query_argument('wait_ms')) / _MS
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_seconds
        values = changed_values(self._store, prefix, after)
        while not values and loop.time() < until:
            await self._platform.wait(until - loop.time())
            values = changed_values(self._store, prefix, after)
        if self._store.is_hanging:
            await asyncio.Event().wait()
        self.answer(values)


class _ControlHandler(web.RequestHandler):
    def initialize(self, platform: Platform) -> None:
        self._platform = platform


@final
class PutHandler(_ControlHandler):
    """Sets values: a map from names to texts, where null deletes."""

    def post(self) -> None:
        """Sets each value in the order given."""
        values: dict[str, str | None] = json.loads(self.request.body)
        for name, text in values.items():
            if text is not None and len(text.encode()) > VALUE_LIMIT_BYTES:
                raise web.HTTPError(413)
            self._platform.put(name, text)
        self.finish({})


@final
class PlatformFaultHandler(_ControlHandler):
    """Brings faults about: ``fault`` and ``argument``."""

    async def post(self) -> None:
        """Applies one fault; ``refuse`` closes the port."""
        order = json.loads(self.request.body)
        if order['fault'] == 'refuse':
            await self._platform.refuse()
        else:
            fault = PLATFORM_FAULTS.find(order['fault'])
            fault(self._platform.store, str(order.get('argument', '')))
            if not self._platform.is_open:
                self._platform.open()
        self._platform.wake()
        self.finish({})


@final
class CallsHandler(_ControlHandler):
    """Reads out how many calls came."""

    def get(self) -> None:
        """Gives the counts by kind and prefix, and the newest revision."""
        store = self._platform.store
        answer: dict[str, Any] = {
            'calls': dict(store.calls),
            'revision': store.newest_revision,
        }
        self.finish(answer)


async def serve_platform(port: int, control_port: int) -> None:
    """Serves until the process is ended."""
    platform = Platform(Store(), port)
    platform.open()
    shared = {'platform': platform}
    control = web.Application(
        [
            ('/control/put', PutHandler, shared),
            ('/control/fault', PlatformFaultHandler, shared),
            ('/control/calls', CallsHandler, shared),
        ],
        log_function=_ignore,
    )
    control.listen(control_port, _LOOPBACK)
    await asyncio.Event().wait()


def _ignore(handler: web.RequestHandler) -> None:
    """Keeps the access log empty."""
