"""Tests of how the bodies of many callers share the turns of the event loop."""

import asyncio
import contextlib

from chervilstep.adapters.turnstile import Turnstile
from tests.memory_builders import (
    a_node_with_memory,
    a_server,
    largest_growth,
)
from tests.wire_builders import a_raw_client

BODIES = 100
CHUNKS = 2000
#: Of all bodies together; chunks have one byte.
MAX_CHUNKS_PER_TURN = 1024
#: After so many, each body has had its first chunks.
WARM_UP_BYTES = 64 * BODIES
HEAD = b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'


def test_chunks_of_many_bodies_share_a_turn():
    """Guards against bodies in tiny chunks that each took a part of a turn."""
    node = a_node_with_memory(165 * 10**6)

    async def answer(request):
        raise AssertionError('No body is complete.')

    async def scenario():
        async with contextlib.AsyncExitStack() as stack:
            port = await stack.enter_async_context(a_server(node, answer))
            clients = [
                await stack.enter_async_context(a_raw_client(port))
                for _ in range(BODIES)
            ]
            for _, writer in clients:
                writer.write(HEAD + b'1\r\nx\r\n' * CHUNKS)
            return await largest_growth(
                node.memory, WARM_UP_BYTES, BODIES * CHUNKS
            )

    assert asyncio.run(scenario()) <= MAX_CHUNKS_PER_TURN


def test_chunks_that_exceed_the_buffer_take_turns():
    """Guards against chunks that were read without a wait in between."""
    node = a_node_with_memory(165 * 10**6)
    size = 20_000
    count = 400
    chunk = b'%x\r\n' % size + b'x' * size + b'\r\n'

    async def answer(request):
        raise AssertionError('The body is not complete.')

    async def scenario():
        async with (
            a_server(node, answer) as port,
            a_raw_client(port) as (_, writer),
        ):
            writer.write(HEAD + chunk * count)
            # Whatever was received by then could be read in one turn.
            return await largest_growth(node.memory, 64 * size, count * size)

    assert asyncio.run(scenario()) <= 2 * size


def test_turnstile_lets_one_task_go_on_in_a_turn():
    passed = []

    async def take_turns(turnstile, name):
        for _ in range(2):
            await turnstile.wait()
            passed.append(name)

    async def scenario():
        turnstile = Turnstile()
        names = 'abc'
        tasks = [
            asyncio.create_task(take_turns(turnstile, name)) for name in names
        ]
        tasks[1].cancel()
        counts = []
        while not all(task.done() for task in tasks):
            await asyncio.sleep(0)
            counts.append(len(passed))
        return counts

    counts = asyncio.run(scenario())
    assert passed == ['a', 'c', 'a', 'c']
    steps = zip(counts, counts[1:], strict=False)
    assert all(after - before <= 1 for before, after in steps)


def test_turn_of_a_cancelled_task_goes_to_the_next_one():
    async def scenario():
        turnstile = Turnstile()
        waiting = [asyncio.create_task(turnstile.wait()) for _ in range(3)]
        await asyncio.sleep(0)
        waiting[0].cancel()
        waiting[1].cancel()
        async with asyncio.timeout(5):
            await waiting[2]

    asyncio.run(scenario())
