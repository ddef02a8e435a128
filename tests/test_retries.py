"""Tests of retries: verdicts, attempt deadlines and the retry budget."""

import pytest

from chervilstep import refusals
from chervilstep.calls import Answer, Ending
from chervilstep.commands.budget import earn_tokens, spend_token
from chervilstep.estimates import MIN_ANSWERS
from chervilstep.members import Instance
from chervilstep.queries.attempting import new_attempt
from chervilstep.queries.budget import available_tokens, can_afford_retry
from chervilstep.queries.retrying import may_retry
from lab.virtual_loop import run_virtually
from tests.builders import (
    a_call,
    a_ticket,
    an_unlimited_node,
    an_upstream,
    set_instances,
)
from tests.dispatch_builders import (
    FakePool,
    Step,
    a_dispatcher,
    a_progress,
    an_ended_progress,
    an_outcome_of,
)

INSTANCES = 15


def a_fleet_node(instances=INSTANCES):
    node = an_unlimited_node()
    members = [
        Instance(f'entry-{index}', 'akl', '', '')
        for index in range(1, instances + 1)
    ]
    set_instances(node, members)
    return node


@pytest.mark.parametrize('ending', list(Ending))
@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_only_idempotent_calls_are_retried_if_they_may_have_run(method, ending):
    outcome = an_outcome_of(ending)
    progress = an_ended_progress(outcome, a_ticket(a_call(method)))
    allowed = may_retry(progress, outcome, 0)
    if ending in {Ending.ANSWERED, Ending.TOO_LARGE, Ending.CANCELLED}:
        assert not allowed
    elif method == 'POST':
        assert allowed == outcome.verdict.is_safe_to_resend
    else:
        assert allowed


def test_calls_of_an_outer_retry_are_not_retried():
    progress = an_ended_progress(
        an_outcome_of(Ending.SHED), a_ticket(a_call(attempt=2))
    )
    assert not may_retry(progress, progress.last_outcome, 0)
    # The number is passed on, so that the layers below do not retry either.
    progress = a_progress(a_ticket(a_call(attempt=2)))
    attempt = new_attempt(an_unlimited_node(), progress, an_upstream(), 0)
    assert attempt.number == 2


def test_attempt_deadline_is_halved_only_if_a_retry_may_follow():
    node = an_unlimited_node()

    def timeout_seconds(method, attempts=0, **changes):
        progress = a_progress(a_ticket(a_call(method, **changes)))
        for _ in range(attempts):
            progress.record_start(new_attempt(node, progress, an_upstream(), 0))
        return new_attempt(node, progress, an_upstream(), 0).deadline.at

    assert timeout_seconds('GET') == pytest.approx(1)
    assert timeout_seconds('GET', attempts=2) == pytest.approx(2)
    assert timeout_seconds('GET', attempt=2) == pytest.approx(2)
    assert timeout_seconds('POST') == pytest.approx(2)
    # Half of the time would be too short for most calls of a slow service.
    for _ in range(MIN_ANSWERS):
        node.latency_estimates.record('strike', 1)
    assert 1.5 <= timeout_seconds('GET') <= 2


def test_budget_of_the_fleet_is_bounded():
    node = a_fleet_node()
    calls = 100
    spent_tokens = 0
    for index in range(calls):
        now = index * 0.01
        earn_tokens(node, a_ticket(), now)
        while (
            can_afford_retry(node, 'strike', now) and spent_tokens < 10 * calls
        ):
            spend_token(node, 'strike', now, 'retry')
            spent_tokens += 1
    allowances = node.settings.allowances
    bound = allowances.retry_ratio * calls
    bound += allowances.retry_reserve / INSTANCES
    assert bound / 2 <= spent_tokens <= bound


def test_budget_is_divided_by_the_number_of_known_instances():
    alone = available_tokens(an_unlimited_node(), 'strike', 0)
    reserve = an_unlimited_node().settings.allowances.retry_reserve
    assert reserve / 4 <= alone <= reserve
    shared = available_tokens(a_fleet_node(), 'strike', 0)
    assert shared == pytest.approx(alone / INSTANCES)
    assert available_tokens(a_fleet_node(1000), 'strike', 0) == pytest.approx(1)


def test_budget_does_not_refill_without_elapsed_time():
    node = a_fleet_node()
    spend_token(node, 'strike', 10, 'retry')
    remaining = available_tokens(node, 'strike', 10)
    assert remaining < 1
    assert available_tokens(node, 'strike', 9) == pytest.approx(remaining)


def test_exhausted_budget_returns_the_last_refusal():
    node = a_fleet_node()

    async def run(loop):
        pool = FakePool(loop, default=Step(Ending.SHED, seconds=0))
        dispatcher = a_dispatcher(loop, pool, node)
        replies = [await dispatcher.handle(a_call()) for _ in range(100)]
        return replies, pool

    replies, pool = run_virtually(run)
    assert all(reply is refusals.UPSTREAM_SHED for reply in replies)
    retries = len(pool.sent) - len(replies)
    allowances = node.settings.allowances
    reserve = allowances.retry_reserve / INSTANCES
    assert retries <= allowances.retry_ratio * len(replies) + reserve


def test_no_retry_after_the_deadline():
    async def run(loop):
        pool = FakePool(loop, [Step(Ending.SHED, seconds=3)])
        reply = await a_dispatcher(loop, pool).handle(a_call())
        return reply, pool

    reply, pool = run_virtually(run)
    assert reply is refusals.UPSTREAM_SHED
    assert len(pool.sent) == 1


def test_unresponsive_upstream_uses_half_of_the_deadline():
    async def run(loop):
        pool = FakePool(loop, [Step(Ending.TIMED_OUT)])
        reply = await a_dispatcher(loop, pool).handle(a_call())
        return reply, loop.time()

    reply, elapsed = run_virtually(run)
    assert isinstance(reply, Answer)
    assert elapsed == pytest.approx(1.01)
