"""The background tasks of an instance."""

import asyncio
from collections.abc import Callable
from typing import Final

import structlog

from chervilstep.adapters.dialect import NATIVE
from chervilstep.adapters.prober import new_prober
from chervilstep.adapters.source import Source
from chervilstep.adapters.sources import new_source
from chervilstep.node import Node
from chervilstep.types import Instant

#: The pause before a task that failed is started again.
RESTART_DELAY_SECONDS: Final = 0.5

_log = structlog.get_logger()


async def keep_running(runner: Source, node: Node) -> None:
    """Runs a task until cancelled; starts it again after an unexpected error.

    Otherwise an error would end it silently, and the instance would serve on
    without its configuration, health checks or peers.
    """
    while True:
        try:
            await runner.run()
        except Exception:
            node.counters.add('task_faults', task=type(runner).__name__)
            _log.exception('task_failed', task=type(runner).__name__)
        else:
            return
        await asyncio.sleep(RESTART_DELAY_SECONDS)


def new_runners(node: Node, clock: Callable[[], Instant]) -> list[Source]:
    """Creates the objects that run in tasks until the instance stops."""
    runners: list[Source] = [new_source(node)]
    if node.settings.dialect == NATIVE:
        runners.append(new_prober(node, clock))
    return runners
