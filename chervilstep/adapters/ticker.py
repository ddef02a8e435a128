"""Runs the periodic commands on the event loop."""

import asyncio
from collections.abc import Callable
from typing import Final, final

import structlog

from chervilstep.hooks import TICKS, Tick
from chervilstep.node import Node
from chervilstep.types import Instant

#: Commands that are due within this time of each other share a wake-up, since
#: a wake-up costs more than most commands.
WAKE_PERIOD_SECONDS: Final = 0.05
#: Periods vary by up to this fraction, so that instances that started together
#: do not all send at the same time.
JITTER_FRACTION: Final = 0.1

_log = structlog.get_logger()


@final
class Ticker:
    """Wakes up periodically and runs the commands that are due."""

    __slots__ = ('_clock', '_due_at', '_timer', '_node')

    def __init__(self, node: Node, clock: Callable[[], Instant]) -> None:
        """Creates a ticker of the registered commands, not started yet."""
        self._node = node
        self._clock = clock
        self._due_at: dict[str, Instant] = {}
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Starts the ticker; each command first runs after one period."""
        now = self._clock()
        for name in TICKS.names:
            self._due_at[name] = now + self._delay_seconds(TICKS.find(name))
        self._schedule_wake()

    def stop(self) -> None:
        """Stops the ticker."""
        if self._timer is not None:
            self._timer.cancel()

    def run_due(self) -> None:
        """Runs each due command once, however many periods were missed."""
        now = self._clock()
        for name, due_at in self._due_at.items():
            if due_at <= now:
                tick = TICKS.find(name)
                self._due_at[name] = now + self._delay_seconds(tick)
                self._run(name, tick)

    def _wake(self) -> None:
        self.run_due()
        self._schedule_wake()

    def _schedule_wake(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(WAKE_PERIOD_SECONDS, self._wake)

    def _run(self, name: str, tick: Tick) -> None:
        try:
            tick.command(self._node, self._clock())
        except Exception:
            # A failure must not stop other commands or later runs of this one.
            self._node.counters.add('tick_faults', tick=name)
            _log.exception('tick_failed', tick=name)

    def _delay_seconds(self, tick: Tick) -> float:
        jitter = self._node.rng.uniform(
            1 - JITTER_FRACTION, 1 + JITTER_FRACTION
        )
        # Half a wake-up period is deducted, since a command runs at the first
        # wake-up after its due time.
        return max(0, tick.period_seconds * jitter - WAKE_PERIOD_SECONDS / 2)


def new_ticker(node: Node, clock: Callable[[], Instant]) -> Ticker:
    """Creates the ticker of a node."""
    return Ticker(node, clock)
