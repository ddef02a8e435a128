"""Assembles one entry instance: its state, listeners and tasks."""

import asyncio
import functools
import signal
import time
from collections.abc import Callable
from typing import Final, final

import structlog

from chervilstep.adapters.capabilities import load_capabilities
from chervilstep.adapters.dispatcher import new_dispatcher
from chervilstep.adapters.edge import EDGES, Edge
from chervilstep.adapters.eventlog import new_event_log
from chervilstep.adapters.health import new_health_checker
from chervilstep.adapters.peers import PeerStreams, new_peer_streams
from chervilstep.adapters.pool import HttpPool, new_pool
from chervilstep.adapters.runners import new_runners
from chervilstep.adapters.streams import split_address
from chervilstep.adapters.ticker import new_ticker
from chervilstep.commands.gossip import join
from chervilstep.hooks import SHUTDOWN_STEPS
from chervilstep.node import Node, new_node
from chervilstep.queries.connections import is_trusted
from chervilstep.settings import Settings
from chervilstep.types import Deadline, Instant, new_deadline

#: How often a stopping instance looks whether it may go.
STOP_POLL_SECONDS: Final = 0.05

_log = structlog.get_logger()


@final
class RunningInstance:
    """One entry instance with everything that it runs on the loop."""

    __slots__ = (
        '_checker',
        '_clock',
        '_edge',
        '_events',
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
        self._checker = new_health_checker(node, clock)
        dispatcher = new_dispatcher(node, self._pool, clock, self._checker)
        new_edge = EDGES.find(node.settings.edge)
        self._edge = new_edge(node, dispatcher.handle, clock)
        self._events = new_event_log(node)
        self._peers = new_peer_streams(node, clock)
        self._tasks: list[asyncio.Task[None]] = []
        self._ticker = new_ticker(node, clock)
        self._stopping = asyncio.Event()

    @property
    def node(self) -> Node:
        """The state of the instance."""
        return self._node

    @property
    def edge(self) -> Edge:
        """The front end for callers."""
        return self._edge

    @property
    def peers(self) -> PeerStreams:
        """The streams to other instances."""
        return self._peers

    @property
    def pool(self) -> HttpPool:
        """The connections to upstreams."""
        return self._pool

    def start(self) -> None:
        """Joins the fleet, listens and starts every task."""
        settings = self._node.settings
        join(self._node, self._clock())
        host, port = split_address(settings.peer_address)
        self._peers.listen(port, host)
        self._edge.listen()
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
        # Callers may still hold an answer that names this instance.
        stopping = self._node.settings.shutdown_timeouts
        await self._outlast(
            new_deadline(self._clock(), stopping.lame_duck_seconds)
        )
        self._edge.stop()
        await self._drain(new_deadline(self._clock(), stopping.drain_seconds))
        await self._close()
        _log.info('stopped', name=self._node.settings.name)

    def _start_tasks(self) -> None:
        loop = asyncio.get_running_loop()
        self._ticker.start()
        self._events.start()
        runners = new_runners(self._node, self._clock)
        self._tasks.extend(
            loop.create_task(runner.run())
            for runner in (*runners, self._checker, self._peers)
        )

    async def _stop_tasks(self) -> None:
        self._ticker.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _farewell(self) -> None:
        for command in SHUTDOWN_STEPS:
            command(self._node, self._clock())
        self._edge.leave()
        self._peers.flush()

    async def _outlast(self, deadline: Deadline) -> None:
        while not deadline.has_passed(self._clock()):
            await asyncio.sleep(STOP_POLL_SECONDS)

    async def _drain(self, deadline: Deadline) -> None:
        self._edge.retire()
        while self._edge.in_flight:
            if deadline.has_passed(self._clock()):
                return
            self._edge.retire()
            await asyncio.sleep(STOP_POLL_SECONDS)

    async def _close(self) -> None:
        """Hands over what came back meanwhile, then ends everything."""
        self._farewell()
        await asyncio.sleep(STOP_POLL_SECONDS)
        await self._stop_tasks()
        self._peers.close()
        self._pool.close()
        await self._edge.close()
        self._events.stop()


def new_instance(settings: Settings) -> RunningInstance:
    """Builds an instance with these settings and every capability."""
    load_capabilities()
    return RunningInstance(new_node(settings), time.monotonic)


def new_bare_instance(settings: Settings) -> RunningInstance:
    """Builds an instance with the capabilities that were loaded."""
    return RunningInstance(new_node(settings), time.monotonic)


async def serve_until_signalled(settings: Settings) -> None:
    """Runs an instance until SIGTERM or SIGINT, then stops it in order."""
    await serve_instance(new_instance(settings))


async def serve_instance(instance: RunningInstance) -> None:
    """Runs an instance until SIGTERM or SIGINT, then stops it in order."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, instance.request_stop)
    instance.start()
    await instance.serve()
