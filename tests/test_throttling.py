"""Tests of the limits that upstreams state on the requests per second."""

import asyncio
import time

import pytest

from chervilstep.adapters.dialect import NativeDialect
from chervilstep.calls import Ending, Outcome
from chervilstep.commands.limit_loans import (
    Loan,
    LoanRequest,
    handle_loan,
)
from chervilstep.commands.limit_updates import LimitUpdate, handle_limit_update
from chervilstep.commands.queueing import enqueue, grant, remove
from chervilstep.commands.throttling import (
    record_answered_limit,
    record_checked_limit,
    spend_limit_token,
)
from chervilstep.estimates import MIN_ANSWERS
from chervilstep.exceptions import PeerError
from chervilstep.platform.dialect import PlatformDialect
from chervilstep.queries import throttling
from chervilstep.queries.choice import choose_upstream
from chervilstep.queries.explaining import explain
from chervilstep.queries.queueing import enqueue_refusal, unservable_waiters
from chervilstep.queries.retry_after import retry_after_seconds
from chervilstep.queries.throttling import may_send_within_limit, wanted_loans
from chervilstep.queues import Waiter
from chervilstep.refusals import UPSTREAMS_LIMITED
from chervilstep.reports import NO_LIMIT, new_stated_limit, new_unreadable_limit
from chervilstep.snapshot import Priority
from chervilstep.types import Verdict
from tests.builders import (
    a_call,
    a_node,
    a_route,
    a_snapshot,
    an_attempt,
    an_upstream,
    set_instances,
    some_instances,
)
from tests.dispatch_builders import a_progress, a_timed_ticket
from tests.throttle_builders import (
    StatingUpstream,
    a_calling_fleet,
    a_numbered_call,
)
from tests.virtual_builders import (
    LIMIT_TICKS,
    PEER_TICKS,
    VirtualFleet,
    most_in_window,
)

UPSTREAM = an_upstream()
#: The agreed window, and the excess over the limit within it.
WINDOW_SECONDS = 4
EXCESS_FACTOR = 1.5
EXCESS_CALLS = 5
#: All instances must keep to a limit this long after it was first stated.
SPREAD_SECONDS = 0.5
#: How often calls are sent in virtual time.
STEP_SECONDS = 0.02


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


def state_limit(
    node, stated, asked_at, heard_at, upstream=UPSTREAM, ending=Ending.ANSWERED
):
    """Ends an attempt whose answer states a limit."""
    attempt = an_attempt(upstream=upstream, now=asked_at)
    outcome = Outcome(ending, Verdict.RAN, heard_at, stated_limit=stated)
    record_answered_limit(node, attempt, outcome)


def known_limit(node, upstream=UPSTREAM):
    return throttling.known_limit(node, upstream.name)


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


class SharingFleet:
    """Instances that list each other and know the limit of an upstream."""

    def __init__(self, size, limit):
        instances = some_instances(size)
        self.nodes = []
        for instance in instances:
            node = a_node(name=instance.name)
            set_instances(node, instances)
            state_limit(node, new_stated_limit(limit), -1, 0)
            self.nodes.append(node)

    def press(self, seconds):
        """Sends from each instance whenever allowed; returns the instants."""
        sent = []
        for step in range(int(seconds / STEP_SECONDS)):
            now = step * STEP_SECONDS
            sent += [now for node in self.nodes if send_call(node, now)]
        return sent


def send_call(node, now):
    """Sends a call to the upstream if its limit allows that."""
    if not may_send_within_limit(node, UPSTREAM, now):
        return False
    spend_limit_token(node, an_attempt(upstream=UPSTREAM, now=now))
    return True


SIZES = [1, 3, 14, 19, 60, 116]


@pytest.mark.parametrize('size', SIZES)
@pytest.mark.parametrize('limit', [0, 0.3, 0.5, 1.2, 5, 50])
def test_shares_stay_within_the_limit(size, limit):
    sent = SharingFleet(size, limit).press(20)
    assert most_in_window(sent, WINDOW_SECONDS) <= allowed_in_window(limit)
    # The first tokens take up to 1 / limit to accumulate.
    assert len(sent) >= 0.9 * 20 * limit - 1
    assert sent


def a_limited_fleet(size, limit, seed=1):
    """Returns a fleet in which one instance has just heard of a limit."""
    fleet = VirtualFleet(
        size, a_snapshot(), seed, ticks=(*PEER_TICKS, *LIMIT_TICKS)
    )
    fleet.run(3)
    hear_limit(fleet, fleet.names[0], new_stated_limit(limit))
    fleet.run(0.5)
    return fleet


def hear_limit(fleet, name, stated):
    """Makes an instance hear of a limit in the answer to a request."""
    state_limit(fleet.nodes[name], stated, fleet.now - 0.01, fleet.now)


def press(fleet, seconds):
    """Sends from each instance whenever allowed; returns the instants."""
    sent = []
    end = fleet.now + seconds
    while fleet.now < end:
        sent += [
            fleet.now
            for node in fleet.nodes.values()
            if send_call(node, fleet.now)
        ]
        fleet.run(STEP_SECONDS)
    return sent


@pytest.mark.parametrize('size', [3, 14])
@pytest.mark.parametrize('limit', [0.5, 5])
def test_partition_stays_within_the_limit(size, limit):
    fleet = a_limited_fleet(size, limit)
    for name in fleet.names[: size // 3]:
        fleet.isolate(name)
    sent = press(fleet, 15)
    assert most_in_window(sent, WINDOW_SECONDS) <= allowed_in_window(limit)


@pytest.mark.parametrize('size', [3, 14])
@pytest.mark.parametrize('limit', [0.5, 5])
def test_restarts_stay_within_the_limit(size, limit):
    """A third of the instances is killed and started again, one by one."""
    fleet = a_limited_fleet(size, limit)
    sent = []
    for name in fleet.names[: max(1, size // 3)]:
        fleet.kill(name)
        sent += press(fleet, 0.5)
        fleet.start(name)
        hear_limit(fleet, name, new_stated_limit(limit))
        sent += press(fleet, 1)
    sent += press(fleet, 4)
    assert most_in_window(sent, WINDOW_SECONDS) <= allowed_in_window(limit)


@pytest.mark.parametrize('limit', [0.5, 5])
def test_planned_stops_stay_within_the_limit(limit):
    fleet = a_limited_fleet(14, limit)
    sent = []
    for name in fleet.names[:4]:
        fleet.leave(name)
        sent += press(fleet, 2)
        fleet.start(name)
    assert most_in_window(sent, WINDOW_SECONDS) <= allowed_in_window(limit)


def test_restarted_instance_hears_of_limits_from_its_peers():
    fleet = a_limited_fleet(14, 5)
    fleet.kill(fleet.names[-1])
    fleet.start(fleet.names[-1])
    fleet.run(1)
    assert known_limit(fleet.nodes[fleet.names[-1]]) == 5


def test_limit_and_its_end_reach_every_instance():
    fleet = a_limited_fleet(14, 5)
    assert {known_limit(node) for node in fleet.nodes.values()} == {5}
    hear_limit(fleet, fleet.names[3], NO_LIMIT)
    fleet.run(0.5)
    assert {known_limit(node) for node in fleet.nodes.values()} == {None}


def test_limit_and_its_end_reach_instances_without_a_direct_stream():
    fleet = a_limited_fleet(150, 5)
    assert {known_limit(node) for node in fleet.nodes.values()} == {5}
    hear_limit(fleet, fleet.names[3], NO_LIMIT)
    fleet.run(0.5)
    assert {known_limit(node) for node in fleet.nodes.values()} == {None}


def test_older_report_of_a_peer_does_not_bring_a_limit_back():
    fleet = a_limited_fleet(3, 5)
    fleet.isolate(fleet.names[2])
    fleet.run(1)
    hear_limit(fleet, fleet.names[0], NO_LIMIT)
    fleet.run(10)
    fleet.heal()
    fleet.run(5)
    assert {known_limit(node) for node in fleet.nodes.values()} == {None}


def test_peer_that_ended_a_limit_too_early_is_told_of_it():
    """Its answer without the limit overlaps a later one with it."""
    fleet = a_limited_fleet(3, 5)
    first, second = fleet.nodes[fleet.names[0]], fleet.nodes[fleet.names[1]]
    fleet.run(5)
    state_limit(second, new_stated_limit(5), fleet.now - 0.1, fleet.now)
    state_limit(first, NO_LIMIT, fleet.now - 1, fleet.now + 0.1)
    assert known_limit(first) is None
    fleet.run(0.5)
    assert known_limit(first) == known_limit(second) == 5


@pytest.mark.parametrize('size', [4, 14, 40])
@pytest.mark.parametrize('limit', [2, 5])
def test_limit_is_used_wherever_the_calls_arrive(size, limit):
    """Calls at twice the limit, each at a random instance, wait briefly."""
    fleet = a_limited_fleet(size, limit)
    end = fleet.now + 8
    sent = []
    pending = []
    while fleet.now < end:
        node = fleet.nodes[fleet.rng.choice(fleet.names)]
        pending.append((node, wait_in_queue(node, fleet.now, seconds=0.5)))
        next_call_at = fleet.now + fleet.rng.expovariate(2 * limit)
        while fleet.now < next_call_at:
            sent += send_pending(fleet, pending)
            fleet.run(STEP_SECONDS)
    assert len(sent) >= 0.8 * limit * 8
    assert most_in_window(sent, WINDOW_SECONDS) <= allowed_in_window(limit)


def wait_in_queue(node, now, seconds=2, priority=Priority.NORMAL):
    """Adds a call to the queue of the service; returns the waiter."""
    ticket = a_timed_ticket(
        route=a_route(priority=priority), now=now, seconds=seconds
    )
    waiter = Waiter(a_progress(ticket), now)
    enqueue(node, waiter)
    return waiter


def send_pending(fleet, pending):
    """Sends the calls that wait; returns the instants at which they were."""
    sent = []
    for node, waiter in tuple(pending):
        is_sent = send_call(node, fleet.now)
        if is_sent or waiter.deadline.has_passed(fleet.now):
            pending.remove((node, waiter))
            remove(node, waiter)
        if is_sent:
            sent.append(fleet.now)
    return sent


def a_fully_limited_node(limit, size=14):
    """Returns a node of a fleet; all upstreams of the service have a limit."""
    node = SharingFleet(size, limit).nodes[0]
    for upstream in node.snapshot.services['strike'].upstreams:
        state_limit(node, new_stated_limit(limit), -1, 0, upstream)
    return node


@pytest.mark.parametrize('waiting', [0, 1, 2, 9])
def test_no_more_tokens_are_borrowed_than_calls_wait(waiting):
    node = a_fully_limited_node(5)
    for name in node.members.active:
        node.members.get_or_create_peer(name).record_connect()
    for _ in range(waiting):
        wait_in_queue(node, 0.01)
    assert len(wanted_loans(node, 0.01)) == min(waiting, 3)


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


@pytest.mark.parametrize(
    'entry',
    [None, (), (5, 1), (-1, 1, 1), (float('nan'), 1, 1), (float('inf'), 1, 1)]
    + [('5', 1, 1), (True, 1, 1), (5, -1, 1), (5, 1, 1.5), (5, 10**400, 1)]
    + [(10**400, 1, 1), (5, None, 1)],
)
def test_malformed_limit_of_a_peer_raises_peer_error(entry):
    node = a_node()
    entries = {'strike-2': (5, 1, 1), UPSTREAM.name: entry}
    with pytest.raises(PeerError):
        handle_limit_update(node, 'entry-2', LimitUpdate(entries), 0)
    assert not node.throttles.by_upstream


@pytest.mark.parametrize('names', [None, 'strike-1', (1,), {'strike-1': 1}])
def test_malformed_loan_raises_peer_error(names):
    for message_class in (LoanRequest, Loan):
        with pytest.raises(PeerError):
            message_class(names)


def test_loan_that_was_not_requested_is_ignored():
    node = SharingFleet(14, 0.5).nodes[0]
    handle_loan(node, 'entry-2', Loan((UPSTREAM.name, 'unknown')), 0.1)
    assert not node.throttles.by_upstream[UPSTREAM.name].has_loan(0.1)


def test_explanation_names_the_limits():
    node = a_fully_limited_node(0.5)
    explanation = explain(node, 'GET', '/strike/1', 'fletcher', 1)
    assert 'accepts 0.5 requests/s' in explanation.steps[-1]
    assert 'entry-1 heard 1 s ago' in explanation.steps[-1].replace('1.0', '1')


def test_limited_upstream_without_a_token_is_not_chosen():
    node = a_node()
    service = node.snapshot.services['strike']
    for upstream in service.upstreams[:2]:
        state_limit(node, new_stated_limit(0), 0, 1, upstream)
    chosen = {
        choose_upstream(node, service, frozenset(), 1.1) for _ in range(30)
    }
    assert chosen == {service.upstreams[2]}


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
        since = limited.arrived_at[0] + SPREAD_SECONDS
        counted = [at for at in limited.arrived_at if at >= since]
        assert most_in_window(counted, WINDOW_SECONDS) <= allowed_in_window(1)

    asyncio.run(scenario())
