"""Runs the periodic commands on the loop."""

import asyncio
from collections.abc import Callable
from typing import Final

import structlog

from chervilstep.hooks import TICKS, Tick
from chervilstep.node import Node
from chervilstep.types import Instant

#: Ticks drift apart by up to this part of their period, so that instances
#: that started together do not all speak at once.
JITTER_PART: Final = 0.1

_log = structlog.get_logger()


async def run_tick(
    node: Node, name: str, tick: Tick, clock: Callable[[], Instant]
) -> None:
    """Runs one periodic command until cancelled."""
    while True:
        jitter = node.rng.uniform(1 - JITTER_PART, 1 + JITTER_PART)
        await asyncio.sleep(tick.period_seconds * jitter)
        try:
            tick.command(node, clock())
        except Exception:
            # One faulty command must not stop the others, nor itself.
            node.counters.add('tick_faults', tick=name)
            _log.exception('tick_failed', tick=name)


def start_ticks(
    node: Node, clock: Callable[[], Instant]
) -> list[asyncio.Task[None]]:
    """Starts every registered periodic command."""
    loop = asyncio.get_running_loop()
    return [
        loop.create_task(run_tick(node, name, TICKS.find(name), clock))
        for name in TICKS.names
    ]
