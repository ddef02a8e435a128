"""Builders of front ends, and of upstreams that send given bytes."""

import asyncio
import contextlib
import socket
import struct
import time

from chervilstep.adapters.capabilities import load_capabilities
from chervilstep.adapters.dialect import NATIVE
from chervilstep.adapters.dispatcher import new_dispatcher
from chervilstep.adapters.edge import EDGES
from chervilstep.adapters.health import new_health_checker
from chervilstep.adapters.pool import new_pool
from chervilstep.adapters.streams import split_address
from chervilstep.node import new_node
from chervilstep.platform.addresses import PLATFORM_ADDRESSES, PlatformAddresses
from chervilstep.platform.dialect import PLATFORM_DIALECT
from chervilstep.platform.edge import PLATFORM_EDGE
from chervilstep.queries.soonest import SOONEST
from chervilstep.services import ColdStart, Service
from chervilstep.settings import Profile, Settings
from chervilstep.snapshot import RouteOptions
from lab.processes import free_ports
from tests import builders
from tests.answer_builders import a_raw_request
from tests.stop_builders import HOST
from tests.wire_builders import (
    AnsweringUpstream,
    a_raw_upstream,
    request_id_of,
)

load_capabilities()

#: How long a stand-in waits between its last byte and a reset.
RESET_DELAY_SECONDS = 0.05
#: A front end and the dialect of the upstreams behind it.
FRONT_ENDS = {NATIVE: NATIVE, PLATFORM_EDGE: PLATFORM_DIALECT}


class BreakingUpstream(AnsweringUpstream):
    """Sends the start of an answer, and then closes or resets."""

    def __init__(self, sent, *, resets):
        super().__init__()
        self._sent = sent
        self._resets = resets
        self.requests = 0

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b'\r\n\r\n')
            self.requests += 1
            writer.write(self._sent)
            await writer.drain()
            # A reset discards what the other end has not received yet.
            await asyncio.sleep(RESET_DELAY_SECONDS if self._resets else 0)
        if self._resets:
            reset(writer)
        else:
            writer.close()


def reset(writer):
    """Closes a connection with a reset."""
    connection = writer.get_extra_info('socket')
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()


@contextlib.asynccontextmanager
async def a_breaking_upstream(sent, *, resets):
    server = BreakingUpstream(sent, resets=resets)
    port = await server.start()
    try:
        yield server, builders.an_upstream(port=port)
    finally:
        await server.stop()


class ScriptedUpstream(AnsweringUpstream):
    """Answers each request with the bytes that its ID selects."""

    def __init__(self, answers):
        super().__init__()
        self._answers = answers
        self.requests = []

    async def answer(self, head):
        request_id = request_id_of(head).decode()
        self.requests.append(request_id)
        return self._answers[request_id]


@contextlib.asynccontextmanager
async def a_scripted_upstream(answers):
    server = ScriptedUpstream(answers)
    port = await server.start()
    try:
        yield server, builders.an_upstream(port=port)
    finally:
        await server.stop()


class Entry:
    """An edge in front of upstreams, over real connections."""

    def __init__(self, kind, upstreams, attempts):
        # The kernel gives none of these to a connection in the meantime.
        addresses = [f'{HOST}:{port}' for port in free_ports(6)]
        entry, admin, peer, *others = addresses
        self.port = split_address(entry)[1]
        PLATFORM_ADDRESSES.put(peer, PlatformAddresses(*others))
        settings = Settings(
            name=peer,
            zone='akl',
            entry_address=entry,
            peer_address=peer,
            admin_address=admin,
            configuration_source='file:unused.toml',
            seeds={},
            peer_secret='',
            profile=Profile(dialect=FRONT_ENDS[kind], edge=kind),
        )
        self.node = new_node(settings, 1)
        service = Service('strike', upstreams, SOONEST)
        route = builders.a_route(
            is_open=True, customers=(), methods=('GET', 'HEAD', 'POST')
        )
        if kind == PLATFORM_EDGE:
            route = route.with_options(RouteOptions('h', attempts, None))
        self.node.configuration.publish(
            builders.a_snapshot(services=[service], routes=[route])
        )
        self.pool = new_pool(
            settings, time.monotonic, lambda name, opened_at: True
        )
        dispatcher = new_dispatcher(self.node, self.pool, time.monotonic)
        self.edge = EDGES.find(kind)(
            self.node, dispatcher.handle, time.monotonic
        )

    @property
    def events(self):
        """The logged events as pairs of a name and fields."""
        return [(each.name, each.fields) for each in self.node.events.pending]


@contextlib.asynccontextmanager
async def an_entry(kind, *upstreams, attempts=1):
    entry = Entry(kind, upstreams, attempts)
    entry.edge.listen()
    try:
        yield entry
    finally:
        entry.edge.stop_accepting()
        entry.pool.close()
        await entry.edge.close()


async def exchange(port, *requests):
    """Sends requests at once on one connection and reads all responses."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(b''.join(requests))
        return [await read_response(reader, each) for each in requests]
    finally:
        writer.transport.abort()


async def read_response(reader, request):
    """Returns the head and the body of the response to a request."""
    head = await reader.readuntil(b'\r\n\r\n')
    length = 0
    if not request.startswith(b'HEAD '):
        for line in head.split(b'\r\n'):
            if line.lower().startswith(b'content-length:'):
                length = int(line.partition(b':')[2])
    return head, await reader.readexactly(length)


async def check_once(node, upstream):
    """Sends one health check to an upstream of ``node``."""
    checker = new_health_checker(node, time.monotonic)
    with contextlib.closing(checker):
        await checker.probe_for_placement('strike', [upstream])
        await asyncio.gather(*checker._check_tasks.values())


def check_answer(answer, checks=1):
    """Returns a node whose health checks got ``answer``, and the upstream."""

    async def scenario():
        async with a_raw_upstream(answer, closes=True) as (_, upstream):
            service = Service(
                'strike',
                [upstream],
                SOONEST,
                cold_start=ColdStart(3, 12),
                health_path='/health',
            )
            node = new_node(builders.a_settings(dialect=PLATFORM_DIALECT), 1)
            node.configuration.publish(builders.a_snapshot(services=[service]))
            for _ in range(checks):
                await check_once(node, upstream)
        return node, upstream

    return asyncio.run(scenario())


def fetch_through(kind, answer, method='GET'):
    """Fetches an answer through an entry; returns it, the entry, the server."""

    async def scenario():
        async with (
            a_raw_upstream(answer, closes=True) as (server, upstream),
            an_entry(kind, upstream) as entry,
        ):
            request = a_raw_request(method)
            (response,) = await exchange(entry.port, request)
            return response, entry, server

    return asyncio.run(scenario())
