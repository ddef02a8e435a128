"""Tests of the endings and verdicts of attempts on loopback connections."""

import asyncio
import time

import pytest

from chervilstep.calls import Ending
from chervilstep.platform.dialect import PLATFORM_DIALECT
from chervilstep.types import Verdict
from tests import builders, wire_builders
from tests.wire_builders import (
    ENDLESS_ANSWERS,
    a_live_attempt,
    a_pool,
    a_raw_upstream,
    an_endless_upstream,
    an_identified_call,
)

HEAD = b'HTTP/1.1 200 OK\r\n'


def test_complete_answer_ran_and_connection_is_reused():
    async def scenario():
        pool = a_pool()
        async with a_raw_upstream() as (server, upstream):
            first = await pool.send(a_live_attempt(upstream))
            second = await pool.send(a_live_attempt(upstream))
            pool.close()
        assert first.ending is second.ending is Ending.ANSWERED
        assert first.verdict is Verdict.RAN
        assert second.answer.body == b'ok'
        assert server.connections == 1

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('answer', 'ending', 'verdict'),
    [
        (wire_builders.NOT_RUN, Ending.SHED, Verdict.NOT_RUN),
        (b'', Ending.LOST, Verdict.MAY_HAVE_RUN),
        (b'nonsense\r\n\r\n', Ending.BAD_ANSWER, Verdict.MAY_HAVE_RUN),
        (
            HEAD + b'Content-Length: 9\r\n\r\ncut',
            Ending.BAD_ANSWER,
            Verdict.MAY_HAVE_RUN,
        ),
        (
            HEAD + b'Transfer-Encoding: chunked\r\n\r\n3\r\ncut\r\n',
            Ending.BAD_ANSWER,
            Verdict.MAY_HAVE_RUN,
        ),
        (HEAD + b'\r\nendless', Ending.BAD_ANSWER, Verdict.MAY_HAVE_RUN),
        (
            HEAD + b'Content-Length: 99999999\r\n\r\n',
            Ending.TOO_LARGE,
            Verdict.RAN,
        ),
    ],
)
def test_response_bytes_decide_ending_and_verdict(answer, ending, verdict):
    async def scenario():
        pool = a_pool()
        async with a_raw_upstream(answer, closes=True) as (_, upstream):
            outcome = await pool.send(a_live_attempt(upstream))
            pool.close()
        assert (outcome.ending, outcome.verdict) == (ending, verdict)
        assert outcome.answer is None

    asyncio.run(scenario())


def test_refused_connection_means_not_run():
    async def scenario():
        upstream = builders.an_upstream(port=wire_builders.a_closed_port())
        outcome = await a_pool().send(a_live_attempt(upstream))
        assert outcome.ending is Ending.CONNECT_FAILED
        assert outcome.verdict is Verdict.NOT_RUN

    asyncio.run(scenario())


def test_expired_deadline_sends_nothing():
    async def scenario():
        async with a_raw_upstream() as (server, upstream):
            outcome = await a_pool().send(a_live_attempt(upstream, seconds=0))
        assert outcome.verdict is Verdict.NOT_RUN
        assert not server.connections

    asyncio.run(scenario())


def test_unresponsive_upstream_times_out_at_the_deadline():
    async def scenario():
        incomplete = HEAD + b'Content-Length: 9\r\n\r\n'
        async with a_raw_upstream(incomplete) as (_, upstream):
            attempt = a_live_attempt(upstream, seconds=0.05)
            outcome = await a_pool().send(attempt)
        assert outcome.ending is Ending.TIMED_OUT
        assert outcome.verdict is Verdict.MAY_HAVE_RUN

    asyncio.run(scenario())


def test_distrusted_connection_is_not_reused():
    async def scenario():
        pool = a_pool(is_trusted=lambda name, opened_at: False)
        async with a_raw_upstream() as (server, upstream):
            await pool.send(a_live_attempt(upstream))
            await pool.send(a_live_attempt(upstream))
        assert server.connections == 2

    asyncio.run(scenario())


def test_a_cancelled_attempt_closes_its_connection():
    async def scenario():
        pool = a_pool()
        incomplete = HEAD + b'Content-Length: 9\r\n\r\n'
        async with a_raw_upstream(incomplete) as (server, upstream):
            task = asyncio.create_task(pool.send(a_live_attempt(upstream)))
            while not server.requests:
                await asyncio.sleep(0)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            await pool.send(a_live_attempt(upstream, seconds=0.05))
        assert server.connections == 2

    asyncio.run(scenario())


def test_request_carries_deadline_and_attempt_number():
    async def scenario():
        async with a_raw_upstream() as (server, upstream):
            await a_pool().send(a_live_attempt(upstream))
        (head,) = server.requests
        assert b'Chervilstep-Attempt: 1' in head
        assert b'Chervilstep-Deadline-Ms: 4' in head

    asyncio.run(scenario())


def a_platform_answer(request_id=None, status=b'200 OK', extra=b''):
    echo = b''
    if request_id is not None:
        echo = b'X-Request-Id: ' + request_id.encode() + b'\r\n'
    return (
        b'HTTP/1.1 '
        + status
        + b'\r\n'
        + echo
        + extra
        + b'Content-Length: 2\r\n\r\nok'
    )


def a_platform_refusal(request_id=None):
    return a_platform_answer(request_id, b'503 Full', b'X-Not-Executed: 1\r\n')


def send_identified_calls(answers, count=2):
    """Sends calls one after another; returns the outcomes and the server."""

    async def scenario():
        pool = a_pool(dialect=PLATFORM_DIALECT)
        outcomes = []
        async with a_raw_upstream(answers) as (server, upstream):
            for number in range(count):
                call = an_identified_call(f'call-{number}')
                outcomes.append(
                    await pool.send(a_live_attempt(upstream, call=call))
                )
            pool.close()
        return outcomes, server

    return asyncio.run(scenario())


@pytest.mark.parametrize(
    'stale', [a_platform_refusal(), a_platform_answer()], ids=['503', '200']
)
def test_answer_without_an_id_on_a_kept_connection_is_not_trusted(stale):
    """A second copy of an earlier answer must not become the next one."""
    (_, second), server = send_identified_calls(
        [a_platform_answer('call-0'), stale]
    )
    assert server.connections == 1
    assert second.ending is Ending.BAD_ANSWER
    assert second.verdict is Verdict.MAY_HAVE_RUN


def test_refusal_without_an_id_on_a_new_connection_is_trusted():
    (outcome,), _ = send_identified_calls([a_platform_refusal()], count=1)
    assert outcome.verdict is Verdict.NOT_RUN


def test_second_copy_of_a_refusal_is_skipped():
    (first, second), server = send_identified_calls(
        [
            a_platform_refusal('call-0'),
            a_platform_refusal('call-0') + a_platform_answer('call-1'),
        ]
    )
    assert first.verdict is Verdict.NOT_RUN
    assert second.verdict is Verdict.RAN
    assert server.connections == 1


def test_bytes_that_arrive_before_the_request_are_not_its_answer():
    async def scenario():
        pool = a_pool()
        async with a_raw_upstream() as (server, upstream):
            await pool.send(a_live_attempt(upstream))
            await server.write(wire_builders.NOT_RUN)
            # Leaves the bytes in the kernel: the loop does not run meanwhile.
            time.sleep(0.05)
            outcome = await pool.send(a_live_attempt(upstream))
            pool.close()
        assert outcome.verdict is Verdict.RAN
        assert server.connections == 2

    asyncio.run(scenario())


#: The limit of a body in the settings of the tests, and the most that the
#: buffers of both sockets and of the stream hold beside it.
MAX_ENDLESS_BYTES = 16 * 1024 * 1024


@pytest.mark.parametrize('kind', ['status line', 'header', 'headers'])
def test_head_above_the_limit_is_a_bad_answer(kind):
    """Guards against an endless head that counted as a crash."""

    async def scenario():
        pool = a_pool()
        async with an_endless_upstream(*ENDLESS_ANSWERS[kind]) as (_, upstream):
            outcome = await pool.send(a_live_attempt(upstream, seconds=2))
            pool.close()
        assert outcome.ending is Ending.BAD_ANSWER
        assert outcome.verdict is Verdict.MAY_HAVE_RUN

    asyncio.run(scenario())


@pytest.mark.parametrize('kind', ENDLESS_ANSWERS)
def test_endless_answer_ends_without_a_success(kind):
    async def scenario():
        pool = a_pool(dialect=PLATFORM_DIALECT)
        async with an_endless_upstream(*ENDLESS_ANSWERS[kind]) as (
            server,
            upstream,
        ):
            call = an_identified_call('call-0')
            outcome = await pool.send(
                a_live_attempt(upstream, seconds=2, call=call)
            )
            pool.close()
        assert outcome.answer is None
        assert outcome.verdict is not Verdict.NOT_RUN
        assert server.sent_bytes < MAX_ENDLESS_BYTES

    asyncio.run(scenario())


@pytest.mark.parametrize('length', ['9' * 5000, '\u00b2', '-1', '1, 2', '+1'])
def test_malformed_length_of_an_answer_is_a_bad_answer(length):
    async def scenario():
        answer = HEAD + f'Content-Length: {length}\r\n\r\nok'.encode()
        async with a_raw_upstream(answer) as (_, upstream):
            outcome = await a_pool().send(a_live_attempt(upstream, seconds=1))
        assert outcome.answer is None
        assert outcome.verdict is not Verdict.NOT_RUN

    asyncio.run(scenario())


@pytest.mark.parametrize('address', ['127.0.0.1', 'host:80', '127.0.0.1:70000'])
def test_malformed_address_means_not_run(address):
    async def scenario():
        upstream = builders.an_upstream(address=address)
        outcome = await a_pool().send(a_live_attempt(upstream))
        assert outcome.ending is Ending.CONNECT_FAILED
        assert outcome.verdict is Verdict.NOT_RUN

    asyncio.run(scenario())
