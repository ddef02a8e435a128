"""Tests of the HTTP front end with requests sent as raw bytes."""

import asyncio
import json

import pytest

from chervilstep.calls import Answer
from chervilstep.refusals import RATE_EXCEEDED
from tests import builders
from tests.wire_builders import (
    a_blocking_client,
    a_raw_client,
    an_entry_server,
    an_instance,
    receive_all,
    send_and_read_all,
)

CLOSE = b'Connection: close\r\n\r\n'


class RecordingHandler:
    """Records calls and returns the same reply to each."""

    __slots__ = ('calls', 'reply')

    def __init__(self, reply):
        self.reply = reply
        self.calls = []

    async def __call__(self, call):
        self.calls.append(call)
        return self.reply


def send_and_record(request, reply=None, node=None):
    recorder = RecordingHandler(
        reply or Answer(200, 'OK', [('X-Served', 'yes')], b'body')
    )

    async def scenario():
        async with an_entry_server(recorder, node) as port:
            return await send_and_read_all(port, request)

    return asyncio.run(scenario()), recorder.calls


def test_a_request_becomes_a_call_without_its_key():
    answer, (call,) = send_and_record(
        b'POST /strike/1?fresh=yes HTTP/1.1\r\nHost: x\r\n'
        b'Authorization: Bearer key-of-fletcher\r\n'
        b'Chervilstep-Deadline-Ms: 900\r\nX-Own: kept\r\n'
        b'Content-Length: 4\r\n' + CLOSE + b'cube'
    )
    assert answer.startswith(b'HTTP/1.1 200 OK\r\nX-Served: yes\r\n')
    assert answer.endswith(b'\r\n\r\nbody')
    assert call.key_digest == builders.digest_key(builders.KEY)
    assert (call.path, call.body) == ('/strike/1', b'cube')
    assert call.headers == (('Host', 'x'), ('X-Own', 'kept'))
    assert call.deadline is not None


def test_a_refusal_carries_its_verdict():
    answer, _ = send_and_record(
        b'GET /strike/1 HTTP/1.1\r\n' + CLOSE, RATE_EXCEEDED
    )
    head, _, body = answer.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 429 ')
    assert b'Chervilstep-Verdict: not-run' in head
    assert json.loads(body)['reason'] == 'rate-exceeded'


@pytest.mark.parametrize(
    ('request_bytes', 'status', 'reason'),
    [
        (b'GET /strike/1?key=a HTTP/1.1\r\n' + CLOSE, 400, b'key-in-query'),
        (
            b'POST /strike/ HTTP/1.1\r\nContent-Length: 2000000\r\n'
            + CLOSE
            + b'x' * 2000000,
            413,
            b'body-too-large',
        ),
        (
            b'POST /strike/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n'
            + CLOSE
            + b'200000\r\n'
            + b'x' * 0x200000
            + b'\r\n0\r\n\r\n',
            413,
            b'body-too-large',
        ),
        (
            b'GET /strike/ HTTP/1.1\r\nX-Long: '
            + b'x' * 20000
            + b'\r\n'
            + CLOSE,
            431,
            b'headers-too-large',
        ),
    ],
)
def test_invalid_request_is_refused_with_a_reason(
    request_bytes, status, reason
):
    answer, calls = send_and_record(request_bytes)
    assert answer.startswith(f'HTTP/1.1 {status} '.encode())
    assert reason in answer
    assert b'not-run' in answer
    assert not calls


def test_locator_returns_this_instance():
    node = builders.a_ready_node()
    builders.set_instances(node, [an_instance()])
    answer, calls = send_and_record(
        b'GET /chervilstep/addresses HTTP/1.1\r\n' + CLOSE, node=node
    )
    body = json.loads(answer.partition(b'\r\n\r\n')[2])
    assert body == {'addresses': ['entry-1:8000'], 'keep_ms': 5000}
    assert not calls


def test_internal_error_is_answered_with_a_verdict():
    async def fail(call):
        raise ValueError('broken')

    async def scenario():
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: None
        )
        async with an_entry_server(fail) as port:
            return await send_and_read_all(
                port, b'GET /strike/1 HTTP/1.1\r\n' + CLOSE
            )

    answer = asyncio.run(scenario())
    assert b'Chervilstep-Verdict: may-have-run' in answer


def test_disconnect_cancels_the_call():
    started = []
    cancelled = []

    async def wait_forever(call):
        started.append(call)
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            cancelled.append(call)
            raise

    async def scenario():
        async with an_entry_server(wait_forever) as port:
            _, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(b'GET /strike/1 HTTP/1.1\r\n\r\n')
            while not started:
                await asyncio.sleep(0)
            writer.close()
            while not cancelled:
                await asyncio.sleep(0)

    asyncio.run(scenario())
    assert cancelled == started


def test_request_in_the_backlog_is_answered_after_the_server_stops():
    recorder = RecordingHandler(Answer(200, 'OK', (), b'body'))

    async def scenario():
        async with an_entry_server(recorder) as port:
            request = b'GET /strike/1 HTTP/1.1\r\nHost: x\r\n' + CLOSE
            clients = [a_blocking_client(port, request) for _ in range(20)]
        return [await receive_all(client) for client in clients]

    answers = asyncio.run(scenario())
    assert all(answer.endswith(b'body') for answer in answers)


def test_answers_of_a_leaving_instance_close_their_connection():
    node = builders.a_node()
    request = b'GET /strike/1 HTTP/1.1\r\nHost: x\r\n\r\n'

    async def scenario():
        handler = RecordingHandler(Answer(200, 'OK', (), b'body'))
        async with an_entry_server(handler, node) as port:
            async with a_raw_client(port) as (reader, writer):
                writer.write(request)
                before = await reader.readuntil(b'body')
                node.members.mark_leaving()
                writer.write(request)
                return before, await reader.readuntil(b'body')

    before, after = asyncio.run(scenario())
    assert b'Connection: close' not in before
    assert b'Connection: close' in after


@pytest.mark.parametrize('length', [b'9' * 5000, b'-1', b'1x'])
def test_malformed_length_of_a_request_is_refused(length):
    answer, calls = send_and_record(
        b'POST /strike/1 HTTP/1.1\r\nHost: x\r\nContent-Length: '
        + length
        + b'\r\n'
        + CLOSE
    )
    assert answer.startswith(b'HTTP/1.1 400')
    assert not calls


@pytest.mark.parametrize(
    'reply',
    [RATE_EXCEEDED, Answer(204, 'No Content', (), b'')],
    ids=['refusal', 'answer'],
)
def test_reply_to_a_head_request_arrives_without_a_body(reply):
    """Guards against refusals whose body ended the connection instead."""
    received, _ = send_and_record(
        b'HEAD /strike/1 HTTP/1.1\r\nHost: x\r\n' + CLOSE, reply
    )
    head, separator, body = received.partition(b'\r\n\r\n')
    assert head.startswith(f'HTTP/1.1 {reply.status} '.encode())
    assert separator
    assert not body
