"""The control of the upstreams of one process, on a port of its own."""

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
    """Brings faults about: ``upstreams``, ``fault`` and ``argument``."""

    def initialize(self, upstreams: list[Upstream]) -> None:
        """Takes the upstreams of the process."""
        self._upstreams = upstreams

    def post(self) -> None:
        """Applies one fault to the upstreams that are named."""
        order = json.loads(self.request.body)
        for upstream in self._upstreams:
            if upstream.server.traits.name in order['upstreams']:
                upstream.apply(order['fault'], str(order.get('argument', '')))
        self.finish({})


@final
class CountsHandler(web.RequestHandler):
    """Reads out what the upstreams counted."""

    def initialize(self, upstreams: list[Upstream]) -> None:
        """Takes the upstreams of the process."""
        self._upstreams = upstreams

    def get(self) -> None:
        """Gives the counts of each upstream."""
        counts = {
            upstream.server.traits.name: dict(upstream.server.counts)
            for upstream in self._upstreams
        }
        self.finish(counts)


@final
class RunsHandler(web.RequestHandler):
    """Reads out how often each request was started."""

    def initialize(self, upstreams: list[Upstream]) -> None:
        """Takes the upstreams of the process."""
        self._upstreams = upstreams

    def get(self) -> None:
        """Gives the runs over all upstreams of the process by request id."""
        runs: collections.Counter[str] = collections.Counter()
        for upstream in self._upstreams:
            runs.update(upstream.server.runs)
        self.finish(dict(runs))


def new_upstreams(
    ports: dict[str, int], traits: dict[str, Any], connection_limit: int
) -> list[Upstream]:
    """Creates upstreams of equal traits by name and port."""
    return [
        Upstream(Server(Traits(name, **traits)), port, connection_limit)
        for name, port in ports.items()
    ]


async def serve_upstreams(
    upstreams: Iterable[Upstream], control_port: int
) -> None:
    """Serves until the process is ended."""
    hosted = list(upstreams)
    for upstream in hosted:
        upstream.listen_again()
    shared = {'upstreams': hosted}
    control = web.Application(
        [
            ('/control/fault', FaultHandler, shared),
            ('/control/counts', CountsHandler, shared),
            ('/control/runs', RunsHandler, shared),
        ],
        log_function=_ignore,
    )
    control.listen(control_port, _LOOPBACK)
    await asyncio.Event().wait()


def _ignore(handler: web.RequestHandler) -> None:
    """Keeps the access log empty."""
