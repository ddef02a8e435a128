"""Tests of the HTTP/1.1 server with pipelined requests."""

import asyncio
import contextlib
import tracemalloc

import pytest

from chervilstep.adapters.http1 import PipelineServer
from chervilstep.adapters.requests import Response
from chervilstep.catalog import ClientLimits
from tests.memory_builders import a_request_buffering
from tests.wire_builders import (
    a_blocking_client,
    a_raw_client,
    receive_all,
    split_responses,
)

LIMITS = ClientLimits(2048, 4096, 3, 0.3)
GET = b'GET /%d HTTP/1.1\r\nHost: a\r\n\r\n'
FAILING_TARGET = '/13'
#: Much less than a caller sends in the test of discarded input.
MAX_KEPT_BYTES = 4 * 1024 * 1024


class GatedHandler:
    """Echoes the target and body of requests; gates delay the responses."""

    def __init__(self):
        self.requests = []
        self.cancelled = []
        self.gates = {}

    async def answer(self, request):
        self.requests.append(request)
        if request.target == FAILING_TARGET:
            raise ValueError('unexpected')
        gate = self.gates.get(request.target)
        try:
            if gate is not None:
                await gate.wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.target)
            raise
        return Response(200, (), request.target.encode() + request.body)


@contextlib.asynccontextmanager
async def a_server(handler):
    server = PipelineServer(
        handler.answer,
        lambda: LIMITS,
        lambda error: None,
        a_request_buffering().new_reservation,
    )
    server.listen(0, '127.0.0.1')
    port = next(iter(server._sockets.values())).getsockname()[1]
    try:
        yield server, port
    finally:
        server.stop()
        server.close_all()


def send_to_server(sent, gates=(), *, lame_duck=False, seconds=2):
    """Sends bytes, opens the gates in order; returns handler and output."""
    handler = GatedHandler()

    async def run():
        handler.gates = {target: asyncio.Event() for target in gates}
        async with a_server(handler) as (server, port):
            async with a_raw_client(port) as (reader, writer):
                if lame_duck:
                    server.enter_lame_duck()
                writer.write(sent)
                await asyncio.sleep(0.05)
                for target in gates:
                    handler.gates[target].set()
                    await asyncio.sleep(0.01)
                async with asyncio.timeout(seconds):
                    return await reader.read()

    return handler, asyncio.run(run())


def test_responses_follow_the_order_of_requests():
    sent = b''.join(GET % index for index in range(5))
    handler, received = send_to_server(sent, gates=('/3', '/0'))
    assert len(handler.requests) == 5
    bodies = [body for _, body in split_responses(received)]
    assert bodies == [b'/0', b'/1', b'/2', b'/3', b'/4']


def test_pipelined_requests_run_concurrently():
    handler = GatedHandler()

    async def run():
        handler.gates = {'/0': asyncio.Event()}
        async with a_server(handler) as (_, port):
            async with a_raw_client(port) as (_, writer):
                writer.write(GET % 0 + GET % 1)
                await asyncio.sleep(0.05)
                return [request.target for request in handler.requests]

    assert asyncio.run(run()) == ['/0', '/1']


@pytest.mark.parametrize('ahead', [b'', GET % 1, GET % 1 + b'GET /2 HT'])
def test_disconnect_cancels_the_requests(ahead):
    handler = GatedHandler()

    async def run():
        handler.gates = {'/0': asyncio.Event()}
        async with a_server(handler) as (_, port):
            async with a_raw_client(port) as (_, writer):
                writer.write(GET % 0 + ahead)
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.1)

    asyncio.run(run())
    assert handler.cancelled == ['/0']


def test_chunked_and_sized_bodies_are_read():
    sent = (
        b'POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: 1\r\n\r\n'
        b'POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nfg'
    )
    handler, received = send_to_server(sent)
    assert [body for _, body in split_responses(received)] == [
        b'/aabcde',
        b'/bfg',
    ]


def test_idle_connection_is_closed():
    _, received = send_to_server(b'')
    assert received == b''


def test_last_response_closes_the_connection_in_lame_duck():
    _, received = send_to_server(
        GET % 0 + GET % 1, gates=('/0',), lame_duck=True
    )
    answers = split_responses(received)
    assert [b'Connection: close' in head for head, _ in answers] == [
        False,
        True,
    ]


def test_request_after_the_last_response_is_not_run():
    handler = GatedHandler()

    async def run():
        async with a_server(handler) as (server, port):
            server.enter_lame_duck()
            async with a_raw_client(port) as (reader, writer):
                writer.write(GET % 0)
                await reader.readuntil(b'/0')
                writer.write(GET % 1)
                await asyncio.sleep(0.1)

    asyncio.run(run())
    assert [request.target for request in handler.requests] == ['/0']


def test_only_idle_connections_are_closed_at_a_stop():
    """A request whose body is still arriving must not be interrupted."""
    handler = GatedHandler()

    async def run():
        handler.gates = {'/0': asyncio.Event()}
        async with a_server(handler) as (server, port):
            async with (
                a_raw_client(port) as (reader, busy),
                a_raw_client(port) as (_, slow),
                a_raw_client(port) as (idle_reader, _),
            ):
                busy.write(GET % 0)
                slow.write(
                    b'POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n'
                )
                await asyncio.sleep(0.05)
                assert server.open_connections == 3
                server.close_idle()
                assert await idle_reader.read() == b''
                assert server.open_connections == 2
                handler.gates['/0'].set()
                slow.write(b'x')
                await reader.readuntil(b'/0')
                await asyncio.sleep(0.05)
                server.close_idle()
                await asyncio.sleep(0.05)
                return server.open_connections

    assert asyncio.run(run()) == 0
    assert {request.target for request in handler.requests} == {'/0', '/1'}


def test_expected_continue_is_sent():
    handler = GatedHandler()

    async def run():
        async with a_server(handler) as (_, port):
            async with a_raw_client(port) as (reader, writer):
                writer.write(
                    b'POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n'
                    b'Content-Length: 1\r\n\r\n'
                )
                interim = await reader.readuntil(b'\r\n\r\n')
                writer.write(b'x')
                answer = await reader.readuntil(b'/ax')
                return interim, answer

    interim, answer = asyncio.run(run())
    assert interim.startswith(b'HTTP/1.1 100 ')
    assert answer.startswith(b'HTTP/1.1 200 ')


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'nonsense\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n', 400),
        (b'GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n', 400),
        (
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n'
            b'Content-Length: 2\r\n\r\n',
            400,
        ),
        (
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n',
            400,
        ),
        (
            b'POST / HTTP/1.1\r\nHost: a\r\n'
            b'Transfer-Encoding: gzip, chunked\r\n\r\n',
            400,
        ),
        (
            b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'zz\r\n',
            400,
        ),
        (
            b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'1\r\nabc',
            400,
        ),
        (b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9999\r\n\r\n', 413),
        (b'GET / HTTP/1.1\r\nHost: a\r\nX: ' + b'y' * 3000 + b'\r\n\r\n', 431),
    ],
)
def test_malformed_requests_are_refused_and_not_run(sent, status):
    handler, received = send_to_server(sent + GET % 7)
    ((head, _),) = split_responses(received)
    assert head.startswith(f'HTTP/1.1 {status} '.encode())
    assert not [
        request for request in handler.requests if request.target == '/7'
    ]


def test_oversized_head_closes_the_connection():
    sent = b'GET / HTTP/1.1\r\nHost: a\r\nX: ' + b'y' * 9000
    handler, received = send_to_server(sent)
    assert not handler.requests
    assert not received


def test_refusal_follows_earlier_responses():
    _, received = send_to_server(GET % 0 + b'nonsense\r\n\r\n', gates=('/0',))
    answers = split_responses(received)
    assert [head[:12] for head, _ in answers] == [
        b'HTTP/1.1 200',
        b'HTTP/1.1 400',
    ]


@pytest.mark.parametrize(
    'body',
    [
        b'Content-Length: 7\r\n\r\nAAAA',
        b'Transfer-Encoding: chunked\r\n\r\n3\r\nCC',
    ],
)
def test_incomplete_body_times_out(body):
    head = b'POST /late HTTP/1.1\r\nHost: a\r\n'
    handler, received = send_to_server(head + body)
    assert not handler.requests
    assert not received


def test_incomplete_body_keeps_earlier_responses():
    head = b'POST /late HTTP/1.1\r\nHost: a\r\nContent-Length: 7\r\n\r\n'
    handler = GatedHandler()

    async def run():
        handler.gates = {'/1': asyncio.Event()}
        async with a_server(handler) as (_, port):
            async with a_raw_client(port) as (reader, writer):
                writer.write(GET % 1 + head)
                await asyncio.sleep(2 * LIMITS.idle_seconds)
                handler.gates['/1'].set()
                async with asyncio.timeout(2):
                    return await reader.read()

    received = asyncio.run(run())
    assert [body for _, body in split_responses(received)] == [b'/1']
    assert not handler.cancelled


def test_failed_request_does_not_get_the_next_response():
    _, received = send_to_server(GET % 13 + GET % 1)
    (first, _), (second, body) = split_responses(received)
    assert first.startswith(b'HTTP/1.1 500')
    assert second.startswith(b'HTTP/1.1 200')
    assert body == b'/1'


def test_endless_input_after_the_last_request_is_not_kept_in_memory():
    handler = GatedHandler()

    async def run():
        handler.gates = {'/0': asyncio.Event()}
        async with a_server(handler) as (_, port):
            async with a_raw_client(port) as (_, writer):
                writer.write(
                    b'GET /0 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
                )
                tracemalloc.start()
                for _ in range(500):
                    writer.write(b'a' * 65536)
                    await writer.drain()
                peak = tracemalloc.get_traced_memory()[1]
                tracemalloc.stop()
        return peak

    assert asyncio.run(run()) < MAX_KEPT_BYTES


@pytest.mark.parametrize(
    'sent',
    [b'GET /' + b'a' * 65536, b'GET / HTTP/1.1\r\n' + b'A: b\r\n' * 10000]
    + [
        b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
        + rest
        for rest in (
            b'10\r\n0123456789abcdef\r\n' * 10000,
            b'0' * 65536,
            b'0\r\n' + b'A: b\r\n' * 10000,
        )
    ],
    ids=['line', 'headers', 'chunks', 'chunk size', 'trailers'],
)
def test_endless_request_is_refused_and_not_run(sent):
    handler = GatedHandler()

    async def run():
        async with a_server(handler) as (_, port):
            async with a_raw_client(port) as (reader, writer):
                writer.write(sent * 4)
                # A server that closes with unread input resets the connection.
                with contextlib.suppress(ConnectionError):
                    async with asyncio.timeout(2):
                        await reader.read()
                return writer.is_closing() or reader.at_eof()

    assert asyncio.run(run())
    assert not handler.requests


def test_request_that_was_not_read_yet_is_answered_at_a_stop():
    """It is in the buffer of the kernel when idle connections are closed."""
    handler = GatedHandler()

    async def run():
        async with a_server(handler) as (server, port):
            client = a_blocking_client(port)
            while not server.open_connections:
                await asyncio.sleep(0.01)
            server.enter_lame_duck()
            client.sendall(GET % 0)
            server.close_idle()
            return await receive_all(client)

    assert asyncio.run(run()).endswith(b'/0')


def test_connection_that_was_not_accepted_yet_is_served_at_a_stop():
    handler = GatedHandler()

    async def run():
        async with a_server(handler) as (server, port):
            server.enter_lame_duck()
            clients = [a_blocking_client(port, GET % 0) for _ in range(20)]
            server.stop()
            server.close_idle()
            return [await receive_all(client) for client in clients]

    answers = asyncio.run(run())
    assert all(answer.endswith(b'/0') for answer in answers)


@pytest.mark.parametrize('ending', [b'', b'Connection: close\r\n'])
@pytest.mark.parametrize('turns', range(12))
def test_request_that_crosses_the_close_of_idle_connections(turns, ending):
    """Guards against a request that ran although its connection was closed."""
    handler = GatedHandler()

    async def run():
        async with a_server(handler) as (server, port):
            client = a_blocking_client(port)
            while not server.open_connections:
                await asyncio.sleep(0)
            await asyncio.sleep(0.01)
            client.sendall((GET % 1)[:-2] + ending + b'\r\n')
            for _ in range(turns):
                await asyncio.sleep(0)
            server.close_idle()
            return await receive_all(client)

    received = asyncio.run(run())
    assert bool(received) == bool(handler.requests)
