"""Tests of upstreams that say that they leave, or ask for a pause."""

import asyncio
import itertools
import time

import pytest

from chervilstep.adapters.dialect import NativeDialect
from chervilstep.calls import Answer, Call, Ending
from chervilstep.commands.throttling import record_stated_limit
from chervilstep.platform.dialect import PlatformDialect
from chervilstep.queries.choice import choose_upstream, usable_upstreams
from chervilstep.queries.explaining import explain
from chervilstep.queries.health import upstreams_to_check
from chervilstep.queries.notices import is_paused, read_notices
from chervilstep.queries.queueing import enqueue_refusal, unservable_waiters
from chervilstep.queries.retry_after import retry_after_seconds
from chervilstep.queues import Waiter
from chervilstep.refusals import UPSTREAMS_PAUSED
from chervilstep.reports import NO_NOTICE, new_stated_limit
from chervilstep.types import new_deadline
from tests.builders import KEY, a_call, an_upstream, digest_key
from tests.calling_builders import a_calling_fleet
from tests.dispatch_builders import a_progress, a_timed_ticket
from tests.load_builders import start_attempt
from tests.notice_builders import (
    LEAVES,
    NotingUpstream,
    a_node_of,
    a_pause,
    a_service_of,
    answer_after_a_pause,
    receive,
)

NONE_TRIED: frozenset[str] = frozenset()


def chosen_names(node, service, now, count=40):
    chosen = [
        choose_upstream(node, service, NONE_TRIED, now) for _ in range(count)
    ]
    return {upstream.name for upstream in chosen if upstream}


@pytest.mark.parametrize(
    ('text', 'seconds'),
    [
        ('3', 3),
        ('0.25', 0.25),
        ('0', 0),
        ('3, 5', 5),
        ('999999999', 3600),
    ],
)
def test_pause_of_a_refusal_is_read(text, seconds):
    for dialect in (PlatformDialect(), NativeDialect()):
        notice = dialect.notice(503, {'Retry-After': text})
        assert notice.pause_seconds == pytest.approx(seconds)
        assert notice.unreadable_text is None


@pytest.mark.parametrize(
    'text',
    [
        '',
        '-1',
        'nan',
        'inf',
        '1e400',
        '9' * 5000,
        '3;4',
        'Fri, 31 Dec 1999 23:59:59 GMT',
        '3,',
        '٣',
    ],
)
def test_unreadable_pause_is_ignored_and_logged(text):
    service = a_service_of(1)
    node = a_node_of(service)
    notice = PlatformDialect().notice(503, {'Retry-After': text})
    assert notice.pause_seconds == 0
    receive(node, service.upstreams[0], notice)
    assert not is_paused(node, service.upstreams[0].name, 0)
    assert [event.name for event in node.events.pending] == ['pause_unreadable']


@pytest.mark.parametrize('status', [200, 429, 500, 504])
def test_only_status_503_asks_for_a_pause(status):
    headers = {'Retry-After': '3'}
    assert PlatformDialect().notice(status, headers) is NO_NOTICE


@pytest.mark.parametrize('status', [200, 404, 421, 500, 503])
def test_leaving_is_read_from_every_answer(status):
    dialect = PlatformDialect()
    assert dialect.notice(status, {'Server-Leaving': '1'}).is_leaving
    assert not dialect.notice(status, {'Server-Leaving': '0'}).is_leaving
    assert not dialect.notice(status, {}).is_leaving


def test_leaving_upstream_gets_no_more_requests():
    """Guards against requests that reached a server after it said so."""
    service = a_service_of(3)
    node = a_node_of(service)
    gone = service.upstreams[0]
    receive(node, gone, LEAVES, ending=Ending.ANSWERED)
    assert gone not in usable_upstreams(node, service, NONE_TRIED)
    assert gone.name not in chosen_names(node, service, 0)
    assert gone.name not in upstreams_to_check(node)
    # An answer without the notice may be older, and undoes nothing.
    receive(node, gone, NO_NOTICE, now=5, ending=Ending.ANSWERED)
    assert gone.name not in chosen_names(node, service, 60)


def test_leaving_holds_for_one_start_of_an_upstream():
    service = a_service_of(1)
    node = a_node_of(service)
    receive(node, service.upstreams[0], LEAVES, ending=Ending.ANSWERED)
    restarted = an_upstream('i-0/1800', port=9000)
    assert usable_upstreams(
        node, type(service)('strike', [restarted], service.policy), NONE_TRIED
    ) == (restarted,)


def test_notice_from_a_moved_address_is_of_another_upstream():
    service = a_service_of(1)
    node = a_node_of(service)
    receive(node, service.upstreams[0], LEAVES, ending=Ending.MOVED)
    receive(node, service.upstreams[0], a_pause(3), ending=Ending.MOVED)
    assert not read_notices(node, 0)


def test_pausing_upstream_gets_nothing_until_its_pause_ends():
    """Guards against requests within the rest that a server asked for."""
    service = a_service_of(2)
    node = a_node_of(service)
    paused, other = service.upstreams
    receive(node, paused, a_pause(3), now=10)
    assert chosen_names(node, service, 10.1) == {other.name}
    assert chosen_names(node, service, 12.9) == {other.name}
    assert paused.name in chosen_names(node, service, 13.1)


def test_answers_that_cross_do_not_shorten_a_pause():
    service = a_service_of(1)
    node = a_node_of(service)
    upstream = service.upstreams[0]
    receive(node, upstream, a_pause(5), now=10)
    receive(node, upstream, a_pause(1), now=10.2)
    receive(node, upstream, NO_NOTICE, now=10.3, ending=Ending.ANSWERED)
    assert is_paused(node, upstream.name, 14.9)


def test_requests_come_back_one_by_one_after_a_pause():
    service = a_service_of(1)
    node = a_node_of(service)
    upstream = service.upstreams[0]
    receive(node, upstream, a_pause(3), now=0)
    start_attempt(node, upstream, 4)
    assert choose_upstream(node, service, NONE_TRIED, 4) is None
    for answered, in_flight in enumerate((1, 2, 3)):
        assert node.loads.in_flight(upstream.name) == in_flight
        answer_after_a_pause(node, upstream)
        if answered < 2:
            assert choose_upstream(node, service, NONE_TRIED, 4) is upstream
            start_attempt(node, upstream, 4)
    assert node.health.by_upstream[upstream.name].trial_answers is None


def test_limit_and_pause_hold_together():
    service = a_service_of(1)
    node = a_node_of(service)
    upstream = service.upstreams[0]
    record_stated_limit(node, upstream.name, new_stated_limit(0), 0, 0)
    receive(node, upstream, a_pause(3), now=0)
    assert choose_upstream(node, service, NONE_TRIED, 1) is None
    assert choose_upstream(node, service, NONE_TRIED, 3.5) is None


def a_paused_node(*seconds):
    service = a_service_of(len(seconds))
    node = a_node_of(service)
    for upstream, pause in zip(service.upstreams, seconds, strict=True):
        receive(node, upstream, a_pause(pause), now=0)
    return node


def test_calls_that_no_upstream_can_run_in_time_are_refused_at_once():
    node = a_paused_node(5, 3)
    late = a_progress(a_timed_ticket(now=1, seconds=1.5))
    assert enqueue_refusal(node, late, 1) is UPSTREAMS_PAUSED
    in_time = a_progress(a_timed_ticket(now=1, seconds=2.5))
    assert enqueue_refusal(node, in_time, 1) is None


def test_waiting_calls_are_refused_once_a_pause_outlasts_them():
    node = a_paused_node(0.5)
    waiter = Waiter(a_progress(a_timed_ticket(now=0, seconds=2)), 0)
    node.queues.queue('strike').add(waiter)
    assert not unservable_waiters(node, 'strike', 0.1)
    (upstream,) = node.snapshot.services['strike'].upstreams
    receive(node, upstream, a_pause(10), now=0.2)
    (decision,) = unservable_waiters(node, 'strike', 0.3)
    assert decision.result is UPSTREAMS_PAUSED


def test_refused_callers_return_after_the_first_pause():
    node = a_paused_node(5, 3)
    for _ in range(20):
        seconds = retry_after_seconds(node, a_call(), UPSTREAMS_PAUSED, now=1)
        assert seconds is not None
        assert 2 <= seconds <= 2.2


def test_explanation_names_leaving_and_pausing_upstreams():
    service = a_service_of(2)
    node = a_node_of(service)
    receive(node, service.upstreams[0], LEAVES, ending=Ending.ANSWERED)
    receive(node, service.upstreams[1], a_pause(3))
    steps = explain(node, 'GET', '/strike/1', 'fletcher', 1).steps
    assert steps[-2:] == (
        'i-0/1700 has said that it leaves',
        'i-1/1700 wants nothing for 2.0 s',
    )


def a_call_from(name, number):
    identity = f'call-{number}@{name}'
    return Call(
        'GET',
        '/strike/1',
        (('X-Request-Id', identity),),
        b'',
        key_digest=digest_key(KEY),
        deadline=new_deadline(time.monotonic(), 0.5),
        request_id=identity,
    )


async def send_from_all(fleet, calls_per_second, seconds):
    """Sends calls through the instances in turn; returns the replies."""
    tasks = []
    end = time.monotonic() + seconds
    numbers = itertools.count()
    while time.monotonic() < end:
        for name, dispatcher in zip(
            fleet.nodes, fleet.dispatchers, strict=True
        ):
            call = a_call_from(name, next(numbers))
            tasks.append(asyncio.create_task(dispatcher.handle(call)))
            await asyncio.sleep(1 / calls_per_second)
    return await asyncio.gather(*tasks)


@pytest.mark.parametrize(
    'upstream',
    [
        NotingUpstream(pause_seconds=1.5),
        NotingUpstream(says_leaving=True),
    ],
    ids=['pauses', 'leaves'],
)
def test_no_request_arrives_late_over_real_connections(upstream):
    other = NotingUpstream()

    async def scenario():
        async with a_calling_fleet(2, upstream, other) as fleet:
            await send_from_all(fleet, 100, 0.5)
            before = upstream.arrivals
            upstream.is_active = True
            replies = await send_from_all(fleet, 100, 2.5)
        return before, replies

    before, replies = asyncio.run(scenario())
    assert before
    assert upstream.said_at
    assert not upstream.late
    assert all(
        isinstance(reply, Answer) and reply.status == 200 for reply in replies
    )
