"""Tests of running programs beside crowds of callers that misuse them.

They check what does not depend on the speed of the machine: that the process
lives, what it uses at most, and that an ordinary caller is answered.
"""

import asyncio

import pytest

from tests.crowd_builders import (
    BODY_LIMIT_BYTES,
    FILE_DESCRIPTORS,
    HEAD_LIMIT_BYTES,
    MB,
    Crowd,
    a_chunked_body,
    a_head,
    a_head_of_many_lines,
    a_long_head,
    a_program,
    a_sized_body,
    as_json,
    ask,
    ask_often,
)
from tests.memory_builders import MIB

MEMORY_MB = 100
#: What the native interface is meant for without a setting.
NATIVE_MEMORY_MB = 300
DESCRIPTORS = 300
#: For one second or two of logs under load.
MAX_LOG_BYTES = 250_000
SEND_SECONDS = 5

CHUNKED = 'Transfer-Encoding: chunked'
#: Bodies of two customers and small ones, which leave no room for more.
FULL = (
    [a_sized_body(BODY_LIMIT_BYTES)] * 12
    + [a_sized_body(BODY_LIMIT_BYTES, key='other')] * 12
    + [a_sized_body(65_000)] * 150
)
SMALL_CHUNKS = a_chunked_body(8192, 120)
TINY_CHUNKS = a_chunked_body(1, 20_000)
LONG_HEAD = a_long_head(HEAD_LIMIT_BYTES - 1)

#: What each caller of a crowd sends before it stops, and stays.
CROWDS = {
    'bodies': FULL,
    'heads': [*FULL, *[LONG_HEAD] * 700],
    'heads-of-many-lines': [
        *FULL,
        *[a_head_of_many_lines(HEAD_LIMIT_BYTES - 1)] * 700,
    ],
    'chunk-lines': [*FULL, *[a_head(CHUNKED) + b'1;' + b'x' * 200] * 700],
    'trailers': [
        *FULL,
        *[a_chunked_body(1, 1, b'0\r\n' + b'A: b\r\n' * 1300)] * 700,
    ],
    'small-chunks': [SMALL_CHUNKS] * 600,
    'small-chunks-and-bodies': [*FULL, *[SMALL_CHUNKS] * 300],
    'large-chunks': [
        *FULL,
        *[a_chunked_body(3 * MIB, 1)] * 24,
        *[a_chunked_body(64_000, 1)] * 300,
    ],
    'tiny-chunks': [*FULL, *[TINY_CHUNKS] * 200],
    'mixed': [
        *FULL,
        *[SMALL_CHUNKS] * 150,
        *[LONG_HEAD] * 300,
        *[TINY_CHUNKS] * 20,
    ],
    'announced-far-over': [a_sized_body(10**12, sent=MIB)] * 60,
    'sent-far-over': [a_head(CHUNKED) + b'fffffffff\r\n' + b'x' * MIB] * 60,
    'bytes-after-a-body': [a_head('Content-Length: 0') + b'x' * MIB] * 60,
    'claims': [
        *[a_head(CHUNKED) + b'3fffff\r\n' + b'x' * 1000] * 40,
        *[a_sized_body(BODY_LIMIT_BYTES, sent=1000)] * 40,
    ],
}


def meet_crowd(kind, folder, messages, memory_mb):
    """Checks a program during a crowd and after it has left."""

    async def scenario():
        async with a_program(
            kind, folder, memory_mb=memory_mb, descriptors=4100
        ) as program:
            crowd = Crowd(program, messages)
            await crowd.send(SEND_SECONDS)
            status = await ask_often(program)
            await crowd.leave()
            assert program.is_running
            assert status == 200
            assert await ask(program) == 200
            program.sample()
            return program

    program = asyncio.run(scenario())
    assert program.peak_bytes <= memory_mb * MB, as_json(program)
    assert program.log_bytes <= MAX_LOG_BYTES


@pytest.mark.parametrize('name', CROWDS)
def test_crowd_stays_within_the_memory(tmp_path, name):
    """Guards against memory that no budget counted."""
    meet_crowd('platform', tmp_path, CROWDS[name], MEMORY_MB)


@pytest.mark.parametrize(
    'messages',
    [
        pytest.param([SMALL_CHUNKS] * 900, id='small-chunks'),
        pytest.param([*FULL, *[TINY_CHUNKS] * 200], id='tiny-chunks'),
        pytest.param(CROWDS['mixed'], id='mixed'),
        pytest.param(CROWDS['announced-far-over'], id='announced-far-over'),
        pytest.param(CROWDS['sent-far-over'], id='sent-far-over'),
    ],
)
def test_crowd_stays_within_the_memory_of_a_native_instance(tmp_path, messages):
    meet_crowd('native', tmp_path, messages, NATIVE_MEMORY_MB)


@pytest.mark.parametrize(
    ('size', 'memory_mb'),
    [(BODY_LIMIT_BYTES, MEMORY_MB), (64 * MIB, 200), (64 * MIB, 300)],
)
def test_single_large_request_is_served_in_calm(tmp_path, size, memory_mb):
    async def scenario():
        async with a_program(
            'platform',
            tmp_path,
            memory_mb=memory_mb,
            descriptors=4100,
            body_limit_bytes=size,
        ) as program:
            assert await ask(program, body=b'x' * size) == 200
            return program

    program = asyncio.run(scenario())
    assert program.peak_bytes <= memory_mb * MB, as_json(program)


#: What the callers of a crowd send before they stay: nothing, half a head, or
#: an ordinary request without a body.
OPENINGS = {
    'silent': b'',
    'half-a-head': a_head('X: y')[:-2],
    'idle': a_head('Content-Length: 0'),
}
#: The addresses of each program that a crowd may reach, and a path that an
#: ordinary caller asks for there.
ADDRESSES = [
    pytest.param('platform', 'front', '/leny950/1', 200, id='platform'),
    pytest.param(
        'platform', 'directory', '/api/resolve', 200, id='platform-directory'
    ),
    pytest.param(
        'platform', 'ready', '/api/readiness', 200, id='platform-readiness'
    ),
    pytest.param('platform', 'metrics', '/metrics', 200, id='platform-metrics'),
    pytest.param('platform', 'control', '/', None, id='platform-peers'),
    pytest.param('native', 'front', '/leny950/1', 200, id='native'),
    pytest.param('native', 'ready', '/health', 200, id='native-admin'),
    pytest.param('native', 'control', '/', None, id='native-peers'),
]


@pytest.mark.parametrize('opening', OPENINGS)
@pytest.mark.parametrize(('kind', 'address', 'path', 'status'), ADDRESSES)
def test_crowd_of_connections_leaves_descriptors(
    tmp_path, kind, address, path, status, opening
):
    """Guards against connections that left no descriptor for others."""

    async def scenario():
        async with a_program(
            kind, tmp_path, memory_mb=MEMORY_MB, descriptors=DESCRIPTORS
        ) as program:
            program.limit_descriptors(DESCRIPTORS)
            messages = [OPENINGS[opening]] * (DESCRIPTORS + 100)
            crowd = Crowd(program, messages, address)
            await crowd.send(SEND_SECONDS)
            # The crowd stays while ordinary callers ask.
            assert await ask(program) == 200
            request = {'address': address, 'path': path, 'body': b''}
            assert await ask(program, **request) == status
            await crowd.leave()
            assert program.is_running
            program.sample()
            return program

    program = asyncio.run(scenario())
    limit = DESCRIPTORS - FILE_DESCRIPTORS
    if kind == 'native':
        limit = DESCRIPTORS
    assert program.peak_sockets < limit, as_json(program)
    assert program.log_bytes <= MAX_LOG_BYTES
