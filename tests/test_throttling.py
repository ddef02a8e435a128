"""Tests of the limits that upstreams state on the requests per second."""

import asyncio
import time

import pytest

from chervilstep.calls import Ending, Outcome
from chervilstep.commands.throttling import (
    record_answered_limit,
    record_checked_limit,
)
from chervilstep.platform.dialect import PlatformDialect
from chervilstep.reports import NO_LIMIT, new_stated_limit, new_unreadable_limit
from chervilstep.types import Verdict
from tests.builders import a_node, an_attempt, an_upstream
from tests.throttle_builders import (
    StatingUpstream,
    a_calling_fleet,
    a_numbered_call,
)
from tests.virtual_builders import most_in_window

UPSTREAM = an_upstream()
#: The agreed window, and the excess over the limit within it.
WINDOW_SECONDS = 4
EXCESS_FACTOR = 1.5
EXCESS_CALLS = 5
#: All instances must keep to a limit this long after it was first stated.
SPREAD_SECONDS = 0.5


@pytest.mark.parametrize(
    ('text', 'limit'), [('5', 5), ('0', 0), ('4.75', 4.75), ('0.05', 0.05)]
)
def test_limit_is_read_from_the_header(text, limit):
    stated = PlatformDialect().stated_limit({'Server-Limit': text})
    assert stated.calls_per_second == limit
    assert stated.unreadable_text is None


@pytest.mark.parametrize(
    'text',
    ['-1', '+1', 'nan', 'inf', '1e400', '0x10', '4,5', '5,6', '1.', '.5', '٣']
    + ['9' * 5000, '5 6', ' ', '', '1_000'],
)
def test_unreadable_limit_changes_nothing(text):
    stated = PlatformDialect().stated_limit({'Server-Limit': text})
    assert stated.unreadable_text == text
    node = a_node()
    state_limit(node, new_stated_limit(5), 0, 1)
    state_limit(node, stated, 2, 3)
    assert known_limit(node) == 5


def test_answer_without_the_header_states_no_limit():
    assert PlatformDialect().stated_limit({}) is NO_LIMIT


def state_limit(
    node, stated, asked_at, heard_at, upstream=UPSTREAM, ending=Ending.ANSWERED
):
    """Ends an attempt whose answer states a limit."""
    attempt = an_attempt(upstream=upstream, now=asked_at)
    outcome = Outcome(ending, Verdict.RAN, heard_at, stated_limit=stated)
    record_answered_limit(node, attempt, outcome)


def known_limit(node, upstream=UPSTREAM):
    throttle = node.throttles.by_upstream.get(upstream.name)
    return throttle.calls_per_second if throttle else None


def test_limit_ends_with_a_later_answer_without_it():
    node = a_node()
    state_limit(node, new_stated_limit(5), 0, 1)
    state_limit(node, NO_LIMIT, 0.5, 2)
    assert known_limit(node) == 5
    state_limit(node, NO_LIMIT, 1, 2)
    assert known_limit(node) is None


def test_lowest_limit_of_overlapping_answers_holds():
    node = a_node()
    state_limit(node, new_stated_limit(5), 0, 1)
    state_limit(node, new_stated_limit(3), 0.5, 0.9)
    assert known_limit(node) == 3
    state_limit(node, new_stated_limit(5), 0.8, 2)
    assert known_limit(node) == 3
    state_limit(node, new_stated_limit(5), 1, 2)
    assert known_limit(node) == 5


def test_health_answer_without_a_limit_ends_none():
    node = a_node()
    record_checked_limit(node, UPSTREAM.name, new_stated_limit(5), 0, 1)
    record_checked_limit(node, UPSTREAM.name, NO_LIMIT, 2, 3)
    assert known_limit(node) == 5


@pytest.mark.parametrize('ending', [Ending.ANSWERED, Ending.SHED])
def test_answers_and_refusals_state_limits(ending):
    node = a_node()
    state_limit(node, new_stated_limit(5), 0, 1, ending=ending)
    assert known_limit(node) == 5


def test_another_upstream_at_the_address_states_no_limit():
    node = a_node()
    state_limit(node, new_stated_limit(5), 0, 1, ending=Ending.MOVED)
    assert known_limit(node) is None


def test_changes_of_limits_are_logged():
    node = a_node()
    state_limit(node, new_stated_limit(5), 0, 1)
    state_limit(node, new_stated_limit(5), 1, 2)
    state_limit(node, NO_LIMIT, 3, 4)
    stated, ended = node.events.pending
    assert (stated.name, ended.name) == ('limit_stated', 'limit_ended')
    assert stated.fields['limit'] == ended.fields['previous'] == 5
    assert stated.fields['source'] == 'entry-1'


def test_unreadable_limits_are_logged_once_a_second():
    node = a_node()
    for now in (0, 0.5, 1.1):
        state_limit(node, new_unreadable_limit('x' * 5000), now, now)
    logged = [event.fields['text'] for event in node.events.pending]
    assert logged == ['x' * 40] * 2
    assert node.counters.total_over_labels('limits_unreadable') == 3


def allowed_in_window(limit):
    return EXCESS_FACTOR * limit * WINDOW_SECONDS + EXCESS_CALLS


async def send_calls(fleet, calls_per_second, seconds):
    """Sends calls at a steady rate to one instance after another."""
    calls = []
    start = time.monotonic()
    for number in range(int(calls_per_second * seconds)):
        delay = start + number / calls_per_second - time.monotonic()
        await asyncio.sleep(max(0, delay))
        dispatcher = fleet.dispatchers[number % len(fleet.dispatchers)]
        calls.append(
            asyncio.create_task(dispatcher.handle(a_numbered_call(number)))
        )
    return await asyncio.gather(*calls)


def test_upstream_gets_no_more_than_its_stated_limit():
    async def scenario():
        limited, other = StatingUpstream(limit=1), StatingUpstream()
        async with a_calling_fleet(4, limited, other) as fleet:
            await send_calls(fleet, 60, SPREAD_SECONDS + 4.5)
        since = limited.first_stated_at + SPREAD_SECONDS
        counted = [at for at in limited.arrived_at if at >= since]
        assert most_in_window(counted, WINDOW_SECONDS) <= allowed_in_window(1)

    asyncio.run(scenario())
