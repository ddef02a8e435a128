"""Tests of the health checks and of what is kept for each upstream."""

import asyncio
import time

import pytest

from chervilstep.adapters.health import new_health_checker
from chervilstep.commands.health import MOVED_CLOSE_SECONDS
from chervilstep.commands.loads import remove_old_loads
from chervilstep.queries.soonest import SOONEST
from chervilstep.queries.throttling import active_throttle
from chervilstep.services import Service
from tests.answer_builders import (
    CLAIMS,
    INVALID_STATUSES,
    MALFORMED_HEADS,
    a_raw_answer,
)
from tests.builders import (
    a_node,
    a_snapshot,
    set_instances,
    some_instances,
)
from tests.entry_builders import (
    check_answer,
)
from tests.load_builders import run_attempt
from tests.wire_builders import a_raw_upstream


def a_checking_node(upstreams):
    """Returns a lone node that checks the upstreams."""
    node = a_node(a_snapshot_of(upstreams))
    set_instances(node, some_instances(1))
    return node


def a_snapshot_of(upstreams):
    service = Service('strike', upstreams, SOONEST, health_path='/health')
    return a_snapshot(services=[service])


def test_removed_upstream_leaves_no_task_or_connection():
    async def scenario():
        async with a_raw_upstream() as (server, upstream):
            node = a_checking_node([upstream])
            checker = new_health_checker(node, time.monotonic)
            running = asyncio.create_task(checker.run())
            async with asyncio.timeout(5):
                while not server.requests:
                    await asyncio.sleep(0.01)
            node.configuration.publish(a_snapshot_of([]))
            await asyncio.sleep(0.6)
            kept = (*checker._check_tasks, *checker._clients)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
        assert not kept

    asyncio.run(scenario())


def test_loads_of_removed_upstreams_are_removed():
    node = a_node()
    upstream = node.snapshot.services['strike'].upstreams[0]
    run_attempt(node, upstream, 0)
    remove_old_loads(node, 1)
    assert upstream.name in node.loads.by_upstream
    node.configuration.publish(a_snapshot_of([]))
    remove_old_loads(node, 2)
    assert upstream.name not in node.loads.by_upstream


@pytest.mark.parametrize('status', INVALID_STATUSES)
def test_nothing_is_believed_of_a_health_answer_with_an_invalid_status(status):
    """Guards against notices and limits of an invalid answer."""
    node, upstream = check_answer(a_raw_answer(status, *CLAIMS))
    health = node.health.upstream_health(upstream.name)
    assert health.report is None
    assert not health.is_leaving
    assert health.paused_until.at <= time.monotonic()
    assert health.cold_until.at <= time.monotonic() + 4
    assert active_throttle(node, upstream.name) is None
    assert health.failures == 1


@pytest.mark.parametrize('status', INVALID_STATUSES)
def test_health_answer_with_an_invalid_status_moves_no_address(status):
    answer = a_raw_answer(status, b'X-Instance-Id: other')
    node, upstream = check_answer(answer)
    health = node.health.upstream_health(upstream.name)
    assert health.closed_until.at < time.monotonic() + MOVED_CLOSE_SECONDS / 2


def test_broken_health_answer_is_no_sign_of_a_restart():
    """Guards against one broken answer that closed an upstream as cold."""
    node, upstream = check_answer(MALFORMED_HEADS['name: blank within'])
    health = node.health.upstream_health(upstream.name)
    now = time.monotonic()
    assert health.failures == 1
    assert not health.is_cold(now)
    assert health.closed_until.has_passed(now)


def test_broken_health_answers_in_a_row_close_the_upstream():
    node, upstream = check_answer(MALFORMED_HEADS['name: blank within'], 2)
    health = node.health.upstream_health(upstream.name)
    now = time.monotonic()
    assert health.failures == 2
    assert not health.is_cold(now)
    assert not health.closed_until.has_passed(now)


def test_broken_health_answer_is_logged_with_its_upstream_and_fault():
    answer = MALFORMED_HEADS['name: blank within']
    node, upstream = check_answer(answer, checks=3)
    (fields,) = [
        event.fields
        for event in node.events.pending
        if event.name == 'check_broken'
    ]
    assert fields['upstream'] == upstream.name
    assert "header name 'X y'" in fields['fault']
    assert node.counters.total('checks_broken', service='strike') == 3


def test_unreachable_upstream_is_closed_and_comes_back_cold():
    node, upstream = check_answer(b'')
    health = node.health.upstream_health(upstream.name)
    now = time.monotonic()
    assert health.is_cold(now)
    assert not health.closed_until.has_passed(now)


def test_sound_health_answer_is_believed():
    node, upstream = check_answer(a_raw_answer(b'200 OK', *CLAIMS))
    health = node.health.upstream_health(upstream.name)
    assert health.report.running == 1
    assert health.is_leaving
    assert health.cold_until.at > time.monotonic() + 4
    assert active_throttle(node, upstream.name) is not None
    assert not health.failures
