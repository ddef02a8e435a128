"""The control server for the upstream stand-ins of one process."""

import asyncio
import collections
import json
from collections.abc import Iterable
from typing import Any, Final, final

from tornado import web

from lab.servers import Server, Traits
from lab.upstream import Upstream

_LOOPBACK: Final = '127.0.0.1'


@final
class FaultHandler(web.RequestHandler):
    """Injects a fault; the body has ``upstreams``, ``fault``, ``argument``."""

    def initialize(self, upstreams: list[Upstream]) -> None:
        """Stores the upstreams of the process."""
        self._upstreams = upstreams

    def post(self) -> None:
        """Injects the fault into each upstream that the body names."""
        fault_options = json.loads(self.request.body)
        for upstream in self._upstreams:
            if upstream.server.traits.name in fault_options['upstreams']:
                upstream.inject_fault(
                    fault_options['fault'],
                    str(fault_options.get('argument', '')),
                )
        self.finish({})


@final
class CountsHandler(web.RequestHandler):
    """Returns the event counts of the upstreams."""

    def initialize(self, upstreams: list[Upstream]) -> None:
        """Stores the upstreams of the process."""
        self._upstreams = upstreams

    def get(self) -> None:
        """Answers with the counts by upstream and event."""
        counts = {
            upstream.server.traits.name: dict(upstream.server.counts)
            for upstream in self._upstreams
        }
        self.finish(counts)


@final
class RunsHandler(web.RequestHandler):
    """Returns how many times each request was started."""

    def initialize(self, upstreams: list[Upstream]) -> None:
        """Stores the upstreams of the process."""
        self._upstreams = upstreams

    def get(self) -> None:
        """Answers with the starts over all upstreams, by request id."""
        runs: collections.Counter[str] = collections.Counter()
        for upstream in self._upstreams:
            runs.update(upstream.server.runs)
        self.finish(dict(runs))


def new_upstreams(
    ports: dict[str, int], traits: dict[str, Any], connection_limit: int
) -> list[Upstream]:
    """Creates upstreams with equal traits; ``ports`` is keyed by name."""
    return [
        Upstream(Server(Traits(name, **traits)), port, connection_limit)
        for name, port in ports.items()
    ]


async def serve_upstreams(
    upstreams: Iterable[Upstream], control_port: int
) -> None:
    """Serves the upstreams and their control until the process ends."""
    hosted = list(upstreams)
    for upstream in hosted:
        upstream.listen()
    handler_options = {'upstreams': hosted}
    control = web.Application(
        [
            ('/control/fault', FaultHandler, handler_options),
            ('/control/counts', CountsHandler, handler_options),
            ('/control/runs', RunsHandler, handler_options),
        ],
        log_function=_discard_log_entry,
    )
    control.listen(control_port, _LOOPBACK)
    await asyncio.Event().wait()


def _discard_log_entry(handler: web.RequestHandler) -> None:
    """Drops the access log entry of a request."""
