"""Assembles one entry instance: its state, listeners and tasks."""

import asyncio
import functools
import signal
import time
from collections.abc import Callable
from typing import Final, final

import structlog
from tornado import httpserver

from chervilstep.adapters.admin import new_admin
from chervilstep.adapters.capabilities import load_capabilities
from chervilstep.adapters.dispatcher import new_dispatcher
from chervilstep.adapters.entry import EntryFront, new_entry_front
from chervilstep.adapters.peers import PeerStreams, new_peer_streams
from chervilstep.adapters.pool import HttpPool, new_pool
from chervilstep.adapters.prober import new_prober
from chervilstep.adapters.sources import new_source
from chervilstep.adapters.streams import split_address
from chervilstep.adapters.ticker import new_ticker
from chervilstep.hooks import FAREWELLS
from chervilstep.node import Node, new_node
from chervilstep.queries.locator import KEEP_SECONDS
from chervilstep.queries.trust import is_trusted
from chervilstep.settings import Settings
from chervilstep.types import Deadline, Instant, new_deadline

#: How long the leases of the customers' limits take to be handed over.
HAND_OVER_SECONDS: Final = 10
#: How long requests in flight may take to end during a planned stop.
FINISH_SECONDS: Final = 30
#: How often a stopping instance looks whether it may go.
STOP_POLL_SECONDS: Final = 0.05
#: The largest body that is read in order to be thrown away.
DISCARD_LIMIT_BYTES: Final = 64 * 1024 * 1024
IDLE_CONNECTION_SECONDS: Final = 600
BODY_SECONDS: Final = 30
#: Heads above the limit of the settings, up to this many times, are read so
#: that they can be refused with a reason.
HEADER_GRACE: Final = 4

_log = structlog.get_logger()


@final
class RunningInstance:
    """One entry instance with everything that it runs on the loop."""

    __slots__ = (
        '_admin',
        '_clock',
        '_entry',
        '_front',
        '_node',
        '_peers',
        '_pool',
        '_stopping',
        '_tasks',
        '_ticker',
    )

    def __init__(self, node: Node, clock: Callable[[], Instant]) -> None:
        """Builds the parts; nothing listens yet."""
        self._node = node
        self._clock = clock
        self._pool = new_pool(
            node.settings, clock, functools.partial(is_trusted, node)
        )
        dispatcher = new_dispatcher(node, self._pool, clock)
        self._front = new_entry_front(node, dispatcher.handle, clock)
        self._entry = httpserver.HTTPServer(
            self._front,
            idle_connection_timeout=IDLE_CONNECTION_SECONDS,
            body_timeout=BODY_SECONDS,
            max_header_size=HEADER_GRACE * node.settings.header_limit_bytes,
            max_body_size=DISCARD_LIMIT_BYTES,
        )
        self._admin = httpserver.HTTPServer(new_admin(node, clock))
        self._peers = new_peer_streams(node, clock)
        self._tasks: list[asyncio.Task[None]] = []
        self._ticker = new_ticker(node, clock)
        self._stopping = asyncio.Event()

    @property
    def node(self) -> Node:
        """The state of the instance."""
        return self._node

    @property
    def front(self) -> EntryFront:
        """The front end for callers."""
        return self._front

    @property
    def peers(self) -> PeerStreams:
        """The streams to other instances."""
        return self._peers

    @property
    def pool(self) -> HttpPool:
        """The connections to upstreams."""
        return self._pool

    def start(self) -> None:
        """Listens and starts every task."""
        settings = self._node.settings
        _listen(self._admin, settings.admin_address)
        _listen(self._peers, settings.peer_address)
        _listen(self._entry, settings.entry_address)
        self._start_tasks()
        _log.info('started', name=settings.name, zone=settings.zone)

    def request_stop(self) -> None:
        """Begins a planned stop; a second call changes nothing."""
        self._stopping.set()

    async def serve(self) -> None:
        """Serves until a planned stop was requested, then stops."""
        await self._stopping.wait()
        _log.info('stopping', name=self._node.settings.name)
        self._farewell()
        # Callers may still hold an answer that names this instance, and its
        # borrowers return their tokens before it can hand its leases over.
        await self._outlast(
            new_deadline(self._clock(), max(KEEP_SECONDS, HAND_OVER_SECONDS))
        )
        self._entry.stop()
        await self._drain(new_deadline(self._clock(), FINISH_SECONDS))
        await self._close()
        _log.info('stopped', name=self._node.settings.name)

    def _start_tasks(self) -> None:
        loop = asyncio.get_running_loop()
        source = new_source(self._node)
        self._ticker.start()
        self._tasks.append(loop.create_task(source.run()))
        self._tasks.append(loop.create_task(self._peers.run()))
        prober = new_prober(self._node, self._clock)
        self._tasks.append(loop.create_task(prober.run()))

    async def _stop_tasks(self) -> None:
        self._ticker.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _farewell(self) -> None:
        for command in FAREWELLS:
            command(self._node, self._clock())
        self._peers.flush()

    async def _outlast(self, deadline: Deadline) -> None:
        while not deadline.has_passed(self._clock()):
            await asyncio.sleep(STOP_POLL_SECONDS)

    async def _drain(self, deadline: Deadline) -> None:
        while self._front.in_flight:
            if deadline.has_passed(self._clock()):
                return
            await asyncio.sleep(STOP_POLL_SECONDS)

    async def _close(self) -> None:
        """Hands over what came back meanwhile, then ends everything."""
        self._farewell()
        await asyncio.sleep(STOP_POLL_SECONDS)
        await self._stop_tasks()
        self._peers.close()
        self._admin.stop()
        self._pool.close()
        await self._entry.close_all_connections()


def new_instance(settings: Settings) -> RunningInstance:
    """Builds an instance with these settings."""
    load_capabilities()
    return RunningInstance(new_node(settings), time.monotonic)


async def serve_until_signalled(settings: Settings) -> None:
    """Runs an instance until SIGTERM or SIGINT, then stops it in order."""
    instance = new_instance(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, instance.request_stop)
    instance.start()
    await instance.serve()


def _listen(server: httpserver.HTTPServer | PeerStreams, address: str) -> None:
    host, port = split_address(address)
    server.listen(port, host)
