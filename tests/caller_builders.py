"""Builders of connection tables, and of servers with few connections."""

import asyncio
import contextlib

from chervilstep.adapters.admission import Admission
from chervilstep.adapters.exchanges import ServerOptions
from chervilstep.adapters.http1 import PipelineServer
from chervilstep.adapters.requests import Response
from chervilstep.callers import (
    ClosedConnection,
    ConnectionLimits,
    ConnectionTable,
    Phase,
)
from chervilstep.catalog import ClientLimits
from tests.memory_builders import a_request_buffering

#: More than the buffers of a connection hold.
LONG_ANSWER_BYTES = 64 * 1024 * 1024
LIMITS = ClientLimits(16384, 4096, 3, 15)


def a_table(**phases):
    """Returns a table of named connections, which entered a second apart."""
    table: ConnectionTable[str] = ConnectionTable()
    for at, (name, phase) in enumerate(phases.items()):
        table.add(name, at)
        table.move(name, Phase(phase), at)
    return table


def some_limits(connections=4, buffered_bytes=100_000, unread_bytes=10**9):
    return ConnectionLimits(connections, buffered_bytes, unread_bytes)


class BoundedServer:
    """A server with limits, and what it has closed for others."""

    def __init__(self, limits):
        self.closed: list[ClosedConnection] = []
        self.gate = asyncio.Event()
        admission = Admission(lambda: limits, self.closed.append)
        self.server = PipelineServer(
            self.answer,
            lambda: LIMITS,
            lambda error: None,
            a_request_buffering().new_reservation,
            ServerOptions(admission),
        )

    @property
    def reasons(self):
        return [(each.reason, each.phase) for each in self.closed]

    @property
    def port(self):
        return next(iter(self.server._sockets.values())).getsockname()[1]

    async def answer(self, request):
        if request.target == '/slow':
            await self.gate.wait()
        if request.target == '/long':
            return Response(200, (), b'x' * LONG_ANSWER_BYTES)
        return Response(200, (), b'ok')


@contextlib.asynccontextmanager
async def a_bounded_server(**limits):
    bounded = BoundedServer(some_limits(**limits))
    bounded.server.listen(0, '127.0.0.1')
    try:
        yield bounded
    finally:
        bounded.server.stop()
        bounded.server.close_all()
