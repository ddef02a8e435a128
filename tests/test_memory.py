"""Tests of the budget of bytes, and of bodies that do not end or fit."""

import asyncio
import gc
import time
import tracemalloc

import pytest

from chervilstep.adapters.requests import Response
from chervilstep.calls import Ending
from chervilstep.memory import Content, Pool
from tests.builders import KEY, an_upstream
from tests.memory_builders import (
    ENDLESS_ANSWERS,
    MAX_BODY_BYTES,
    MIB,
    EndlessUpstream,
    a_node_with_memory,
    a_server,
    an_answer_pool,
    hold,
    longest_turn,
)
from tests.wire_builders import a_live_attempt, a_raw_client

#: As on the platform, with 300 MB for a process.
LIMIT_BYTES = 165 * 10**6
SMALL = 1000
#: A turn in which other callers wait unnoticed.
MAX_TURN_SECONDS = 0.05


def test_bytes_return_with_the_last_reference():
    node = a_node_with_memory(LIMIT_BYTES)
    holdings = [hold(node, SMALL), hold(node, 2 * MIB)]
    assert all(holdings)
    assert node.memory.held_bytes == SMALL + 2 * MIB
    holdings.clear()
    assert not node.memory.held_bytes
    assert not node.memory.by_party
    assert node.memory.peak_bytes == SMALL + 2 * MIB


def test_one_customer_does_not_take_all():
    node = a_node_with_memory(LIMIT_BYTES)
    first = hold(node, MAX_BODY_BYTES, party='a')
    assert first
    assert hold(node, MAX_BODY_BYTES, party='a') is None
    assert hold(node, MAX_BODY_BYTES, party='b')


def test_requests_leave_room_for_answers():
    node = a_node_with_memory(LIMIT_BYTES)
    uploads = [hold(node, MAX_BODY_BYTES, party=name) for name in 'ab']
    assert all(uploads)
    assert hold(node, 10 * MIB, party='c') is None
    assert hold(node, 5 * MIB, content=Content.ANSWERS, party='strike')


def test_answers_of_one_service_leave_room_for_others():
    node = a_node_with_memory(LIMIT_BYTES)
    held = []
    while holding := hold(node, MIB, content=Content.ANSWERS, party='strike'):
        held.append(holding)
    assert len(held) >= 64
    assert hold(node, 20 * MIB, content=Content.ANSWERS, party='intake')
    assert hold(node, MAX_BODY_BYTES)


def test_small_bodies_have_room_beside_large_ones():
    node = a_node_with_memory(LIMIT_BYTES)
    large = [hold(node, MAX_BODY_BYTES, party=name) for name in 'ab']
    small = [hold(node, 64 * 1024) for _ in range(200)]
    assert all(large)
    assert all(small)
    assert node.memory.by_pool[Pool.LARGE] == 2 * MAX_BODY_BYTES


class LengthHandler:
    """Answers each body with its length, after some time."""

    def __init__(self, seconds=0):
        self.seconds = seconds
        self.served = []

    async def answer(self, request):
        self.served.append(len(request.body))
        await asyncio.sleep(self.seconds)
        return Response(200, (), str(len(request.body)).encode())


async def upload(port, size, key=KEY):
    """Sends a whole body, then reads; returns the head of the response."""
    async with a_raw_client(port) as (reader, writer):
        writer.write(
            f'POST / HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {key}\r\n'
            f'Content-Length: {size}\r\n\r\n'.encode()
        )
        for _ in range(size // MIB):
            writer.write(b'x' * MIB)
            await writer.drain()
        writer.write(b'x' * (size % MIB))
        head = await reader.readuntil(b'\r\n\r\n')
    return head


def test_upload_without_room_is_refused_and_not_passed_on():
    """Guards against a few large bodies at once that ended the process."""
    node = a_node_with_memory(LIMIT_BYTES)

    async def scenario():
        handler = LengthHandler(seconds=1)
        async with a_server(node, handler.answer) as port:
            heads = await asyncio.gather(
                *(upload(port, 60 * MIB) for _ in range(3)),
                upload(port, SMALL),
            )
            assert sorted(handler.served) == [SMALL, 60 * MIB]
            return heads

    *large, small = asyncio.run(scenario())
    refused = [head for head in large if b' 503 ' in head]
    assert len(refused) == 2
    assert all(b'Retry-After: ' in head for head in refused)
    assert all(b'Connection: close' in head for head in refused)
    assert b' 200 ' in small
    gc.collect()
    assert not node.memory.held_bytes
    assert node.counters.total_over_labels('memory_refusals') == 2


def test_body_that_can_never_fit_is_refused_at_once():
    node = a_node_with_memory(40 * 10**6)

    async def scenario():
        handler = LengthHandler()
        async with a_server(node, handler.answer) as port:
            begun_at = time.monotonic()
            async with a_raw_client(port) as (reader, writer):
                writer.write(
                    b'POST / HTTP/1.1\r\nHost: a\r\n'
                    b'Content-Length: 62914560\r\n\r\n'
                )
                head = await reader.readuntil(b'\r\n\r\n')
            assert not handler.served
            return head, time.monotonic() - begun_at

    head, seconds = asyncio.run(scenario())
    # Stalled bodies do not give way to it.
    assert node.memory.wanted_until.has_passed(0)
    assert b' 503 ' in head
    assert seconds < 0.2


def test_abandoned_uploads_give_their_bytes_back():
    node = a_node_with_memory(LIMIT_BYTES)

    async def scenario():
        handler = LengthHandler()
        async with a_server(node, handler.answer) as port:
            for _ in range(20):
                async with a_raw_client(port) as (_, writer):
                    writer.write(
                        b'POST / HTTP/1.1\r\nHost: a\r\n'
                        b'Content-Length: 62914560\r\n\r\n'
                    )
                    writer.write(b'x' * MIB)
                    await writer.drain()
            await asyncio.sleep(0.2)
            assert not handler.served

    asyncio.run(scenario())
    gc.collect()
    assert not node.memory.held_bytes


def test_body_in_tiny_chunks_does_not_hold_up_the_loop():
    """Guards against chunks of one byte that stopped all other requests."""
    node = a_node_with_memory(LIMIT_BYTES)
    count = 40_000
    body = b'1\r\nx\r\n' * count + b'0\r\n\r\n'

    async def scenario():
        stop = asyncio.Event()
        handler = LengthHandler()
        async with a_server(node, handler.answer) as port:
            turns = asyncio.create_task(longest_turn(stop))
            async with a_raw_client(port) as (reader, writer):
                writer.write(
                    b'POST / HTTP/1.1\r\nHost: a\r\n'
                    b'Transfer-Encoding: chunked\r\n\r\n' + body
                )
                await reader.readuntil(b'\r\n\r\n')
            assert handler.served == [count]
            stop.set()
            return await turns

    assert asyncio.run(scenario()) < MAX_TURN_SECONDS


def test_attempt_that_waits_for_room_is_cancelled_as_any_other(caplog):
    """Guards against a cancelled attempt that went on as a failed one."""
    node = a_node_with_memory(LIMIT_BYTES)
    content = Content.ANSWERS
    full = hold(node, 68 * MIB, content=content, party='strike')

    async def scenario():
        upstream = EndlessUpstream(*ENDLESS_ANSWERS['body'])
        pool = an_answer_pool(node)
        server = an_upstream(port=await upstream.start())
        sending = asyncio.create_task(pool.send(a_live_attempt(server)))
        await asyncio.sleep(0.15)
        assert not sending.done()
        sending.cancel()
        with pytest.raises(asyncio.CancelledError):
            await sending
        timed_out = await pool.send(a_live_attempt(server, seconds=0.1))
        assert timed_out.ending is Ending.TIMED_OUT
        pool.close()
        await upstream.stop()

    asyncio.run(scenario())
    assert full
    assert not caplog.records


@pytest.mark.parametrize('kind', ENDLESS_ANSWERS)
def test_answers_without_end_stay_within_the_budget(kind):
    """Guards against servers whose endless answers filled the memory."""
    node = a_node_with_memory(LIMIT_BYTES)

    async def scenario():
        upstreams = [EndlessUpstream(*ENDLESS_ANSWERS[kind]) for _ in range(8)]
        pool = an_answer_pool(node)
        ports = [await upstream.start() for upstream in upstreams]
        attempts = [
            a_live_attempt(an_upstream(f'u-{port}', port=port), seconds=3)
            for port in ports
        ]
        outcomes = await asyncio.gather(*map(pool.send, attempts))
        pool.close()
        for upstream in upstreams:
            await upstream.stop()
        return [outcome.ending for outcome in outcomes]

    tracemalloc.start()
    endings = asyncio.run(scenario())
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert Ending.ANSWERED not in endings
    # The stand-ins and the buffers of the streams need a part of it.
    assert peak_bytes < LIMIT_BYTES
    gc.collect()
    assert not node.memory.held_bytes


def test_answer_is_held_until_the_caller_has_taken_it():
    node = a_node_with_memory(LIMIT_BYTES)
    size = 40 * MIB

    async def scenario():
        holdings = [hold(node, size, content=Content.ANSWERS, party='strike')]

        async def answer(request):
            return Response(200, (), bytearray(size), holding=holdings.pop())

        async with a_server(node, answer) as port:
            async with a_raw_client(port) as (reader, writer):
                writer.write(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
                await reader.readuntil(b'\r\n\r\n')
                assert node.memory.held_bytes == size
                await reader.readexactly(size)
                await asyncio.sleep(0.1)
                assert not node.memory.held_bytes

    asyncio.run(scenario())
