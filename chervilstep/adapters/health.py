"""Asks upstreams for their health, load and speed."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Final, final

from chervilstep.adapters.dialect import new_dialect
from chervilstep.adapters.kept import Fetched, KeptClient
from chervilstep.commands.health import (
    record_failed_check,
    record_health_check,
    record_moved_address,
)
from chervilstep.exceptions import FetchError
from chervilstep.node import Node
from chervilstep.queries.health import (
    CHECK_PERIOD_SECONDS,
    configured_upstreams,
    upstreams_to_check,
)
from chervilstep.services import Service, Upstream
from chervilstep.types import Deadline, Instant, new_deadline

#: How often it is looked up which checks are due.
REVIEW_SECONDS: Final = 0.25
#: How long an upstream may take to answer a check.
CHECK_SECONDS: Final = 0.5
#: How long a call waits for the answers of those asked on its behalf.
SCOUT_SECONDS: Final = 0.03
MAX_ANSWER_BYTES: Final = 4096


@final
class HealthChecker:
    """Checks upstreams regularly, and others when a call is placed.

    There is at most one check of an upstream at a time, on one connection.
    """

    __slots__ = ('_clients', '_clock', '_dialect', '_due', '_node', '_pending')

    def __init__(self, node: Node, clock: Callable[[], Instant]) -> None:
        """Creates a checker that has sent nothing."""
        self._node = node
        self._clock = clock
        self._dialect = new_dialect(node.settings.dialect)
        self._clients: dict[str, KeptClient] = {}
        self._pending: dict[str, asyncio.Task[None]] = {}
        self._due: dict[str, Deadline] = {}

    async def run(self) -> None:
        """Checks until cancelled."""
        with contextlib.closing(self):
            while True:
                self._review()
                await asyncio.sleep(REVIEW_SECONDS)

    async def scout(self, service: str, upstreams: Iterable[Upstream]) -> None:
        """Asks upstreams of a service, and waits a moment for the answers."""
        found = self._node.snapshot.services.get(service)
        if found is not None:
            tasks = [self._start(found, each) for each in upstreams]
            await asyncio.wait(tasks, timeout=SCOUT_SECONDS)

    def close(self) -> None:
        """Ends every check."""
        for task in self._pending.values():
            task.cancel()
        for client in self._clients.values():
            client.close()

    def _review(self) -> None:
        now = self._clock()
        known = configured_upstreams(self._node)
        for name in set(self._clients) - known:
            self._clients.pop(name).close()
            self._due.pop(name, None)
        for name, (service, upstream) in upstreams_to_check(self._node).items():
            due = self._due.get(name)
            if due is None or due.has_passed(now):
                self._start(service, upstream)

    def _start(
        self, service: Service, upstream: Upstream
    ) -> 'asyncio.Task[None]':
        name = upstream.name
        pending = self._pending.get(name)
        if pending is None or pending.done():
            now = self._clock()
            self._due[name] = new_deadline(now, CHECK_PERIOD_SECONDS)
            pending = asyncio.create_task(self._check(service, upstream))
            self._pending[name] = pending
        return pending

    async def _check(self, service: Service, upstream: Upstream) -> None:
        client = self._clients.get(upstream.name)
        if client is None:
            client = KeptClient(upstream.address, MAX_ANSWER_BYTES)
            self._clients[upstream.name] = client
        self._node.counters.add('health_checks', service=service.name)
        try:
            fetched = await client.get(service.health_path, CHECK_SECONDS)
        except FetchError:
            self._node.counters.add('health_failures', service=service.name)
            record_failed_check(
                self._node, service, upstream.name, self._clock()
            )
        else:
            self._take(service, upstream, fetched)

    def _take(
        self, service: Service, upstream: Upstream, fetched: Fetched
    ) -> None:
        now = self._clock()
        found = self._dialect.identity(fetched.headers)
        if found is not None and found != upstream.identity:
            record_moved_address(self._node, upstream.name, now)
            return
        report = self._dialect.report(fetched.headers, now)
        is_well = fetched.status == HTTPStatus.OK
        record_health_check(
            self._node,
            service,
            upstream.name,
            report if is_well else None,
            self._dialect.cold_seconds(fetched.headers),
            now,
        )


def new_health_checker(
    node: Node, clock: Callable[[], Instant]
) -> HealthChecker:
    """Creates the checker of a node."""
    return HealthChecker(node, clock)
