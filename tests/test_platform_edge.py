"""Tests of the endpoints, headers and settings of the platform."""

import asyncio
import json
from typing import Any

import pytest
from tornado import httputil

from chervilstep import refusals
from chervilstep.adapters.answers import AnswerReader
from chervilstep.adapters.requests import Request
from chervilstep.calls import Answer, Ending
from chervilstep.commands.gossip import join
from chervilstep.commands.membership import announce_leaving
from chervilstep.platform.addresses import PLATFORM_ADDRESSES, PlatformAddresses
from chervilstep.platform.boot import read_boot_file
from chervilstep.platform.dialect import PlatformDialect
from chervilstep.platform.edge import PlatformEdge
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

#: Statuses that assure a client that its request has not run.
NOT_RUN_STATUSES = {408, 421, 429, 503}
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


class RecordingHandler:
    """Gives every call the same reply, and records the calls."""

    def __init__(self, reply=ANSWER):
        self.reply = reply
        self.calls = []

    async def handle(self, call):
        self.calls.append(call)
        if isinstance(self.reply, Exception):
            raise self.reply
        return self.reply


def an_edge(handler, node=None):
    node = node or a_node()
    PLATFORM_ADDRESSES.put(node.settings.name, PlatformAddresses('', '', ''))
    return PlatformEdge(node, handler.handle, lambda: 10.0)


def a_request(target='/strike/1', **headers):
    fields = {name.replace('_', '-'): text for name, text in headers.items()}
    all_headers = httputil.HTTPHeaders({'Host': 'A.example:80', **fields})
    return Request('GET', target, all_headers, b'')


def serve_one(reply=ANSWER, **headers):
    handler = RecordingHandler(reply)
    response = asyncio.run(an_edge(handler).serve(a_request(**headers)))
    parts = response.encode(is_head=False, closes=False)
    return handler.calls[0], b''.join(parts)


def parse_status(encoded):
    return int(encoded.split(b' ', 2)[1])


def test_limit_of_an_upstream_is_not_forwarded():
    headers = (('Server-Limit', '5'), ('X-Response-Stamp', 's'))
    _, encoded = serve_one(Answer(503, 'Busy', headers, b'body'))
    assert b'X-Response-Stamp: s' in encoded
    assert b'server-limit' not in encoded.lower()


def test_call_has_the_headers_of_the_client():
    call, _ = serve_one(
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


def test_answer_is_forwarded_unchanged():
    _, encoded = serve_one()
    assert parse_status(encoded) == 200
    assert b'X-Response-Stamp: s' in encoded
    assert encoded.endswith(b'\r\n\r\nbody')


@pytest.mark.parametrize('refusal', list(REFUSALS.values()), ids=repr)
def test_status_matches_the_verdict(refusal):
    _, encoded = serve_one(refusal)
    if refusal.verdict is not Verdict.NOT_RUN:
        assert parse_status(encoded) in {502, 504}
    if parse_status(encoded) in NOT_RUN_STATUSES:
        assert refusal.verdict is Verdict.NOT_RUN


def test_unready_refusal_has_retry_after():
    _, encoded = serve_one(refusals.NOT_READY)
    assert parse_status(encoded) == 503
    assert b'Retry-After: 0' in encoded


def test_internal_error_may_have_run():
    _, encoded = serve_one(RuntimeError('broken'))
    assert parse_status(encoded) == 502


def fetch(edge, serve, target):
    response = asyncio.run(serve(a_request(target)))
    (encoded,) = response.encode(is_head=False, closes=False)
    return parse_status(encoded), encoded.partition(b'\r\n\r\n')[2]


def test_resolve_and_readiness_reflect_lame_duck():
    node = a_node()
    join(node, 10)
    edge = an_edge(RecordingHandler(), node)
    status, body = fetch(edge, edge.resolve, '/api/resolve?name=a&zone=akl')
    assert status == 200
    resolved = json.loads(body)
    assert resolved['addresses'] == [node.settings.entry_address]
    assert 0 < resolved['ttlS'] <= 5
    assert fetch(edge, edge.serve_readiness, '/api/readiness')[0] == 200
    assert fetch(edge, edge.serve_readiness, '/else')[0] == 404
    announce_leaving(node, 10)
    assert fetch(edge, edge.resolve, '/api/resolve?name=a')[0] == 503
    assert fetch(edge, edge.serve_readiness, '/api/readiness')[0] == 503


def test_metrics_are_served():
    node = a_node()
    node.counters.add('answers', service='strike')
    edge = an_edge(RecordingHandler(), node)
    status, text = fetch(edge, edge.serve_metrics, '/metrics')
    assert status == 200
    assert b'chervilstep_answers' in text
    assert fetch(edge, edge.serve_metrics, '/else')[0] == 404


def test_request_headers_of_an_attempt():
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
        (400, {'X-Not-Executed': '1'}, Ending.SHED),
        (421, {'X-Instance-Id': 'i-2'}, Ending.MOVED),
        (200, {'X-Not-Executed': '1'}, None),
        (304, {'X-Not-Executed': '1'}, None),
        (500, {'X-Not-Executed': '1'}, None),
        (504, {'X-Not-Executed': '1'}, None),
    ],
)
def test_ending_of_refused_requests(status, headers, ending):
    reader = AnswerReader('GET', 100)
    reader.headers_received(
        httputil.ResponseStartLine('HTTP/1.1', status, ''),
        httputil.HTTPHeaders(headers),
    )
    answer = Answer(status, '', (), b'')
    assert PlatformDialect().refusal_ending(answer, reader) is ending


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
def test_load_header_is_parsed(text, expected):
    report: Any = PlatformDialect().load_report({'X-Server-Load': text}, 7)
    if expected is None:
        assert report is None
    else:
        assert report.measured_at == 7
        assert (
            report.running,
            report.waiting,
            report.slots,
            pytest.approx(report.slowdown),
        ) == expected


def test_boot_file_is_read(tmp_path):
    path = tmp_path / 'boot.toml'
    path.write_text(SETTINGS)
    settings = read_boot_file(str(path))
    assert settings.name == '10.1.0.24:8042'
    assert settings.seeds == {'10.1.0.24:8042': '10.1.0.24:8042'}
    assert settings.allowances.retry_reserve == 58
    timeouts = settings.shutdown_timeouts
    assert timeouts.lame_duck_seconds + timeouts.drain_seconds < 6
    assert settings.locator.ttl_seconds <= 5
