"""Tests of the upstream and store stand-ins over TCP."""

import asyncio
import base64
import json
import random

import pytest
import xxhash

from lab.arrivals import Record
from lab.caller import Caller, Request
from lab.client import Client, NoAnswer, NotSent
from lab.headers import NOT_RUN, REQUEST_ID
from lab.platform import Platform
from lab.processes import free_ports
from lab.queries.measuring import check_outcomes
from lab.store import Store
from tests.answer_builders import (
    INVALID_STATUSES,
    MALFORMED_HEADS,
    a_framed_answer,
    a_raw_answer,
)
from tests.lab_builders import an_upstream_server
from tests.wire_builders import a_raw_upstream

TIMEOUT_SECONDS = 5


async def send_request(
    client, port, target='/strike/1', request_id='a', **options
):
    options.setdefault('seconds', TIMEOUT_SECONDS)
    return await client.send(
        f'127.0.0.1:{port}', 'GET', target, {REQUEST_ID: request_id}, **options
    )


async def run_with_upstream(scenario, **traits):
    upstream = an_upstream_server(free_ports(1)[0], **traits)
    upstream.listen()
    client = Client()
    try:
        await scenario(upstream, client)
    finally:
        client.close()


def test_answer_has_request_id_and_run_is_counted():
    async def scenario(upstream, client):
        response = await send_request(client, upstream.port)
        assert json.loads(response.body)['request_id'] == 'a'
        assert upstream.server.runs == {'a': 1}

    asyncio.run(run_with_upstream(scenario))


def test_shed_request_is_marked_and_never_runs():
    async def scenario(upstream, client):
        answers = await asyncio.gather(
            *(
                send_request(client, upstream.port, request_id=name)
                for name in 'abcd'
            )
        )
        shed = [answer for answer in answers if answer.status == 503]
        assert [answer.headers[NOT_RUN] for answer in shed] == ['1', '1']
        assert len(upstream.server.runs) == 2

    asyncio.run(run_with_upstream(scenario, slots=1, queue_limit=1))


def test_abandoned_request_frees_its_slot():
    async def scenario(upstream, client):
        with pytest.raises(NoAnswer):
            await send_request(client, upstream.port, seconds=0.05)
        while upstream.server.in_flight:
            await asyncio.sleep(0.01)
        assert upstream.server.counts['cancelled'] == 1

    asyncio.run(run_with_upstream(scenario, mean_seconds=30))


def test_silence_affects_only_open_connections():
    async def scenario(upstream, client):
        await send_request(client, upstream.port)
        upstream.inject_fault('silence', '')
        with pytest.raises(NoAnswer):
            await send_request(
                client, upstream.port, request_id='b', seconds=0.1
            )
        response = await send_request(client, upstream.port, request_id='c')
        assert response.status == 200
        assert 'b' not in upstream.server.runs

    asyncio.run(run_with_upstream(scenario))


def test_crash_closes_connections_and_port():
    async def scenario(upstream, client):
        upstream.inject_fault('crash-on', 'poison')
        with pytest.raises(NoAnswer):
            await send_request(client, upstream.port, '/strike/poison')
        with pytest.raises(NotSent):
            await send_request(client, upstream.port)

    asyncio.run(run_with_upstream(scenario))


def test_watch_waits_for_change():
    async def scenario():
        port = free_ports(1)[0]
        platform = Platform(Store(), port)
        platform.listen()
        client = Client()
        target = '/api/kv-watch?prefix=sections/&after=1&waitMs=4000'
        watch = asyncio.create_task(send_request(client, port, target))
        while not platform.store.calls:
            await asyncio.sleep(0.01)
        platform.put('sections/zones', 'text')
        answer = json.loads((await watch).body)
        (event,) = answer['events']
        assert base64.b64decode(event['value']) == b'text'
        await platform.stop_listening()
        with pytest.raises(NotSent):
            await send_request(Client(), port, target)
        client.close()

    asyncio.run(scenario())


#: A body by which a caller recognizes the answer to its request.
OWN_BODY = json.dumps(
    {
        'request_id': 'r-1',
        'upstream': 'strike-1',
        'body_digest': xxhash.xxh64_hexdigest(b''),
    }
).encode()


def checks_of_a_call(answer):
    """Returns the checks of one call of a caller that got ``answer``."""

    async def scenario():
        client = Client()
        async with a_raw_upstream(answer, closes=True) as (_, upstream):
            caller = Caller((), client, random.Random(1))
            caller._addresses = (upstream.address,)
            caller._valid_until = caller._refresh_at = float('inf')
            request = Request('r-1', '', 'GET', '/strike/1')
            outcome = await caller.send(request, TIMEOUT_SECONDS)
        client.close()
        record = Record(
            'r-1',
            '',
            'strike',
            is_idempotent=True,
            scheduled_at=0,
            lateness=0,
            latency=0,
            outcome=outcome,
        )
        return check_outcomes([record], {'r-1': 1}, 0)

    return asyncio.run(scenario())


@pytest.mark.parametrize('status', INVALID_STATUSES)
def test_caller_notices_invalid_statuses(status):
    """Guards against checks that count a broken answer as an answer."""
    checks = checks_of_a_call(a_raw_answer(status, body=OWN_BODY))
    assert checks.wrong_answers == 1


@pytest.mark.parametrize('kind', MALFORMED_HEADS)
def test_caller_notices_malformed_heads(kind):
    checks = checks_of_a_call(MALFORMED_HEADS[kind])
    assert checks.wrong_answers == 1


def test_caller_takes_a_lost_connection_for_no_wrong_answer():
    cut = a_framed_answer(b'Content-Length: 999', body=OWN_BODY)
    assert checks_of_a_call(cut).are_clean
    assert checks_of_a_call(b'').are_clean
    assert checks_of_a_call(a_raw_answer(body=OWN_BODY)).are_clean
