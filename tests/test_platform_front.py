"""Tests of what the platform's clients and servers see."""

import asyncio
import json
from typing import Any

import pytest
from tornado import httputil

from chervilstep import refusals
from chervilstep.adapters.answering import AnswerReader
from chervilstep.adapters.requests import Request
from chervilstep.calls import Answer, Ending
from chervilstep.commands.gossip import join
from chervilstep.commands.membership import announce_leaving
from chervilstep.platform.boot import read_boot
from chervilstep.platform.front import PlatformEdge
from chervilstep.platform.places import PLACES, Places
from chervilstep.platform.upstreams import PlatformDialect
from chervilstep.queries.headers import digest_key
from chervilstep.refusals import REFUSALS
from chervilstep.types import Verdict
from tests.builders import (
    a_customer,
    a_node,
    a_ticket,
    an_attempt,
    an_upstream,
)

#: Statuses by which a client learns that its request has not run.
PROMISES = {408, 421, 429, 503}
ANSWER = Answer(200, 'OK', (('X-Response-Stamp', 's'),), b'body')
SETTINGS = """
zone = "akl"
seeds = ["10.1.0.24:8042"]
[bindAddrs]
front = "10.1.0.24:8045"
readyAddr = "10.1.0.24:8048"
control = "10.1.0.24:8042"
directory = "10.1.0.24:8044"
[bounds]
graceS = 6
quotaWindowS = 5
quotaOverage = 0.25
quotaSlack = 20
retryRatio = 0.2
retrySlack = 58
retryWindowS = 10
coldOverage = 1.5
coldSlack = 5
[platform]
address = "10.200.1.7:8041"
"""


class Desk:
    """Answers every call alike, and keeps the calls."""

    def __init__(self, reply=ANSWER):
        self.reply = reply
        self.calls = []

    async def handle(self, call):
        self.calls.append(call)
        if isinstance(self.reply, Exception):
            raise self.reply
        return self.reply


def an_edge(desk, node=None):
    node = node or a_node()
    PLACES.put(node.settings.name, Places('', '', ''))
    return PlatformEdge(node, desk.handle, lambda: 10.0)


def a_request(target='/strike/1', **headers):
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    fields = httputil.HTTPHeaders({'Host': 'A.example:80', **named})
    return Request('GET', target, fields, b'')


def served(reply=ANSWER, **headers):
    desk = Desk(reply)
    response = asyncio.run(an_edge(desk).serve(a_request(**headers)))
    return desk.calls[0], response.encode(is_head=False, closes=False)


def status_of(encoded):
    return int(encoded.split(b' ', 2)[1])


def test_call_carries_what_the_client_said():
    call, _ = served(
        X_Request_Id='r1',
        X_Deadline_Ms='800',
        Authorization='Bearer k',
        X_Tenant_Id='forged',
        X_Expect_Instance='forged',
        X_Other='kept',
    )
    assert call.host == 'a.example'
    assert call.request_id == 'r1'
    assert call.deadline.at == pytest.approx(10.8)
    assert call.key_digest == digest_key('k')
    assert dict(call.headers) == {
        'Host': 'A.example:80',
        'X-Request-Id': 'r1',
        'X-Other': 'kept',
    }


def test_answer_passes_unchanged():
    _, encoded = served()
    assert status_of(encoded) == 200
    assert b'X-Response-Stamp: s' in encoded
    assert encoded.endswith(b'\r\n\r\nbody')


@pytest.mark.parametrize('refusal', list(REFUSALS.values()), ids=repr)
def test_statuses_keep_their_promise(refusal):
    _, encoded = served(refusal)
    if refusal.verdict is not Verdict.NOT_RUN:
        assert status_of(encoded) in {502, 504}
    if status_of(encoded) in PROMISES:
        assert refusal.verdict is Verdict.NOT_RUN


def test_instance_without_a_configuration_asks_to_come_back():
    _, encoded = served(refusals.NOT_READY)
    assert status_of(encoded) == 503
    assert b'Retry-After: 0' in encoded


def test_fault_of_our_own_promises_nothing():
    _, encoded = served(RuntimeError('broken'))
    assert status_of(encoded) == 502


def ask(edge, serve, target):
    response = asyncio.run(serve(a_request(target)))
    encoded = response.encode(is_head=False, closes=False)
    return status_of(encoded), encoded.partition(b'\r\n\r\n')[2]


def test_directory_and_readiness():
    node = a_node()
    join(node, 10)
    edge = an_edge(Desk(), node)
    status, body = ask(edge, edge.resolve, '/api/resolve?name=a&zone=akl')
    assert status == 200
    found = json.loads(body)
    assert found['addresses'] == [node.settings.entry_address]
    assert 0 < found['ttlS'] <= 5
    assert ask(edge, edge.tell_readiness, '/api/readiness')[0] == 200
    assert ask(edge, edge.tell_readiness, '/else')[0] == 404
    announce_leaving(node, 10)
    assert ask(edge, edge.resolve, '/api/resolve?name=a')[0] == 503
    assert ask(edge, edge.tell_readiness, '/api/readiness')[0] == 503


def test_metrics():
    node = a_node()
    node.counters.add('answers', service='strike')
    edge = an_edge(Desk(), node)
    status, text = ask(edge, edge.tell_metrics, '/metrics')
    assert status == 200
    assert b'chervilstep_answers' in text
    assert ask(edge, edge.tell_metrics, '/else')[0] == 404


def test_server_gets_the_terms_of_the_attempt():
    attempt = an_attempt(
        a_ticket(customer=a_customer()),
        an_upstream('i-1/1700', identity='i-1'),
    )
    headers = dict(PlatformDialect().request_headers(attempt, 0.4))
    assert headers == {
        'X-Deadline-Ms': '600',
        'X-Expect-Instance': 'i-1',
        'X-Tenant-Id': 'fletcher',
    }


@pytest.mark.parametrize(
    ('status', 'headers', 'ending'),
    [
        (200, {}, None),
        (500, {}, None),
        (503, {}, None),
        (503, {'X-Not-Executed': '1'}, Ending.SHED),
        (429, {'X-Not-Executed': '1'}, Ending.SHED),
        (421, {'X-Instance-Id': 'i-2'}, Ending.MOVED),
    ],
)
def test_servers_say_what_they_have_not_run(status, headers, ending):
    reader = AnswerReader('GET', 100)
    reader.headers_received(
        httputil.ResponseStartLine('HTTP/1.1', status, ''),
        httputil.HTTPHeaders(headers),
    )
    answer = Answer(status, '', (), b'')
    assert PlatformDialect().refusal(answer, reader) is ending


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('3,1,8', (3, 1, 8, 1)),
        ('3,1,8,500', (3, 1, 8, 5)),
        ('3,1,8,100.5', (3, 1, 8, 1.005)),
        ('', None),
        ('3,1', None),
        ('a,b,c', None),
        ('3,1,8,fast', None),
        ('-3,1,8', None),
    ],
)
def test_loads(text, expected):
    found: Any = PlatformDialect().report({'X-Server-Load': text}, 7)
    if expected is None:
        assert found is None
    else:
        assert found.measured_at == 7
        assert (
            found.running,
            found.waiting,
            found.slots,
            pytest.approx(found.slowdown),
        ) == expected


def test_settings_of_the_platform(tmp_path):
    path = tmp_path / 'boot.toml'
    path.write_text(SETTINGS)
    settings = read_boot(str(path))
    assert settings.name == '10.1.0.24:8042'
    assert settings.seeds == {'10.1.0.24:8042': '10.1.0.24:8042'}
    assert settings.allowances.retry_reserve == 58
    stopping = settings.shutdown_timeouts
    assert stopping.lame_duck_seconds + stopping.drain_seconds < 6
    assert settings.locator.ttl_seconds <= 5
