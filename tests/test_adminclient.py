"""Tests of subcommands whose instance sends something unexpected."""

import asyncio
import sys

import pytest

from chervilstep import cmdline
from chervilstep.adapters.adminclient import fetch_each
from chervilstep.exceptions import OperatorError
from tests.answer_builders import (
    INVALID_STATUSES,
    MALFORMED_HEADS,
    a_framed_answer,
    a_raw_answer,
)
from tests.wire_builders import a_raw_upstream

#: Answers that no admin endpoint sends.
UNEXPECTED = {
    'page': a_raw_answer(body=b'<html></html>'),
    'empty': a_raw_answer(body=b''),
    'list': a_raw_answer(body=b'[1]'),
    'number': a_raw_answer(body=b'1'),
    'bytes': a_raw_answer(body=b'\xff\xfe{'),
    'deep': a_raw_answer(body=b'[' * 100000),
    'redirect': a_raw_answer(b'302 Found', b'Location: ftp://host/status'),
    'switch': b'HTTP/1.1 101 Switching Protocols\r\n\r\n',
    'cut': a_framed_answer(b'Content-Length: 9', body=b'{}'),
    'noise': b'nonsense\r\n\r\n',
    'close': b'',
    'name': MALFORMED_HEADS['name: blank within'],
    **{
        f'status {status[:3].decode()}': a_raw_answer(status, body=b'{}')
        for status in INVALID_STATUSES
    },
}


@pytest.mark.parametrize('kind', UNEXPECTED)
def test_unexpected_answer_raises_operator_error(kind):
    """Guards against tracebacks for a server that is no instance."""

    async def scenario():
        answer = UNEXPECTED[kind]
        async with a_raw_upstream(answer, closes=True) as (_, upstream):
            address = upstream.address
            with pytest.raises(OperatorError, match=address):
                await fetch_each((address,), '/status', {}, dict)

    asyncio.run(scenario())


async def run_subcommand(name, address, *arguments):
    """Returns the exit code, the output and the errors of a subcommand."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'chervilstep',
        name,
        address,
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    printed, errors = await process.communicate()
    return process.returncode, printed.decode(), errors.decode()


def run_against(body, name, *arguments):
    """Runs a subcommand against a server that answers with ``body``."""

    async def scenario():
        answer = a_raw_answer(body=body)
        async with a_raw_upstream(answer, closes=True) as (_, upstream):
            return await run_subcommand(name, upstream.address, *arguments)

    return asyncio.run(scenario())


@pytest.mark.parametrize(
    ('command', 'body'),
    [
        (['status'], b'<html></html>'),
        (['explain', '/strike/1'], b'{}'),
        (['explain', '/strike/1'], b'{"steps": 3, "outcome": "x"}'),
        (['report'], b'{}'),
        (['report'], b'{"burn": []}'),
        (['report'], b'{"burn": {"a/b/c": {"1": [1, 2]}}}'),
        (['report'], b'{"burn": {"a/b/c": {"5m": ["x", 2]}}}'),
        (['report'], b'{"burn": {"a": {}}}'),
    ],
)
def test_subcommand_ends_with_a_message_for_unexpected_fields(command, body):
    exit_code, printed, errors = run_against(body, *command)
    assert exit_code == cmdline.EXIT_FAILURE
    assert errors.startswith('chervilstep: 127.0.0.1:')
    assert 'unexpected answer' in errors
    assert not printed


def test_explanation_is_printed():
    body = b'{"steps": ["route"], "outcome": "sent"}'
    printed = run_against(body, 'explain', '/strike/1')
    assert printed == (0, 'route\n=> sent\n', '')
