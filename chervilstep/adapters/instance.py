"""Assembles an entry instance: its state, listeners and tasks."""

import asyncio
import functools
import signal
import time
from collections.abc import Callable
from typing import Final, final

import structlog

from chervilstep.adapters.buffering import reserve_answer
from chervilstep.adapters.capabilities import load_capabilities
from chervilstep.adapters.dispatcher import new_dispatcher
from chervilstep.adapters.edge import EDGES, Edge
from chervilstep.adapters.eventlog import new_event_log
from chervilstep.adapters.health import new_health_checker
from chervilstep.adapters.peers import PeerStreams, new_peer_streams
from chervilstep.adapters.pool import HttpPool, new_pool
from chervilstep.adapters.runners import keep_running, new_runners
from chervilstep.adapters.streams import split_address
from chervilstep.adapters.ticker import new_ticker
from chervilstep.commands.gossip import join
from chervilstep.hooks import SHUTDOWN_HOOKS
from chervilstep.node import Node, new_node
from chervilstep.queries.connections import is_trusted
from chervilstep.settings import Settings
from chervilstep.types import Instant

#: The interval between two checks of the progress of a shutdown.
STOP_POLL_PERIOD_SECONDS: Final = 0.05

_log = structlog.get_logger()


@final
class RunningInstance:
    """An entry instance with its listeners and tasks on the event loop."""

    __slots__ = (
        '_health_checker',
        '_clock',
        '_edge',
        '_event_log',
        '_node',
        '_peers',
        '_pool',
        '_stop_requested',
        '_tasks',
        '_ticker',
    )

    def __init__(self, node: Node, clock: Callable[[], Instant]) -> None:
        """Builds the components, without listening yet."""
        self._node = node
        self._clock = clock
        self._pool = new_pool(
            node.settings,
            clock,
            functools.partial(is_trusted, node),
            functools.partial(reserve_answer, node, clock),
        )
        self._health_checker = new_health_checker(node, clock)
        dispatcher = new_dispatcher(
            node, self._pool, clock, self._health_checker
        )
        new_edge = EDGES.find(node.settings.edge)
        self._edge = new_edge(node, dispatcher.handle, clock)
        self._event_log = new_event_log(node)
        self._peers = new_peer_streams(node, clock)
        self._tasks: list[asyncio.Task[None]] = []
        self._ticker = new_ticker(node, clock)
        self._stop_requested = asyncio.Event()

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
        """Requests a planned stop; further calls have no effect."""
        self._stop_requested.set()

    async def serve(self) -> None:
        """Serves until a planned stop is requested, then shuts down."""
        await self._stop_requested.wait()
        _log.info('stopping', name=self._node.settings.name)
        self._run_shutdown_hooks()
        # Callers may still have the address of this instance in an answer of
        # the locator, so it serves them during the lame-duck period.
        await self._wait_lame_duck()
        self._edge.stop_accepting()
        await self._drain()
        await self._close()
        _log.info('stopped', name=self._node.settings.name)

    def _start_tasks(self) -> None:
        loop = asyncio.get_running_loop()
        self._ticker.start()
        self._event_log.start()
        runners = new_runners(self._node, self._clock)
        self._tasks.extend(
            loop.create_task(keep_running(runner, self._node))
            for runner in (*runners, self._health_checker, self._peers)
        )

    async def _stop_tasks(self) -> None:
        self._ticker.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _run_shutdown_hooks(self) -> None:
        for command in SHUTDOWN_HOOKS:
            command(self._node, self._clock())
        self._edge.enter_lame_duck()
        self._peers.flush()

    async def _wait_lame_duck(self) -> None:
        deadline = self._node.members.shutdown.accepts_until
        while deadline and not deadline.has_passed(self._clock()):
            await asyncio.sleep(STOP_POLL_PERIOD_SECONDS)

    async def _drain(self) -> None:
        # Connections that were just accepted have not been read yet.
        await asyncio.sleep(STOP_POLL_PERIOD_SECONDS)
        self._edge.close_idle()
        deadline = self._node.members.shutdown.answers_until
        while self._edge.in_flight:
            if deadline and deadline.has_passed(self._clock()):
                self._node.events.add(
                    'shutdown_overdue', open_count=self._edge.in_flight
                )
                return
            self._edge.close_idle()
            await asyncio.sleep(STOP_POLL_PERIOD_SECONDS)

    async def _close(self) -> None:
        """Sends state that changed in the drain to peers, then closes all."""
        self._run_shutdown_hooks()
        await asyncio.sleep(STOP_POLL_PERIOD_SECONDS)
        await self._stop_tasks()
        self._peers.close()
        self._pool.close()
        await self._edge.close()
        self._event_log.stop()


def new_instance(settings: Settings) -> RunningInstance:
    """Loads all capabilities and builds an instance."""
    load_capabilities()
    return RunningInstance(new_node(settings), time.monotonic)


def new_preloaded_instance(settings: Settings) -> RunningInstance:
    """Builds an instance with the capabilities that are already loaded."""
    return RunningInstance(new_node(settings), time.monotonic)


async def serve_until_signalled(settings: Settings) -> None:
    """Builds an instance and runs it until SIGTERM or SIGINT."""
    await serve_instance(new_instance(settings))


async def serve_instance(instance: RunningInstance) -> None:
    """Runs an instance until SIGTERM or SIGINT, then shuts it down."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, instance.request_stop)
    instance.start()
    await instance.serve()
