"""A stand-in for the platform's store, with the store's HTTP interface.

The control server has a port of its own, so that it works while the store's
port is closed.
"""

import asyncio
import base64
import json
from collections.abc import Sequence
from typing import Any, Final, final

from tornado import web
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from lab.commands.platform_faults import PLATFORM_FAULTS
from lab.queries.values import changed_values, visible_revision, visible_values
from lab.store import KeyValue, Store

#: Larger values are refused with status 413.
MAX_VALUE_BYTES: Final = 1024 * 1024
_LOOPBACK: Final = '127.0.0.1'
_MS_PER_SECOND: Final = 1000
_GONE_STATUS: Final = 410
_EPOCH_HEADER: Final = 'Store-Era'


@final
class Platform:
    """Serves a store on one port that can be closed and reopened."""

    __slots__ = ('_change_event', '_port', '_server', '_store')

    def __init__(self, store: Store, port: int) -> None:
        """Creates the service; ``listen`` opens its port."""
        self._store = store
        self._port = port
        self._change_event = asyncio.Event()
        self._server: HTTPServer | None = None

    @property
    def store(self) -> Store:
        """The state of the store."""
        return self._store

    @property
    def address(self) -> str:
        """The host and port of the service."""
        return f'{_LOOPBACK}:{self._port}'

    @property
    def is_listening(self) -> bool:
        """Whether the port is open."""
        return self._server is not None

    def listen(self) -> None:
        """Opens the port."""
        handler_options = {'platform': self}
        application = web.Application(
            [
                ('/api/kv-range', RangeHandler, handler_options),
                ('/api/kv-watch', WatchHandler, handler_options),
            ],
            log_function=_discard_log_entry,
        )
        self._server = HTTPServer(application)
        self._server.add_sockets(bind_sockets(self._port, _LOOPBACK))

    async def stop_listening(self) -> None:
        """Closes the port and every connection."""
        server, self._server = self._server, None
        if server is not None:
            server.stop()
            await server.close_all_connections()

    def put(self, key: str, text: str | None) -> None:
        """Sets a key, or deletes it when the text is None."""
        self._store.put(key, text)
        self.wake_watches()

    def wake_watches(self) -> None:
        """Makes every pending watch check for changes."""
        self._change_event.set()
        self._change_event = asyncio.Event()

    async def wait_for_change(self, seconds: float) -> None:
        """Returns at the next change, or after ``seconds`` without one."""
        try:
            await asyncio.wait_for(self._change_event.wait(), max(0, seconds))
        except TimeoutError:
            return


class _ReadHandler(web.RequestHandler):
    def initialize(self, platform: Platform) -> None:
        self._platform = platform
        self._store = platform.store

    async def prepare(self) -> None:
        self._store.count_call(self.request.path.rpartition('/')[2])
        self.set_header(_EPOCH_HEADER, str(self._store.epoch))
        faults = self._store.faults
        if faults.is_hanging:
            await asyncio.Event().wait()
        if faults.refusal_status is not None:
            self.set_status(faults.refusal_status)
            self.finish()


@final
class RangeHandler(_ReadHandler):
    """Lists the keys under a prefix, one page per call."""

    def get(self) -> None:
        """Answers with the page that follows the key ``after``."""
        values = visible_values(
            self._store,
            self.get_query_argument('prefix'),
            self.get_query_argument('after', ''),
        )
        page = values[: self._store.page_items]
        self.finish(
            {
                'items': _encode_items(page),
                'hasMore': len(page) < len(values),
                'asOf': visible_revision(self._store),
            }
        )


@final
class WatchHandler(_ReadHandler):
    """Long-polls for changes under a prefix."""

    async def get(self) -> None:
        """Answers with the changes after a revision, or with none at timeout.

        A revision in the discarded history, or one that the store has not
        reached, is answered with status 410.
        """
        prefix = self.get_query_argument('prefix')
        after = int(self.get_query_argument('after'))
        known = self._store.compacted_revision, self._store.newest_revision
        is_forgetful = self._store.faults.is_forgetful
        if is_forgetful or not known[0] <= after <= known[1]:
            self.set_status(_GONE_STATUS)
            return
        wait_seconds = int(self.get_query_argument('waitMs')) / _MS_PER_SECOND
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_seconds
        events = self._visible_changes(prefix, after)
        while not events and loop.time() < deadline:
            await self._platform.wait_for_change(deadline - loop.time())
            events = self._visible_changes(prefix, after)
        faults = self._store.faults
        if faults.is_hanging:
            await asyncio.Event().wait()
        as_of = after if faults.omits_changes else visible_revision(self._store)
        self.finish({'events': _encode_items(events), 'asOf': as_of})

    def _visible_changes(self, prefix: str, after: int) -> tuple[KeyValue, ...]:
        if self._store.faults.omits_changes:
            return ()
        return changed_values(self._store, prefix, after)


class _ControlHandler(web.RequestHandler):
    def initialize(self, platform: Platform) -> None:
        self._platform = platform


@final
class PutHandler(_ControlHandler):
    """Sets keys; the body maps keys to texts, and null deletes a key."""

    def post(self) -> None:
        """Sets each key, in the order of the body."""
        values: dict[str, str | None] = json.loads(self.request.body)
        for key, text in values.items():
            if text is not None and len(text.encode()) > MAX_VALUE_BYTES:
                raise web.HTTPError(413)
            self._platform.put(key, text)
        self.finish({})


@final
class PlatformFaultHandler(_ControlHandler):
    """Injects a fault; the body has ``fault`` and ``argument``."""

    async def post(self) -> None:
        """Injects the fault; ``refuse`` closes the port, others reopen it."""
        fault_options = json.loads(self.request.body)
        if fault_options['fault'] == 'refuse':
            await self._platform.stop_listening()
        else:
            fault = PLATFORM_FAULTS.find(fault_options['fault'])
            fault(self._platform.store, str(fault_options.get('argument', '')))
            if not self._platform.is_listening:
                self._platform.listen()
        self._platform.wake_watches()
        self.finish({})


@final
class CallsHandler(_ControlHandler):
    """Returns the number of calls to the store."""

    def get(self) -> None:
        """Answers with the counts by kind and the newest revision."""
        store = self._platform.store
        answer: dict[str, Any] = {
            'calls': dict(store.calls),
            'revision': store.newest_revision,
        }
        self.finish(answer)


async def serve_platform(port: int, control_port: int) -> None:
    """Serves the store and its control until the process ends."""
    platform = Platform(Store(), port)
    platform.listen()
    handler_options = {'platform': platform}
    control = web.Application(
        [
            ('/control/put', PutHandler, handler_options),
            ('/control/fault', PlatformFaultHandler, handler_options),
            ('/control/calls', CallsHandler, handler_options),
        ],
        log_function=_discard_log_entry,
    )
    control.listen(control_port, _LOOPBACK)
    await asyncio.Event().wait()


def _encode_items(values: Sequence[KeyValue]) -> list[dict[str, Any]]:
    return [_encode_item(value) for value in values]


def _encode_item(value: KeyValue) -> dict[str, Any]:
    item: dict[str, Any] = {'key': value.key, 'revision': value.revision}
    if value.text is None:
        return {**item, 'deleted': True}
    encoded = base64.b64encode(value.text.encode()).decode()
    return {**item, 'value': encoded, 'createRev': value.revision, 'lease': 0}


def _discard_log_entry(handler: web.RequestHandler) -> None:
    """Drops the access log entry of a request."""
