"""Checks upstreams whose answers tell their load and speed."""

import asyncio
import contextlib
from collections.abc import Callable
from http import HTTPStatus
from typing import Final, final

from chervilstep.adapters.dialect import new_dialect
from chervilstep.adapters.kept import Fetched, KeptClient
from chervilstep.commands.vitals import miss_health, move_away, take_health
from chervilstep.exceptions import FetchError
from chervilstep.node import Node
from chervilstep.queries.health import check_period, checked_upstreams
from chervilstep.services import Service, Upstream
from chervilstep.types import Instant

#: How often the upstreams to check are looked up.
REVIEW_SECONDS: Final = 0.25
#: How long an upstream may take to answer a check.
CHECK_SECONDS: Final = 0.5
#: The pause after a check without an answer.
RETRY_SECONDS: Final = 0.25
MAX_ANSWER_BYTES: Final = 4096


@final
class HealthChecker:
    """Runs one task for each upstream that this instance checks."""

    __slots__ = ('_clock', '_dialect', '_node', '_tasks')

    def __init__(self, node: Node, clock: Callable[[], Instant]) -> None:
        """Creates a checker that has sent nothing."""
        self._node = node
        self._clock = clock
        self._dialect = new_dialect(node.settings.dialect)
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Checks until cancelled."""
        with contextlib.closing(self):
            while True:
                self._review()
                await asyncio.sleep(REVIEW_SECONDS)

    def close(self) -> None:
        """Ends every check."""
        for task in self._tasks.values():
            task.cancel()

    def _review(self) -> None:
        wanted = checked_upstreams(self._node)
        for name, task in tuple(self._tasks.items()):
            if name not in wanted or task.done():
                task.cancel()
                self._tasks.pop(name)
        loop = asyncio.get_running_loop()
        for name, (service, upstream) in wanted.items():
            if name not in self._tasks:
                self._tasks[name] = loop.create_task(
                    self._follow(service, upstream)
                )

    async def _follow(self, service: Service, upstream: Upstream) -> None:
        client = KeptClient(upstream.address, MAX_ANSWER_BYTES)
        with contextlib.closing(client):
            while True:
                pause = await self._check(client, service, upstream)
                await asyncio.sleep(pause)

    async def _check(
        self, client: KeptClient, service: Service, upstream: Upstream
    ) -> float:
        """Checks once; returns the seconds until the next check."""
        self._node.counters.add('health_checks', service=service.name)
        try:
            fetched = await client.get(service.health_path, CHECK_SECONDS)
        except FetchError:
            self._node.counters.add('health_failures', service=service.name)
            miss_health(self._node, service, upstream.name, self._clock())
            return RETRY_SECONDS
        self._take(service, upstream, fetched)
        return check_period(self._node, service.name)

    def _take(
        self, service: Service, upstream: Upstream, fetched: Fetched
    ) -> None:
        now = self._clock()
        found = self._dialect.identity(fetched.headers)
        if found is not None and found != upstream.identity:
            move_away(self._node, upstream.name, now)
            return
        cold_seconds = self._dialect.cold_seconds(fetched.headers)
        report = self._dialect.report(fetched.headers, now)
        is_well = fetched.status == HTTPStatus.OK
        take_health(
            self._node,
            service,
            upstream.name,
            report if is_well else None,
            cold_seconds,
            now,
        )


def new_health_checker(
    node: Node, clock: Callable[[], Instant]
) -> HealthChecker:
    """Creates the checker of a node."""
    return HealthChecker(node, clock)
