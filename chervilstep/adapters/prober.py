"""Asks upstreams for their load, as the plan of probes says."""

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
from chervilstep.queries.probes import probes_due
from chervilstep.services import Upstream
from chervilstep.types import Instant

#: How often the plan is looked at.
POLL_SECONDS: Final = 0.25
#: How long an upstream may take to answer a probe.
PROBE_SECONDS: Final = 0.5
#: Probes that wait for an answer at once.
MAX_PROBES: Final = 16
#: The largest answer to a probe.
MAX_ANSWER_BYTES: Final = 4096


@final
class Prober:
    """Sends the probes that are due; every probe has its own task."""

    __slots__ = ('_client', '_clock', '_node', '_tasks')

    def __init__(self, node: Node, clock: Callable[[], Instant]) -> None:
        """Creates a prober that has sent nothing."""
        self._node = node
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()
        self._client: AsyncHTTPClient = SimpleAsyncHTTPClient(
            force_instance=True,
            resolver=NumericResolver(),
            max_clients=MAX_PROBES,
            max_body_size=MAX_ANSWER_BYTES,
        )

    async def run(self) -> None:
        """Probes until cancelled."""
        try:
            await self._probe_forever()
        except asyncio.CancelledError:
            for task in self._tasks:
                task.cancel()
            self._client.close()
            raise

    async def _probe_forever(self) -> None:
        while True:
            self._start_due()
            await asyncio.sleep(POLL_SECONDS)

    def _start_due(self) -> None:
        loop = asyncio.get_running_loop()
        now = self._clock()
        for upstream in probes_due(self._node, now):
            if len(self._tasks) >= MAX_PROBES:
                return
            record_probe_sent(self._node, upstream.name, now)
            task = loop.create_task(self._probe(upstream))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _probe(self, upstream: Upstream) -> None:
        try:
            in_flight = await self._ask(upstream)
        except Exception:
            # Whatever an upstream does must not end the probes of others.
            record_probe_failure(self._node, upstream.name, self._clock())
        else:
            record_probe_result(
                self._node, upstream.name, in_flight, self._clock()
            )

    async def _ask(self, upstream: Upstream) -> int:
        response = await self._client.fetch(
            f'http://{upstream.address}/load',
            connect_timeout=PROBE_SECONDS,
            request_timeout=PROBE_SECONDS,
            follow_redirects=False,
        )
        return read_in_flight(response.body)


def read_in_flight(body: bytes) -> int:
    """Reads the requests in flight from the answer to a probe.

    Raises:
        ValueError: The answer is not a load report.
    """
    report = json.loads(body)
    if not isinstance(report, dict):
        raise ValueError('A load report must be an object.')
    in_flight = report.get('in_flight')
    if not isinstance(in_flight, int) or in_flight < 0:
        raise ValueError('A load report must say how much is in flight.')
    return in_flight


def new_prober(node: Node, clock: Callable[[], Instant]) -> Prober:
    """Creates the prober of an instance."""
    return Prober(node, clock)
