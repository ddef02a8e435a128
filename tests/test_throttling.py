"""Tests of the limits that upstreams state on the requests per second."""

import pytest

from chervilstep.adapters.dialect import NativeDialect
from chervilstep.calls import Ending
from chervilstep.commands.health import record_health_check, spend_cold_token
from chervilstep.commands.queueing import grant
from chervilstep.commands.throttling import (
    record_checked_limit,
    spend_limit_token,
)
from chervilstep.estimates import MIN_ANSWERS
from chervilstep.platform.dialect import PlatformDialect
from chervilstep.queries.choice import choose_upstream
from chervilstep.queries.explaining import explain
from chervilstep.queries.queueing import enqueue_refusal, unservable_waiters
from chervilstep.queries.retry_after import retry_after_seconds
from chervilstep.queries.soonest import SOONEST
from chervilstep.refusals import UPSTREAMS_LIMITED
from chervilstep.reports import NO_LIMIT, new_stated_limit, new_unreadable_limit
from chervilstep.services import ColdStart, Service
from chervilstep.snapshot import Priority
from tests.builders import (
    a_call,
    a_node,
    a_snapshot,
    an_attempt,
    an_upstream,
    set_instances,
    some_instances,
)
from tests.dispatch_builders import a_progress, a_timed_ticket
from tests.throttle_builders import (
    STEP_SECONDS,
    UPSTREAM,
    a_fully_limited_node,
    known_limit,
    state_limit,
    wait_in_queue,
)
from tests.virtual_builders import most_in_window

COLD_CALLS_PER_SECOND = 2


@pytest.mark.parametrize(
    ('dialect', 'header'),
    [(PlatformDialect(), 'Server-Limit'), (NativeDialect(), 'X-Call-Limit')],
)
@pytest.mark.parametrize(
    ('text', 'limit'), [('5', 5), ('0', 0), ('4.75', 4.75), ('0.05', 0.05)]
)
def test_limit_is_read_from_the_header(dialect, header, text, limit):
    stated = dialect.stated_limit({header: text})
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


def refusals_of_waiters(node, now):
    decisions = unservable_waiters(node, 'strike', now)
    return [decision.result for decision in decisions]


@pytest.mark.parametrize(('size', 'served'), [(1, 3), (14, 1)])
def test_calls_that_no_limit_allows_in_time_are_refused_at_once(size, served):
    """Three upstreams accept 1.5 calls a second from all instances."""
    node = a_fully_limited_node(0.5, size)
    for expected in [None] * served + [UPSTREAMS_LIMITED]:
        progress = a_progress(a_timed_ticket(seconds=2))
        assert enqueue_refusal(node, progress, 0) is expected
        wait_in_queue(node, 0)
    assert refusals_of_waiters(node, 0) == [UPSTREAMS_LIMITED]


def test_calls_that_are_due_are_not_refused_for_limits_without_any():
    node = a_node()
    for _ in range(3):
        wait_in_queue(node, 0, seconds=0.01)
    for _ in range(MIN_ANSWERS):
        node.latency_estimates.record('strike', 0.5)
    assert not refusals_of_waiters(node, 0)


def test_waiting_calls_of_a_lower_priority_are_refused_first():
    node = a_fully_limited_node(0.5, size=1)
    bulk = wait_in_queue(node, 0, priority=Priority.BULK)
    for _ in range(3):
        wait_in_queue(node, 0, priority=Priority.URGENT)
    (decision,) = unservable_waiters(node, 'strike', 0)
    assert decision.waiter is bulk


def test_more_calls_wait_where_other_instances_leave_limits_unused():
    """Ten grants a second show that tokens can be borrowed."""
    node = a_fully_limited_node(0.5)
    for step in range(11):
        waiter = wait_in_queue(node, step / 10)
        grant(node, waiter, (step + 1) / 10)
    for _ in range(9):
        wait_in_queue(node, 1.1, seconds=1)
    assert not refusals_of_waiters(node, 1.1)


def test_one_upstream_without_a_limit_keeps_calls_waiting():
    node = a_fully_limited_node(0.5)
    last = node.snapshot.services['strike'].upstreams[-1]
    state_limit(node, NO_LIMIT, 1, 2, last)
    for _ in range(20):
        wait_in_queue(node, 2)
    assert not refusals_of_waiters(node, 2)


@pytest.mark.parametrize(
    ('limit', 'waiting', 'seconds'),
    [
        (0, 0, (1.3, 2)),
        (0.5, 1, (1.3, 2)),
        (5, 0, (0.1, 0.2)),
        (5, 9, (0.6, 2)),
    ],
)
def test_refused_callers_return_when_there_is_room(limit, waiting, seconds):
    node = a_fully_limited_node(limit, size=1)
    for _ in range(waiting):
        wait_in_queue(node, 0)
    retry_after = retry_after_seconds(node, a_call(), UPSTREAMS_LIMITED, 0)
    assert seconds[0] <= retry_after <= seconds[1]


def test_explanation_names_the_limits():
    node = a_fully_limited_node(0.5)
    explanation = explain(node, 'GET', '/strike/1', 'fletcher', 1)
    assert 'accepts 0.5 requests/s' in explanation.steps[-1]
    assert 'received by entry-1 1 s ago' in explanation.steps[-1].replace(
        '1.0', '1'
    )


def test_limited_upstream_without_a_token_is_not_chosen():
    node = a_node()
    service = node.snapshot.services['strike']
    for upstream in service.upstreams[:2]:
        state_limit(node, new_stated_limit(0), 0, 1, upstream)
    chosen = {
        choose_upstream(node, service, frozenset(), 1.1) for _ in range(30)
    }
    assert chosen == {service.upstreams[2]}


def sent_to_one_cold_upstream(limit, seconds=2.9):
    """Presses a lone instance whose only upstream is cold and limited."""
    cold_start = ColdStart(3, COLD_CALLS_PER_SECOND)
    service = Service('strike', [UPSTREAM], SOONEST, cold_start)
    node = a_node(a_snapshot(services=[service]))
    set_instances(node, some_instances(1))
    record_health_check(node, service, UPSTREAM.name, None, 3, 0)
    state_limit(node, new_stated_limit(limit), -1, 0)
    sent = []
    for step in range(int(seconds / STEP_SECONDS)):
        now = step * STEP_SECONDS
        if choose_upstream(node, service, frozenset(), now) is not None:
            attempt = an_attempt(upstream=UPSTREAM, now=now)
            spend_cold_token(node, attempt)
            spend_limit_token(node, attempt)
            sent.append(now)
    return sent


def test_smaller_bound_of_a_cold_and_limited_upstream_holds():
    assert len(sent_to_one_cold_upstream(0.4)) <= 1 + 0.4 * 2.9
    bound = COLD_CALLS_PER_SECOND * 1.5 + 5
    assert most_in_window(sent_to_one_cold_upstream(1000), 1) <= bound


def test_restarted_upstream_starts_without_the_limit():
    node = a_node()
    first, restarted = an_upstream('i-1/1700'), an_upstream('i-1/1800')
    state_limit(node, new_stated_limit(5), 0, 1, first)
    assert known_limit(node, first) == 5
    assert known_limit(node, restarted) is None
