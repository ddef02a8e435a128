"""Tests of hedged attempts."""

import asyncio

import pytest

from chervilstep.calls import Answer, Ending
from chervilstep.commands.budget import spend_token
from chervilstep.estimates import MIN_ANSWERS, LatencyEstimate
from chervilstep.queries.budget import available_tokens, token_capacity
from lab.virtual_loop import run_virtually
from tests.builders import a_call, an_attempt
from tests.dispatch_builders import (
    FakePool,
    HeldPool,
    Step,
    a_dispatcher,
    a_slotted_node,
)

TAIL_SECONDS = 0.05


def a_hedging_node(**changes):
    """Returns a node that hedges after ``TAIL_SECONDS``."""
    node = a_slotted_node(**{'upstreams': 3, **changes})
    for _ in range(MIN_ANSWERS):
        node.latency_estimates.record('strike', TAIL_SECONDS)
    return node


def estimated_tail(node):
    return node.latency_estimates.by_service['strike'].tail_seconds


def handle(node, steps, call=None):
    async def run(loop):
        pool = FakePool(loop, steps)
        reply = await a_dispatcher(loop, pool, node).handle(call or a_call())
        elapsed = loop.time()
        # The other attempt is cancelled by now, and its slot is free.
        await asyncio.sleep(0)
        assert not sum(
            load.in_flight for load in node.loads.by_upstream.values()
        )
        return reply, elapsed, pool

    return run_virtually(run)


def test_hedge_answers_for_a_slow_upstream():
    node = a_hedging_node()
    tail_seconds = estimated_tail(node)
    steps = [Step(seconds=0.9), Step(seconds=0.01)]
    reply, elapsed, pool = handle(node, steps)
    assert reply.body == b'strike-2'
    assert elapsed == pytest.approx(tail_seconds + 0.01)
    assert pool.cancelled == [pool.sent[0]]


def test_first_attempt_can_answer_before_the_hedge():
    steps = [Step(seconds=0.06), Step(seconds=0.9)]
    reply, elapsed, pool = handle(a_hedging_node(), steps)
    assert reply.body == b'strike-1'
    assert elapsed == pytest.approx(0.06)
    assert pool.cancelled == [pool.sent[1]]


def test_fast_answer_is_not_hedged():
    _, _, pool = handle(a_hedging_node(), [Step(seconds=0.04)])
    assert len(pool.sent) == 1


@pytest.mark.parametrize('call', [a_call('POST'), a_call(attempt=2)])
def test_calls_that_must_not_be_repeated_are_not_hedged(call):
    _, _, pool = handle(a_hedging_node(), [Step(seconds=0.9)], call)
    assert len(pool.sent) == 1


@pytest.mark.parametrize('ending', [Ending.LOST, Ending.BAD_ANSWER])
def test_failed_hedge_does_not_end_the_first_attempt(ending):
    steps = [Step(seconds=0.2), Step(ending)]
    reply, elapsed, pool = handle(a_hedging_node(), steps)
    assert reply.body == b'strike-1'
    assert elapsed == pytest.approx(0.2)


@pytest.mark.parametrize('ending', [Ending.LOST, Ending.BAD_ANSWER])
def test_hedge_answers_when_the_first_attempt_fails(ending):
    node = a_hedging_node()
    tail_seconds = estimated_tail(node)
    steps = [Step(ending, seconds=0.06), Step(seconds=0.1)]
    reply, elapsed, pool = handle(node, steps)
    assert reply.body == b'strike-2'
    assert elapsed == pytest.approx(tail_seconds + 0.1)


def test_call_is_retried_after_its_hedge_was_shed():
    steps = [Step(Ending.LOST, seconds=0.06), Step(Ending.SHED), Step()]
    reply, _, pool = handle(a_hedging_node(), steps)
    assert isinstance(reply, Answer)
    assert len({attempt.upstream.name for attempt in pool.sent}) == 3


def test_no_hedge_without_a_free_slot():
    node = a_hedging_node(upstreams=2)
    node.loads.upstream_load('strike-2').start_attempt(an_attempt(), 0)
    _, _, pool = handle_busy(node)
    assert len(pool.sent) == 1


def handle_busy(node):
    async def run(loop):
        pool = FakePool(loop, [Step(seconds=0.9)])
        reply = await a_dispatcher(loop, pool, node).handle(a_call())
        return reply, loop.time(), pool

    return run_virtually(run)


def test_hedges_leave_half_of_the_budget_to_retries():
    def hedges_after(spent):
        node = a_hedging_node()
        # The call itself adds a fraction of a token.
        for _ in range(spent):
            spend_token(node, 'strike', 0, 'retry')
        handle(node, [Step(seconds=0.9)])
        return node.counters.total('extra_attempts', purpose='hedge')

    # Tokens that the reserve gains during the first attempt are spent too.
    half = int(token_capacity(a_hedging_node()) / 2)
    assert hedges_after(spent=half - 2) == 1
    assert hedges_after(spent=half + 5) == 0


def test_hedge_is_charged_to_the_budget():
    node = a_hedging_node()
    before = available_tokens(node, 'strike', 0)
    handle(node, [Step(seconds=0.06)])
    # The reserve and the call add less in that time than the hedge costs.
    assert available_tokens(node, 'strike', 0.06) < before


def test_cancelled_call_cancels_both_attempts():
    node = a_hedging_node()

    async def run(loop):
        pool = HeldPool(loop)
        dispatcher = a_dispatcher(loop, pool, node)
        task = asyncio.ensure_future(dispatcher.handle(a_call()))
        await asyncio.sleep(2 * TAIL_SECONDS)
        assert len(pool.held) == 2
        task.cancel()
        await asyncio.sleep(0.001)
        return pool, task

    pool, task = run_virtually(run)
    assert task.cancelled()
    assert not pool.held


@pytest.mark.parametrize('turns', range(6))
def test_call_can_be_cancelled_as_its_hedge_answers(turns):
    node = a_hedging_node()

    async def run(loop):
        pool = HeldPool(loop)
        dispatcher = a_dispatcher(loop, pool, node)
        task = asyncio.ensure_future(dispatcher.handle(a_call()))
        await asyncio.sleep(2 * TAIL_SECONDS)
        pool.finish(pool.held[1], Ending.ANSWERED, ran=True)
        for _ in range(turns):
            await asyncio.sleep(0)
        accepted = task.cancel()
        await asyncio.wait([task])
        await asyncio.sleep(0.001)
        assert not pool.held
        return accepted, task.cancelled()

    accepted, cancelled = run_virtually(run)
    assert cancelled == accepted


def test_estimates_follow_the_latencies():
    estimate = LatencyEstimate()
    for index in range(20 * MIN_ANSWERS):
        estimate.record(0.1 if index % 10 else 0.3)
    assert estimate.tail_seconds == pytest.approx(0.3, rel=0.2)
    assert estimate.mean_seconds == pytest.approx(0.12, rel=0.2)
    for index in range(20 * MIN_ANSWERS):
        estimate.record(0.01 if index % 10 else 0.03)
    assert estimate.tail_seconds == pytest.approx(0.03, rel=0.2)
