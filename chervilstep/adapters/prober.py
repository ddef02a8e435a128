"""Sends the scheduled load probes to upstreams."""

import asyncio
import json
from collections.abc import Callable
from typing import Final, final

from tornado.httpclient import AsyncHTTPClient
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from chervilstep.adapters.streams import NumericResolver
from chervilstep.commands.probes import (
    record_probe_failure,
    record_probe_result,
    record_probe_sent,
)
from chervilstep.node import Node
from chervilstep.probe_messages import MAX_IN_FLIGHT
from chervilstep.queries.probes import probes_due
from chervilstep.services import Upstream
from chervilstep.types import Instant

#: The interval between two searches for due probes.
POLL_PERIOD_SECONDS: Final = 0.25
PROBE_TIMEOUT_SECONDS: Final = 0.5
MAX_CONCURRENT_PROBES: Final = 16
MAX_ANSWER_BYTES: Final = 4096


@final
class Prober:
    """Sends the probes that are due, each in a task of its own."""

    __slots__ = ('_client', '_clock', '_node', '_tasks')

    def __init__(self, node: Node, clock: Callable[[], Instant]) -> None:
        """Creates the prober of a node, with no probe sent yet."""
        self._node = node
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()
        self._client: AsyncHTTPClient = SimpleAsyncHTTPClient(
            force_instance=True,
            resolver=NumericResolver(),
            max_clients=MAX_CONCURRENT_PROBES,
            max_body_size=MAX_ANSWER_BYTES,
        )

    async def run(self) -> None:
        """Sends due probes until cancelled, then closes the client."""
        try:
            await self._probe_forever()
        except asyncio.CancelledError:
            for task in self._tasks:
                task.cancel()
            self._client.close()
            raise

    async def _probe_forever(self) -> None:
        while True:
            self._start_due_probes()
            await asyncio.sleep(POLL_PERIOD_SECONDS)

    def _start_due_probes(self) -> None:
        loop = asyncio.get_running_loop()
        now = self._clock()
        for upstream in probes_due(self._node, now):
            if len(self._tasks) >= MAX_CONCURRENT_PROBES:
                return
            record_probe_sent(self._node, upstream.name, now)
            task = loop.create_task(self._probe(upstream))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _probe(self, upstream: Upstream) -> None:
        try:
            in_flight = await self._fetch_in_flight(upstream)
        except Exception:
            # An unexpected answer of one upstream must not stop the probes of
            # other upstreams.
            record_probe_failure(self._node, upstream.name, self._clock())
        else:
            record_probe_result(
                self._node, upstream.name, in_flight, self._clock()
            )

    async def _fetch_in_flight(self, upstream: Upstream) -> int:
        response = await self._client.fetch(
            f'http://{upstream.address}/load',
            connect_timeout=PROBE_TIMEOUT_SECONDS,
            request_timeout=PROBE_TIMEOUT_SECONDS,
            follow_redirects=False,
        )
        return parse_in_flight(response.body)


def parse_in_flight(body: bytes) -> int:
    """Parses the number of requests in flight in the answer to a probe.

    Raises:
        ValueError: The answer is not a valid load report.
    """
    report = json.loads(body)
    if not isinstance(report, dict):
        raise ValueError('Load report is not a JSON object.')
    in_flight = report.get('in_flight')
    if not isinstance(in_flight, int) or isinstance(in_flight, bool):
        raise ValueError('Load report has no integer "in_flight".')
    if not 0 <= in_flight <= MAX_IN_FLIGHT:
        raise ValueError('Load report has an "in_flight" out of range.')
    return in_flight


def new_prober(node: Node, clock: Callable[[], Instant]) -> Prober:
    """Creates the prober of a node."""
    return Prober(node, clock)
