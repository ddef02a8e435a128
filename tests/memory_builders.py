"""Builders of byte budgets and of bodies without end."""

import asyncio
import contextlib
import functools
import time

from chervilstep.adapters.buffering import RequestBuffering, reserve_answer
from chervilstep.adapters.http1 import PipelineServer
from chervilstep.adapters.pool import new_pool
from chervilstep.catalog import ClientLimits
from chervilstep.commands.memory import take_bytes
from chervilstep.memory import Content, new_holding
from chervilstep.node import new_node
from chervilstep.queries.memory import pool_for
from chervilstep.settings import Limits, Profile
from chervilstep.shares import Shares
from tests.builders import a_node, a_settings, a_snapshot
from tests.wire_builders import close_writer

MIB = 1024 * 1024
MAX_BODY_BYTES = 64 * MIB
LIMITS = ClientLimits(16384, MAX_BODY_BYTES, 3, 15)


def a_request_buffering(node=None):
    return RequestBuffering(node or a_node(), time.monotonic)


def a_node_with_memory(limit_bytes):
    """Returns a node whose bodies may have ``limit_bytes`` in all."""
    limits = Limits(
        MAX_BODY_BYTES, shares=Shares(limit_bytes, 10**7, 10**7, 1000)
    )
    settings = a_settings(profile=Profile(limits=limits))
    node = new_node(settings, 1)
    node.configuration.publish(a_snapshot())
    return node


@contextlib.asynccontextmanager
async def a_server(node, answer):
    """Yields the port of a server whose requests ``answer`` handles."""
    server = PipelineServer(
        answer,
        lambda: LIMITS,
        lambda error: None,
        a_request_buffering(node).new_reservation,
    )
    server.listen(0, '127.0.0.1')
    try:
        yield next(iter(server._sockets.values())).getsockname()[1]
    finally:
        server.stop()
        server.close_all()


def a_holding(node, content=Content.REQUESTS, party='fletcher'):
    return new_holding(node.memory, content, party)


def hold(node, size, **changes):
    """Returns a holding with ``size`` bytes, or None without room."""
    holding = a_holding(node, **changes)
    pool = pool_for(node, holding, size)
    if pool is None:
        return None
    take_bytes(node, holding, pool, size)
    return holding


def an_answer_pool(node):
    """Returns a connection pool whose answers count in the budget of a node."""
    return new_pool(
        node.settings,
        time.monotonic,
        lambda name, opened_at: True,
        functools.partial(reserve_answer, node, time.monotonic),
    )


class EndlessUpstream:
    """Answers each request with a head and a body without end."""

    def __init__(self, head, piece):
        self._head = head
        self._piece = piece
        self._writers = {}

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Aborts every connection, which ends its task.

        Python 3.11.7 logs an error for a cancelled task of a server.
        """
        self._server.close()
        for writer in self._writers.values():
            writer.transport.abort()
        await asyncio.gather(*self._writers)

    async def _serve(self, reader, writer):
        self._writers[asyncio.current_task()] = writer
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self._head)
            while True:
                writer.write(self._piece)
                await writer.drain()
        await close_writer(writer)


#: Answers without end: bodies that end with the connection, chunks, and bytes that
#: are no answer at all.
ENDLESS_ANSWERS = {
    'body': (b'HTTP/1.1 200 OK\r\n\r\n', b'a' * MIB),
    'chunks': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'100000\r\n' + b'a' * MIB + b'\r\n',
    ),
    'noise': (b'', b'\x00' * MIB),
    'headers': (b'HTTP/1.1 200 OK\r\n', b'A: b\r\n' * 65536),
}


async def longest_turn(stop):
    """Returns the longest turn of the loop, in seconds, until ``stop``."""
    longest = 0.0
    while not stop.is_set():
        begun_at = time.monotonic()
        await asyncio.sleep(0)
        longest = max(longest, time.monotonic() - begun_at)
    return longest


async def largest_growth(budget, from_bytes, to_bytes):
    """Returns by how much a turn of the loop added to a budget, at most."""
    largest = 0
    held = budget.held_bytes
    async with asyncio.timeout(60):
        while held < to_bytes:
            await asyncio.sleep(0)
            growth, held = budget.held_bytes - held, budget.held_bytes
            if held > from_bytes:
                largest = max(largest, growth)
    return largest
