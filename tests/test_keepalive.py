"""Tests of the client of one address with a persistent connection."""

import asyncio
import contextlib
import time

import pytest

from chervilstep.adapters.keepalive import KeepAliveClient
from chervilstep.exceptions import FetchError
from tests.answer_builders import (
    INVALID_STATUSES,
    a_framed_answer,
    a_raw_answer,
)
from tests.entry_builders import (
    a_breaking_upstream,
)
from tests.wire_builders import (
    ANSWER,
    ENDLESS_ANSWERS,
    NOT_RUN,
    a_raw_upstream,
    an_endless_upstream,
)

TIMEOUT_SECONDS = 2
MAX_BODY_BYTES = 4096
#: What the buffers of both sockets and of the stream may hold.
MAX_ENDLESS_BYTES = 16 * 1024 * 1024


def test_bytes_that_arrive_before_the_request_are_not_its_answer():
    async def scenario():
        async with a_raw_upstream(ANSWER) as (server, upstream):
            client = KeepAliveClient(upstream.address, MAX_BODY_BYTES)
            await client.get('/health', TIMEOUT_SECONDS)
            await server.write(NOT_RUN)
            # Leaves the bytes in the kernel: the loop does not run meanwhile.
            time.sleep(0.05)
            fetched = await client.get('/health', TIMEOUT_SECONDS)
            client.close()
        assert fetched.status == 200
        assert server.connections == 2

    asyncio.run(scenario())


@pytest.mark.parametrize('kind', sorted(set(ENDLESS_ANSWERS) - {'answers'}))
def test_endless_answer_raises_fetch_error(kind):
    async def scenario():
        async with an_endless_upstream(*ENDLESS_ANSWERS[kind]) as (
            server,
            upstream,
        ):
            client = KeepAliveClient(upstream.address, MAX_BODY_BYTES)
            with pytest.raises(FetchError):
                await client.get('/health', TIMEOUT_SECONDS)
            client.close()
        assert server.sent_bytes < MAX_ENDLESS_BYTES

    asyncio.run(scenario())


def test_endless_answers_do_not_become_later_ones():
    async def scenario():
        async with an_endless_upstream(*ENDLESS_ANSWERS['answers']) as (
            server,
            upstream,
        ):
            client = KeepAliveClient(upstream.address, MAX_BODY_BYTES)
            first = await client.get('/health', TIMEOUT_SECONDS)
            await client.get('/health', TIMEOUT_SECONDS)
            client.close()
        assert first.status == 200
        assert server.connections == 2

    asyncio.run(scenario())


@pytest.mark.parametrize('status', INVALID_STATUSES)
def test_answer_with_an_invalid_status_raises_fetch_error(status):
    async def scenario():
        async with a_raw_upstream(a_raw_answer(status)) as (_, upstream):
            client = KeepAliveClient(upstream.address, MAX_BODY_BYTES)
            with pytest.raises(FetchError):
                await client.get('/health', TIMEOUT_SECONDS)
            client.close()

    asyncio.run(scenario())


def fetch_until_the_end(sent, *, resets):
    """Fetches a body without a length, whose connection ends behind it."""

    async def scenario():
        async with a_breaking_upstream(sent, resets=resets) as (_, upstream):
            client = KeepAliveClient(upstream.address, MAX_BODY_BYTES)
            with contextlib.closing(client):
                return await client.get('/health', TIMEOUT_SECONDS)

    return asyncio.run(scenario())


def test_body_that_was_cut_by_a_reset_raises_fetch_error():
    """Guards against health and store answers that only looked complete."""
    with pytest.raises(FetchError):
        fetch_until_the_end(a_framed_answer(body=b'the half'), resets=True)


def test_body_that_ends_with_its_connection_is_complete():
    sent = a_framed_answer(body=b'the whole')
    assert fetch_until_the_end(sent, resets=False).body == b'the whole'
