"""Tests of which connections of callers give way to others."""

import asyncio
import contextlib

import pytest

from chervilstep.callers import ClosedConnection, EvictionLog, Phase
from chervilstep.commands.callers import record_closed_connection
from chervilstep.queries.callers import (
    HEAD_GRACE_SECONDS,
    STALL_SECONDS,
    USUAL_UNREAD_BYTES,
    connection_to_evict,
    largest_holder,
    receive_buffer_bytes,
)
from chervilstep.queries.partition import Address, connection_limits
from chervilstep.settings import Limits, Profile
from chervilstep.shares import new_shares
from tests.builders import a_node, a_settings
from tests.caller_builders import (
    LONG_ANSWER_BYTES,
    a_bounded_server,
    a_table,
    some_limits,
)
from tests.wire_builders import a_raw_client

GET = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
LONG = b'GET /long HTTP/1.1\r\nHost: a\r\n\r\n'
SLOW = b'GET /slow HTTP/1.1\r\nHost: a\r\n\r\n'
STALLED = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n'


@pytest.mark.parametrize(
    ('phases', 'evicted'),
    [
        ({'a': 'idle', 'b': 'head', 'c': 'closing'}, 'c'),
        ({'a': 'idle', 'b': 'head', 'c': 'head'}, 'b'),
        ({'a': 'reply', 'b': 'idle', 'c': 'idle'}, 'b'),
        ({'a': 'reply', 'b': 'body'}, 'b'),
        ({'a': 'reply'}, None),
    ],
)
def test_order_of_eviction(phases, evicted):
    assert connection_to_evict(a_table(**phases), 100) == evicted


def test_new_callers_outlast_idle_ones():
    table = a_table(a='idle', b='head')
    assert connection_to_evict(table, 1) == 'a'
    table.remove('a')
    assert connection_to_evict(table, 1) == 'b'


def test_body_that_makes_progress_is_not_evicted():
    table = a_table(a='body')
    table.touch('a', 50)
    assert connection_to_evict(table, 50 + STALL_SECONDS / 2) is None
    assert connection_to_evict(table, 50 + STALL_SECONDS) == 'a'


def test_first_unfinished_head_gives_way_when_too_much_is_buffered():
    table = a_table(a='reply', b='head', c='head')
    for name in 'abc':
        table.count_buffered(name, 40_000)
    assert largest_holder(table, some_limits(buffered_bytes=120_000)) is None
    assert largest_holder(table, some_limits(buffered_bytes=119_999)) == 'b'
    table.remove('b')
    assert table.buffered_bytes == 80_000


@pytest.mark.parametrize('connections', [1, 16, 100, 1000, 5000])
def test_receive_buffers_stay_within_their_memory(connections):
    limits = some_limits(unread_bytes=32 * 1024 * 1024)
    size = receive_buffer_bytes(connections, limits)
    assert (size or USUAL_UNREAD_BYTES) * connections <= limits.unread_bytes


@pytest.mark.parametrize('memory_mb', [100, 200, 300, 552])
@pytest.mark.parametrize('sockets', [100, 3900, 7992])
def test_shares_fit_into_the_process(memory_mb, sockets):
    shares = new_shares(memory_mb * 10**6, sockets)
    profile = Profile(limits=Limits(shares=shares))
    settings = a_settings(profile=profile)
    limits = [connection_limits(settings, each, sockets) for each in Address]
    assert sum(each.connections for each in limits) <= 0.8 * sockets
    held = shares.body_bytes + shares.input_bytes + shares.connection_bytes
    assert held < 0.9 * memory_mb * 10**6


def test_new_callers_replace_silent_ones():
    """Guards against silent connections that kept new callers out."""

    async def scenario():
        async with (
            a_bounded_server(connections=4) as bounded,
            contextlib.AsyncExitStack() as stack,
        ):
            served, writer = await stack.enter_async_context(
                a_raw_client(bounded.port)
            )
            writer.write(GET)
            await served.readuntil(b'ok')
            for _ in range(3):
                await stack.enter_async_context(a_raw_client(bounded.port))
            await asyncio.sleep(HEAD_GRACE_SECONDS + 0.1)
            reader, writer = await stack.enter_async_context(
                a_raw_client(bounded.port)
            )
            writer.write(GET)
            async with asyncio.timeout(5):
                await reader.readuntil(b'ok')
            # The idle connection outlasts the silent ones.
            assert not served.at_eof()
            assert bounded.server.open_connections == 4
            return bounded.reasons

    assert set(asyncio.run(scenario())) == {('connections', 'head')}


def test_new_callers_wait_while_all_requests_are_in_progress():
    async def scenario():
        async with (
            a_bounded_server(connections=2) as bounded,
            contextlib.AsyncExitStack() as stack,
        ):
            slow = []
            for _ in range(2):
                reader, writer = await stack.enter_async_context(
                    a_raw_client(bounded.port)
                )
                writer.write(SLOW)
                slow.append(reader)
            await asyncio.sleep(0.1)
            late, writer = await stack.enter_async_context(
                a_raw_client(bounded.port)
            )
            writer.write(GET)
            await asyncio.sleep(0.1)
            assert bounded.server.open_connections == 2
            bounded.gate.set()
            for reader in (*slow, late):
                await reader.readuntil(b'ok')
            return bounded.reasons

    reasons = asyncio.run(scenario())
    assert reasons[0] == ('full', 'new')
    assert reasons[-1] == ('connections', 'idle')


def test_answer_that_is_being_written_is_not_cut_for_new_callers():
    async def scenario():
        async with (
            a_bounded_server(connections=1) as bounded,
            a_raw_client(bounded.port) as (reader, writer),
        ):
            writer.write(LONG)
            await reader.readuntil(b'\r\n\r\n')
            async with a_raw_client(bounded.port) as (late, late_writer):
                late_writer.write(GET)
                await asyncio.sleep(0.2)
                bounded.server.close_idle()
                await reader.readexactly(LONG_ANSWER_BYTES)
                await late.readuntil(b'ok')
            return bounded.reasons

    assert asyncio.run(scenario())[0] == ('full', 'new')


def test_stalled_body_gives_way_to_a_new_caller():
    async def scenario():
        async with (
            a_bounded_server(connections=1) as bounded,
            a_raw_client(bounded.port) as (_, stalled),
        ):
            stalled.write(STALLED)
            await asyncio.sleep(STALL_SECONDS + 0.2)
            async with a_raw_client(bounded.port) as (reader, writer):
                writer.write(GET)
                await reader.readuntil(b'ok')
            return bounded.reasons

    assert asyncio.run(scenario()) == [('connections', 'body')]


def test_unfinished_heads_stay_within_their_memory():
    async def scenario():
        async with (
            a_bounded_server(connections=100, buffered_bytes=50_000) as bounded,
            contextlib.AsyncExitStack() as stack,
        ):
            for _ in range(10):
                _, writer = await stack.enter_async_context(
                    a_raw_client(bounded.port)
                )
                writer.write(GET[:-2] + b'X: ' + b'y' * 10_000)
                await asyncio.sleep(0.02)
            assert bounded.server.connections.buffered_bytes <= 50_000
            return bounded.reasons

    reasons = asyncio.run(scenario())
    assert len(reasons) >= 5
    assert set(reasons) == {('input', 'head')}


def test_lines_about_closed_connections_are_bounded():
    node = a_node()
    log = EvictionLog()
    for number in range(1000):
        record_closed_connection(
            node,
            'callers',
            log,
            ClosedConnection('connections', Phase.HEAD),
            number / 500,
        )
    lines = [event.fields for event in node.events.pending]
    assert [line['connections'] for line in lines] == [1, 500]
    assert node.counters.total_over_labels('connections_evicted') == 1000
