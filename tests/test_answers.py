"""Tests of what counts as an answer of an upstream."""

import asyncio

import pytest

from chervilstep.adapters.answers import MAX_FAULT_CHARACTERS
from chervilstep.calls import Answer, Ending
from chervilstep.platform.dialect import PLATFORM_DIALECT
from chervilstep.platform.edge import PLATFORM_EDGE
from chervilstep.types import Verdict
from tests.answer_builders import (
    CLAIMS,
    INVALID_STATUSES,
    MALFORMED_CHUNKS,
    MALFORMED_FRAMINGS,
    MALFORMED_HEADS,
    REQUEST_ID,
    SOUND,
    SOUND_ANSWERS,
    SOUND_BEHIND_INTERIM,
    SOUND_CHUNKED,
    SOUND_REFUSAL,
    a_chunked_answer,
    a_framed_answer,
    a_head_with,
    a_raw_answer,
    a_raw_call,
    a_raw_request,
    status_of,
)
from tests.builders import an_upstream
from tests.entry_builders import (
    FRONT_ENDS,
    a_breaking_upstream,
    a_scripted_upstream,
    an_entry,
    exchange,
    fetch_through,
)
from tests.wire_builders import a_live_attempt, a_pool, a_raw_upstream


def send_once(*answers, method='GET'):
    """Sends one attempt; the answers follow each other on the connection."""

    async def scenario():
        pool = a_pool(dialect=PLATFORM_DIALECT)
        raw = b''.join(answers)
        async with a_raw_upstream(raw, closes=True) as (_, upstream):
            call = a_raw_call(method)
            outcome = await pool.send(a_live_attempt(upstream, 1, call))
            pool.close()
        return outcome

    return asyncio.run(scenario())


@pytest.mark.parametrize('method', ['GET', 'POST', 'HEAD'])
@pytest.mark.parametrize('status', INVALID_STATUSES)
@pytest.mark.parametrize('kind', FRONT_ENDS)
def test_status_outside_the_standard_range_never_reaches_callers(
    kind, status, method
):
    """Guards against an answer with status 000 that was passed on."""
    answer = a_raw_answer(status, b'X-Response-Stamp: s')
    response, _, server = fetch_through(kind, answer, method)
    assert status_of(response) == b'502'
    assert b'X-Response-Stamp' not in response[0]
    assert len(server.requests) == 1


@pytest.mark.parametrize('status', INVALID_STATUSES)
@pytest.mark.parametrize('more', [b'', SOUND], ids=['alone', 'and another'])
def test_nothing_is_believed_of_an_answer_with_an_invalid_status(status, more):
    """Guards against "not run" on the word of an invalid answer."""
    outcome = send_once(a_raw_answer(status, *CLAIMS), more)
    assert outcome.ending is Ending.BAD_ANSWER
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert outcome.answer is None
    assert outcome.report is None
    assert outcome.stated_limit is None
    assert not outcome.notice.is_leaving
    assert not outcome.notice.pause_seconds


def test_invalid_status_after_an_interim_answer_is_no_answer():
    interim = b'HTTP/1.1 103 Early Hints\r\n\r\n'
    outcome = send_once(interim, a_raw_answer(b'000 None'))
    assert outcome.ending is Ending.BAD_ANSWER
    assert outcome.answer is None


@pytest.mark.parametrize('status', [b'200 OK', b'299 Own', b'599 Last'])
@pytest.mark.parametrize('kind', FRONT_ENDS)
def test_every_status_within_the_range_is_passed_on(kind, status):
    response, _, _ = fetch_through(kind, a_raw_answer(status))
    assert response[0].startswith(b'HTTP/1.1 ' + status + b'\r\n')
    assert response[1] == b'ok'


@pytest.mark.parametrize('kind', MALFORMED_HEADS)
def test_malformed_head_is_a_bad_answer(kind):
    """Guards against broken bytes that counted as a crash of the upstream."""
    outcome = send_once(MALFORMED_HEADS[kind])
    assert outcome.ending is Ending.BAD_ANSWER
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert outcome.answer is None


@pytest.mark.parametrize(
    'answer',
    [
        MALFORMED_HEADS['line: no colon'],
        SOUND[:1],
        SOUND[:20],
        SOUND[:-5],
        SOUND[:-1],
        b'',
    ],
)
def test_request_is_suspected_only_of_lost_connections(answer):
    """Guards against a request that was held back for its bad answers."""
    response, entry, _ = fetch_through(PLATFORM_EDGE, answer)
    kinds = [each.message.kind for each in entry.node.outbox.envelopes]
    assert status_of(response) == b'502'
    assert ('crash' in kinds) is (not answer)


@pytest.mark.parametrize(
    ('answer', 'fault'),
    [
        (a_raw_answer(b'000 None'), 'status 000 is not within 100 to 599'),
        (MALFORMED_HEADS['name: blank within'], "header name 'X y'"),
        (MALFORMED_HEADS['status line: noise'], 'response start line'),
        (a_framed_answer(b'Content-Length: 2x', body=b'ok'), 'Content-Length'),
        (a_framed_answer(b'Content-Length: 9', body=b'ok'), 'closed within'),
        (b'HTTP/1.1 200 ' + b'O' * 2**16, 'above its limit'),
        (a_head_with(b'X' * 9999 + b' y: 1'), 'Invalid header name'),
    ],
    ids=['status', 'name', 'noise', 'length', 'cut', 'endless', 'long name'],
)
def test_broken_answer_is_logged_with_its_upstream_and_fault(answer, fault):
    """Guards against a 502 whose cause no line of the log told."""
    _, entry, _ = fetch_through(PLATFORM_EDGE, answer)
    (attempt,) = [
        fields for name, fields in entry.events if name == 'attempt_ended'
    ]
    assert attempt['request'] == REQUEST_ID
    assert attempt['upstream'] == 'strike-1'
    assert attempt['ending'] == 'bad-answer'
    assert fault in attempt['fault']
    assert len(attempt['fault']) <= MAX_FAULT_CHARACTERS
    assert entry.node.counters.total('bad_answers', service='strike') == 1


def test_sound_answer_counts_as_no_fault():
    _, entry, _ = fetch_through(PLATFORM_EDGE, SOUND)
    assert not entry.node.counters.total('bad_answers', service='strike')


def break_off(sent, *, resets):
    """Sends one attempt to an upstream that breaks off its answer."""

    async def scenario():
        pool = a_pool(dialect=PLATFORM_DIALECT)
        async with a_breaking_upstream(sent, resets=resets) as (_, upstream):
            outcome = await pool.send(a_live_attempt(upstream, 2, a_raw_call()))
            pool.close()
        return outcome

    return asyncio.run(scenario())


def test_body_that_was_cut_by_a_reset_is_a_bad_answer():
    sent = a_framed_answer(*CLAIMS, body=b'the first half')
    outcome = break_off(sent, resets=True)
    assert outcome.ending is Ending.BAD_ANSWER
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert outcome.fault == 'body cut by a reset'
    assert outcome.answer is None


def test_body_that_ends_with_its_connection_is_an_answer():
    outcome = break_off(a_framed_answer(body=b'the whole'), resets=False)
    assert outcome.answer.body == b'the whole'


@pytest.mark.parametrize('kind', MALFORMED_FRAMINGS)
@pytest.mark.parametrize(
    ('method', 'status'), [('HEAD', b'200 OK'), ('GET', b'304 Unchanged')]
)
def test_malformed_framing_of_an_answer_without_a_body(method, status, kind):
    """Guards against malformed lengths in the answers to HEAD requests."""
    sent = a_framed_answer(*MALFORMED_FRAMINGS[kind], status=status)
    outcome = send_once(sent, method=method)
    assert outcome.ending is Ending.BAD_ANSWER
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert outcome.answer is None


@pytest.mark.parametrize('kind', FRONT_ENDS)
def test_malformed_length_never_reaches_callers_of_head(kind):
    sent = a_framed_answer(b'Content-Length: two')
    response, _, _ = fetch_through(kind, sent, 'HEAD')
    assert status_of(response) == b'502'
    assert b'two' not in response[0]


@pytest.mark.parametrize(
    'lengths', [[b'2'], [b'2', b'2'], [b'2, 2'], [b'002'], []]
)
@pytest.mark.parametrize('kind', FRONT_ENDS)
def test_length_of_an_answer_to_head_is_passed_on_once(kind, lengths):
    fields = [b'Content-Length: ' + length for length in lengths]
    response, _, _ = fetch_through(kind, a_framed_answer(*fields), 'HEAD')
    passed = [
        line
        for line in response[0].split(b'\r\n')
        if line.lower().startswith(b'content-length')
    ]
    assert status_of(response) == b'200'
    assert passed == fields[:1] or passed == [b'Content-Length: 2']
    assert len(passed) == bool(lengths)


#: What may follow an answer that switches protocols.
AFTER_A_SWITCH = [b'', SOUND, b'\x81\x02ok']


@pytest.mark.parametrize('more', AFTER_A_SWITCH, ids=['end', 'http', 'frame'])
def test_switch_of_protocols_without_a_request_is_a_bad_answer(more):
    """Guards against bytes of another protocol that became an answer."""
    switch = b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n'
    outcome = send_once(switch, more)
    assert outcome.ending is Ending.BAD_ANSWER
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert outcome.answer is None
    assert outcome.fault == 'status 101 without a request to switch protocols'


@pytest.mark.parametrize('status', [b'100 Continue', b'102 Busy', b'103 Early'])
@pytest.mark.parametrize('kind', FRONT_ENDS)
def test_answer_behind_interim_ones_is_passed_on(kind, status):
    interim = b'HTTP/1.1 ' + status + b'\r\nLink: </a>\r\n\r\n'
    response, _, _ = fetch_through(kind, interim + interim + SOUND)
    assert status_of(response) == b'200'
    assert response[1] == b'ok'
    assert b'Link' not in response[0]


@pytest.mark.parametrize('kind', MALFORMED_FRAMINGS)
def test_malformed_framing_is_a_bad_answer(kind):
    sent = a_framed_answer(*MALFORMED_FRAMINGS[kind], *CLAIMS, body=b'ok')
    outcome = send_once(sent)
    assert outcome.answer is None
    assert outcome.verdict is not Verdict.NOT_RUN
    assert not outcome.notice.is_leaving


@pytest.mark.parametrize('kind', MALFORMED_CHUNKS)
def test_malformed_chunks_are_a_bad_answer(kind):
    outcome = send_once(a_chunked_answer(MALFORMED_CHUNKS[kind], *CLAIMS))
    assert outcome.ending is Ending.BAD_ANSWER
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert outcome.answer is None


@pytest.mark.parametrize('broken', [*MALFORMED_HEADS.values()][::5])
@pytest.mark.parametrize('method', ['POST', 'HEAD'])
@pytest.mark.parametrize('kind', FRONT_ENDS)
def test_malformed_head_reaches_no_caller(kind, method, broken):
    response, _, server = fetch_through(kind, broken, method)
    assert status_of(response) == b'502'
    assert b'X-Odd' not in response[0]
    assert len(server.requests) == 1


@pytest.mark.parametrize(
    'whole',
    [SOUND, SOUND_CHUNKED, SOUND_REFUSAL, SOUND_BEHIND_INTERIM],
    ids=['length', 'chunks', 'refusal', 'interim'],
)
def test_answer_that_stops_early_is_no_answer(whole):
    """Guards against a part of an answer that is framed as a whole one."""

    async def scenario():
        for end in range(len(whole)):
            pool = a_pool(dialect=PLATFORM_DIALECT)
            async with a_breaking_upstream(whole[:end], resets=False) as (
                _,
                upstream,
            ):
                call = a_raw_call()
                outcome = await pool.send(a_live_attempt(upstream, 5, call))
                pool.close()
            assert outcome.answer is None, whole[:end]
            assert outcome.verdict is Verdict.MAY_HAVE_RUN, whole[:end]
            assert (outcome.ending is Ending.LOST) is (not end)
            assert not outcome.notice.is_leaving

    asyncio.run(scenario())


@pytest.mark.parametrize('resets', [False, True], ids=['close', 'reset'])
@pytest.mark.parametrize('kind', FRONT_ENDS)
def test_stop_within_an_answer_reaches_no_caller(kind, resets):
    ends = range(1, len(SOUND_CHUNKED), 7)

    async def scenario():
        for end in ends:
            async with (
                a_breaking_upstream(SOUND_CHUNKED[:end], resets=resets) as (
                    server,
                    upstream,
                ),
                an_entry(kind, upstream) as entry,
            ):
                request = a_raw_request('POST')
                (response,) = await exchange(entry.port, request)
            assert status_of(response) == b'502', SOUND_CHUNKED[:end]
            assert server.requests == 1

    asyncio.run(scenario())


@pytest.mark.parametrize('answer', SOUND_ANSWERS)
@pytest.mark.parametrize('kind', FRONT_ENDS)
def test_sound_answer_is_passed_on_whole(kind, answer):
    response, _, _ = fetch_through(kind, SOUND_ANSWERS[answer])
    assert status_of(response) == b'200'
    assert response[1] == b'ok'


def test_broken_answer_behind_a_sound_one_is_a_bad_answer():
    async def scenario():
        pool = a_pool(dialect=PLATFORM_DIALECT)
        broken = MALFORMED_HEADS['line: no colon']
        async with a_raw_upstream([SOUND, broken]) as (server, upstream):
            outcomes = [
                await pool.send(a_live_attempt(upstream, 2, a_raw_call()))
                for _ in range(2)
            ]
            pool.close()
        assert [each.ending for each in outcomes] == [
            Ending.ANSWERED,
            Ending.BAD_ANSWER,
        ]
        assert server.connections == 1

    asyncio.run(scenario())


@pytest.mark.parametrize('kind', FRONT_ENDS)
def test_broken_answer_keeps_its_place_among_pipelined_ones(kind):
    """Guards against an answer that moves up to another request."""
    sound = SOUND.replace(b'r-1', b'r-%d')
    answers = {
        'r-1': sound % 1,
        'r-2': a_raw_answer(b'000 None'),
        'r-3': sound % 3,
        'r-4': MALFORMED_HEADS['line: no colon'],
        'r-5': sound % 5,
    }

    async def scenario():
        async with (
            a_scripted_upstream(answers) as (_, upstream),
            an_entry(kind, upstream) as entry,
        ):
            requests = [a_raw_request(request_id=name) for name in answers]
            return await exchange(entry.port, *requests)

    responses = asyncio.run(scenario())
    statuses = [status_of(response) for response in responses]
    assert statuses == [b'200', b'502', b'200', b'502', b'200']
    for number in (1, 3, 5):
        assert b'X-Request-Id: r-%d' % number in responses[number - 1][0]


def call_two_upstreams(answers, method='GET', calls=1):
    """Sends calls with two attempts each; returns statuses and requests."""

    async def scenario():
        async with (
            a_raw_upstream(answers[0], closes=True) as (first, one),
            a_raw_upstream(answers[1], closes=True) as (second, other),
        ):
            renamed = an_upstream('strike-2', address=other.address)
            async with an_entry(
                PLATFORM_EDGE, one, renamed, attempts=2
            ) as entry:
                statuses = []
                for _ in range(calls):
                    request = a_raw_request(method)
                    (response,) = await exchange(entry.port, request)
                    statuses.append(status_of(response))
        return statuses, len(first.requests) + len(second.requests)

    return asyncio.run(scenario())


@pytest.mark.parametrize('broken', [*MALFORMED_HEADS.values()][::8])
@pytest.mark.parametrize(('method', 'attempts'), [('GET', 2), ('POST', 1)])
def test_only_idempotent_calls_are_repeated_after_a_broken_answer(
    method, attempts, broken
):
    statuses, sent = call_two_upstreams([broken, broken], method)
    assert statuses == [b'502']
    assert sent == attempts


def test_another_upstream_answers_after_a_broken_answer():
    broken = a_raw_answer(b'000 None', *CLAIMS)
    statuses, _ = call_two_upstreams([broken, SOUND], calls=10)
    assert statuses == [b'200'] * 10


@pytest.mark.parametrize('status', [-1, 0, 99, 100, 101, 199, 600, 999])
def test_no_front_end_gets_an_answer_without_a_final_status(status):
    with pytest.raises(ValueError, match='final'):
        Answer(status, 'OK', (), b'')


@pytest.mark.parametrize('status', [b'200 OK', b'500 Error', b'504 Late'])
def test_answer_that_claims_both_to_have_run_and_not_is_not_repeated(status):
    """Guards against unsafe calls that ran at a second upstream."""
    claim = a_raw_answer(status, b'X-Not-Executed: 1')
    statuses, sent = call_two_upstreams([claim, claim], 'POST')
    assert statuses == [status[:3]]
    assert sent == 1
