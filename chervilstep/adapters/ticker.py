"""Runs the periodic commands on the loop."""

import asyncio
from collections.abc import Callable
from typing import Final, final

import structlog

from chervilstep.hooks import TICKS, Tick
from chervilstep.node import Node
from chervilstep.types import Instant

#: Commands that are due within this time of each other share a wake-up, of
#: which each costs more than most commands do.
WAKE_SECONDS: Final = 0.05
#: Periods vary by up to this part, so that instances that started together do
#: not all speak at once.
JITTER_PART: Final = 0.1

_log = structlog.get_logger()


@final
class Ticker:
    """Wakes up at regular instants and runs the commands that are due."""

    __slots__ = ('_clock', '_due_at', '_handle', '_node')

    def __init__(self, node: Node, clock: Callable[[], Instant]) -> None:
        """Creates a ticker of every registered command; none runs yet."""
        self._node = node
        self._clock = clock
        self._due_at: dict[str, Instant] = {}
        self._handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begins; each command first runs after one period."""
        now = self._clock()
        for name in TICKS.names:
            self._due_at[name] = now + self._pause(TICKS.find(name))
        self._sleep()

    def stop(self) -> None:
        """Runs nothing more."""
        if self._handle is not None:
            self._handle.cancel()

    def run_due(self) -> None:
        """Runs each command that is due, once however late it is."""
        now = self._clock()
        for name, due_at in self._due_at.items():
            if due_at <= now:
                tick = TICKS.find(name)
                self._due_at[name] = now + self._pause(tick)
                self._run(name, tick)

    def _wake(self) -> None:
        self.run_due()
        self._sleep()

    def _sleep(self) -> None:
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(WAKE_SECONDS, self._wake)

    def _run(self, name: str, tick: Tick) -> None:
        try:
            tick.command(self._node, self._clock())
        except Exception:
            # One faulty command must not stop the others, nor itself.
            self._node.counters.add('tick_faults', tick=name)
            _log.exception('tick_failed', tick=name)

    def _pause(self, tick: Tick) -> float:
        jitter = self._node.rng.uniform(1 - JITTER_PART, 1 + JITTER_PART)
        # Half a wake-up earlier, since a command runs at the next one.
        return max(0, tick.period_seconds * jitter - WAKE_SECONDS / 2)


def new_ticker(node: Node, clock: Callable[[], Instant]) -> Ticker:
    """Creates the ticker of a node."""
    return Ticker(node, clock)
