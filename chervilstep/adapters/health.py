"""Active health checks of upstreams."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Final, final

from chervilstep.adapters.dialect import new_dialect
from chervilstep.adapters.keepalive import FetchedAnswer, KeepAliveClient
from chervilstep.commands.health import (
    record_broken_check,
    record_failed_check,
    record_health_check,
    record_moved_address,
)
from chervilstep.commands.notices import record_notice
from chervilstep.commands.throttling import record_checked_limit
from chervilstep.exceptions import BrokenAnswerError, FetchError
from chervilstep.node import Node
from chervilstep.queries.health import (
    CHECK_PERIOD_SECONDS,
    configured_upstreams,
    upstreams_to_check,
)
from chervilstep.queries.notices import is_paused
from chervilstep.services import Service, Upstream
from chervilstep.types import Deadline, Instant, new_deadline

#: The interval between two searches for due checks.
POLL_PERIOD_SECONDS: Final = 0.25
CHECK_TIMEOUT_SECONDS: Final = 0.5
#: The longest wait of a call for the answers to its placement probes.
PLACEMENT_TIMEOUT_SECONDS: Final = 0.03
MAX_ANSWER_BYTES: Final = 4096


@final
class HealthChecker:
    """Checks upstreams periodically, and on demand when a call is placed.

    Each upstream has at most one check at a time, on one connection.
    """

    __slots__ = (
        '_clients',
        '_clock',
        '_dialect',
        '_next_checks',
        '_node',
        '_check_tasks',
    )

    def __init__(self, node: Node, clock: Callable[[], Instant]) -> None:
        """Creates the checker of a node, with no check sent yet."""
        self._node = node
        self._clock = clock
        self._dialect = new_dialect(node.settings.dialect)
        self._clients: dict[str, KeepAliveClient] = {}
        self._check_tasks: dict[str, asyncio.Task[None]] = {}
        self._next_checks: dict[str, Deadline] = {}

    async def run(self) -> None:
        """Starts due checks until cancelled, then closes the checker."""
        with contextlib.closing(self):
            while True:
                self._start_due_checks()
                await asyncio.sleep(POLL_PERIOD_SECONDS)

    async def probe_for_placement(
        self, service: str, upstreams: Iterable[Upstream]
    ) -> None:
        """Checks upstreams of a service; waits briefly for the answers."""
        known = self._node.snapshot.services.get(service)
        if known is not None:
            tasks = [self._start_check(known, each) for each in upstreams]
            await asyncio.wait(tasks, timeout=PLACEMENT_TIMEOUT_SECONDS)

    def close(self) -> None:
        """Cancels every check and closes the connections."""
        for task in self._check_tasks.values():
            task.cancel()
        for client in self._clients.values():
            client.close()

    def _start_due_checks(self) -> None:
        now = self._clock()
        configured = configured_upstreams(self._node)
        for name in (*self._check_tasks, *self._clients):
            if name not in configured:
                self._forget(name)
        for name, (service, upstream) in upstreams_to_check(self._node).items():
            due = self._next_checks.get(name)
            if is_paused(self._node, name, now):
                # A check is a request as well.
                continue
            if due is None or due.has_passed(now):
                self._start_check(service, upstream)

    def _forget(self, name: str) -> None:
        """Drops what is kept for an upstream that is no longer configured."""
        task = self._check_tasks.pop(name, None)
        if task is not None:
            task.cancel()
        client = self._clients.pop(name, None)
        if client is not None:
            client.close()
        self._next_checks.pop(name, None)

    def _start_check(
        self, service: Service, upstream: Upstream
    ) -> 'asyncio.Task[None]':
        name = upstream.name
        task = self._check_tasks.get(name)
        if task is None or task.done():
            now = self._clock()
            self._next_checks[name] = new_deadline(now, CHECK_PERIOD_SECONDS)
            task = asyncio.create_task(self._check(service, upstream))
            self._check_tasks[name] = task
        return task

    async def _check(self, service: Service, upstream: Upstream) -> None:
        client = self._clients.get(upstream.name)
        if client is None:
            client = KeepAliveClient(upstream.address, MAX_ANSWER_BYTES)
            self._clients[upstream.name] = client
        self._node.counters.add('health_checks', service=service.name)
        requested_at = self._clock()
        try:
            fetched = await client.get(
                service.health_path, CHECK_TIMEOUT_SECONDS
            )
        except BrokenAnswerError as error:
            record_broken_check(
                self._node, service, upstream.name, str(error), self._clock()
            )
        except FetchError:
            self._node.counters.add('health_failures', service=service.name)
            record_failed_check(
                self._node, service, upstream.name, self._clock()
            )
        else:
            self._record_answer(service, upstream, fetched, requested_at)

    def _record_answer(
        self,
        service: Service,
        upstream: Upstream,
        fetched: FetchedAnswer,
        requested_at: Instant,
    ) -> None:
        now = self._clock()
        identity = self._dialect.identity(fetched.headers)
        if identity is not None and identity != upstream.identity:
            record_moved_address(self._node, upstream.name, now)
            return
        report = self._dialect.load_report(fetched.headers, now)
        is_healthy = fetched.status == HTTPStatus.OK
        record_health_check(
            self._node,
            service,
            upstream.name,
            report if is_healthy else None,
            self._dialect.cold_seconds(fetched.headers),
            now,
        )
        notice = self._dialect.notice(fetched.status, fetched.headers)
        record_notice(self._node, upstream.name, notice, now)
        limit = self._dialect.stated_limit(fetched.headers)
        record_checked_limit(
            self._node, upstream.name, limit, requested_at, now
        )


def new_health_checker(
    node: Node, clock: Callable[[], Instant]
) -> HealthChecker:
    """Creates the health checker of a node."""
    return HealthChecker(node, clock)
