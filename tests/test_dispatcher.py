"""Tests of the dispatcher: admission, retries, queueing and cancellation."""

import asyncio

import pytest

from chervilstep import refusals
from chervilstep.calls import Answer, Ending
from lab.virtual_loop import VirtualLoop, run_virtually
from tests.builders import a_call
from tests.dispatch_builders import (
    FakePool,
    HeldPool,
    Step,
    a_dispatcher,
    a_slotted_node,
)


def handle(call, steps=(), node=None):
    async def run(loop):
        pool = FakePool(loop, steps)
        reply = await a_dispatcher(loop, pool, node).handle(call)
        return reply, pool

    return run_virtually(run)


def total_in_flight(node):
    return sum(load.in_flight for load in node.loads.by_upstream.values())


def test_call_is_answered_by_an_upstream():
    reply, pool = handle(a_call())
    assert isinstance(reply, Answer)
    assert reply.body == pool.sent[0].upstream.name.encode()


@pytest.mark.parametrize(
    'call, refusal',
    [
        (a_call(target='/nowhere'), refusals.UNKNOWN_ROUTE),
        (a_call(method='PUT'), refusals.METHOD_NOT_ALLOWED),
        (a_call(key=None), refusals.MISSING_KEY),
        (a_call(key='other'), refusals.UNKNOWN_KEY),
    ],
)
def test_call_is_refused_before_anything_is_sent(call, refusal):
    reply, pool = handle(call)
    assert reply is refusal
    assert not pool.sent


@pytest.mark.parametrize(
    'ending',
    [Ending.SHED, Ending.CONNECT_FAILED, Ending.LOST_BEFORE_WRITE],
)
@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_call_that_did_not_run_is_sent_to_another_upstream(method, ending):
    reply, pool = handle(a_call(method), [Step(ending)])
    assert isinstance(reply, Answer)
    first, second = pool.sent
    assert first.upstream is not second.upstream


@pytest.mark.parametrize(
    'ending', [Ending.LOST, Ending.TIMED_OUT, Ending.BAD_ANSWER]
)
def test_only_idempotent_calls_are_resent_if_they_may_have_run(ending):
    reply, pool = handle(a_call('GET'), [Step(ending)])
    assert isinstance(reply, Answer)
    assert len(pool.sent) == 2
    reply, pool = handle(a_call('POST'), [Step(ending)])
    assert not reply.verdict.is_safe_to_resend
    assert len(pool.sent) == 1


def test_refusal_reports_an_earlier_attempt_that_may_have_run():
    steps = [Step(Ending.LOST), Step(Ending.SHED), Step(Ending.SHED)]
    reply, pool = handle(a_call('GET'), steps)
    assert reply is refusals.UPSTREAM_LOST
    assert len(pool.sent) == 3


def test_waiting_call_gets_the_slot_that_frees():
    node = a_slotted_node()

    async def run(loop):
        pool = FakePool(loop)
        dispatcher = a_dispatcher(loop, pool, node)
        replies = await asyncio.gather(
            *(dispatcher.handle(a_call()) for _ in range(5))
        )
        return replies, loop.time()

    replies, elapsed = run_virtually(run)
    assert all(isinstance(reply, Answer) for reply in replies)
    assert elapsed == pytest.approx(0.05)
    assert total_in_flight(node) == 0


def test_waiting_call_is_refused_at_its_deadline():
    node = a_slotted_node()

    async def run(loop):
        pool = FakePool(loop, default=Step(seconds=30))
        dispatcher = a_dispatcher(loop, pool, node)
        running = asyncio.ensure_future(dispatcher.handle(a_call()))
        await asyncio.sleep(0)
        reply = await dispatcher.handle(a_call())
        running.cancel()
        return reply, loop.time(), pool

    reply, elapsed, pool = run_virtually(run)
    assert reply is refusals.QUEUE_TIMEOUT
    assert elapsed == pytest.approx(2)
    assert len(pool.sent) == 1


@pytest.mark.parametrize('turns', [0, 1, 2, 3])
def test_cancelled_calls_release_their_slots(turns):
    node = a_slotted_node()

    async def run(loop):
        dispatcher = a_dispatcher(loop, FakePool(loop), node)
        first = asyncio.ensure_future(dispatcher.handle(a_call()))
        second = asyncio.ensure_future(dispatcher.handle(a_call()))
        await asyncio.sleep(0)
        first.cancel()
        for _ in range(turns):
            await asyncio.sleep(0)
        second.cancel()
        await asyncio.gather(first, second, return_exceptions=True)
        return await dispatcher.handle(a_call())

    assert isinstance(run_virtually(run), Answer)
    assert total_in_flight(node) == 0
    assert not node.queues.body_bytes
    assert not len(node.queues.queue('strike'))


def test_call_that_expires_after_its_grant_is_not_sent():
    node = a_slotted_node()
    loop = VirtualLoop()
    pool = HeldPool(loop)
    dispatcher = a_dispatcher(loop, pool, node)
    tasks = [loop.create_task(dispatcher.handle(a_call())) for _ in range(2)]
    loop.run_ready()
    pool.finish(pool.held[0], Ending.ANSWERED, ran=True)
    turns = 0
    while node.queues.queue('strike'):
        loop.run_ready()
        turns += 1
        assert turns < 10
    loop.advance(60)
    loop.run_until_complete(asyncio.wait(tasks))
    assert tasks[1].result() is refusals.DEADLINE_PASSED
    assert len(pool.sent) == 1
    loop.close()


def test_waiting_retry_does_not_block_other_calls():
    node = a_slotted_node(upstreams=2)

    async def run(loop):
        pool = HeldPool(loop)
        dispatcher = a_dispatcher(loop, pool, node)
        calls = [
            asyncio.ensure_future(dispatcher.handle(a_call())) for _ in '12'
        ]
        await asyncio.sleep(0)
        # The first call is not sent again to the upstream that shed it.
        pool.finish(pool.held[0], Ending.SHED, ran=False)
        await asyncio.sleep(0.001)
        calls.append(asyncio.ensure_future(dispatcher.handle(a_call())))
        await asyncio.sleep(0)
        names = [attempt.upstream.name for attempt in pool.sent]
        for call in calls:
            call.cancel()
        return names

    assert run_virtually(run) == ['strike-1', 'strike-2', 'strike-1']
