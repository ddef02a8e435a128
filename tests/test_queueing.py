"""Tests of the order, the bounds and the early refusals of the queue."""

import pytest

from chervilstep import refusals
from chervilstep.commands.queueing import enqueue, grant
from chervilstep.queries import queueing
from chervilstep.services import Upstream
from chervilstep.snapshot import Priority
from chervilstep.tails import MIN_ANSWERS
from chervilstep.types import new_deadline
from chervilstep.waiting import Waiter
from tests.builders import a_customer, a_route, an_attempt
from tests.dispatch_builders import a_progress, a_slotted_node, a_timed_ticket

SERVICE = 'strike'


def wait(node, customer='fletcher', priority=Priority.NORMAL, now=0, **changes):
    ticket = a_timed_ticket(
        route=a_route(priority=priority),
        customer=a_customer(customer),
        **changes,
    )
    waiter = Waiter(a_progress(ticket), now)
    enqueue(node, waiter)
    return waiter


def serve(node, count, now=0):
    """Grants ``count`` turns and returns who got them."""
    granted = []
    for _ in range(count):
        turn = queueing.next_turn(node, SERVICE, now)
        assert turn is not None
        grant(node, turn.waiter, now)
        granted.append(turn.waiter)
    return granted


def test_noisy_customer_waits_behind_the_quiet_ones():
    node = a_slotted_node()
    for _ in range(50):
        wait(node, 'noisy')
    quiet = [wait(node, f'quiet-{index}') for index in range(5)]
    assert set(quiet) <= set(serve(node, 7))


def test_customer_that_was_idle_saves_up_no_turns():
    node = a_slotted_node()
    for _ in range(20):
        wait(node, 'early')
    serve(node, 10)
    for _ in range(20):
        wait(node, 'late')
    names = [waiter.customer for waiter in serve(node, 20)]
    assert abs(names.count('late') - names.count('early')) <= 1


def test_urgent_calls_go_first_and_starve_nobody():
    node = a_slotted_node()
    for _ in range(100):
        wait(node, priority=Priority.BULK)
        wait(node, priority=Priority.NORMAL)
        wait(node, priority=Priority.URGENT)
    order = [waiter.priority for waiter in serve(node, 84)]
    assert order[0] is Priority.URGENT
    assert order.count(Priority.URGENT) == pytest.approx(64, abs=2)
    assert order.count(Priority.NORMAL) == pytest.approx(16, abs=2)
    assert order.count(Priority.BULK) == pytest.approx(4, abs=1)


def test_urgent_call_overtakes_a_long_queue():
    node = a_slotted_node()
    for _ in range(100):
        wait(node, priority=Priority.BULK)
        wait(node, priority=Priority.NORMAL)
    urgent = wait(node, priority=Priority.URGENT)
    assert urgent in serve(node, 2)


def a_moving_queue(interval=0.01, length=100):
    """A queue that grants a turn each ``interval`` seconds."""
    node = a_slotted_node()
    for _ in range(length + 50):
        wait(node, seconds=60)
    for index in range(50):
        serve(node, 1, now=(index + 1) * interval)
    return node, 50 * interval


def objection(node, customer, seconds, now):
    ticket = a_timed_ticket(
        customer=a_customer(customer), now=now, seconds=seconds
    )
    return queueing.objection(node, a_progress(ticket), now)


def test_call_that_cannot_be_served_in_time_is_refused_at_once():
    node, now = a_moving_queue()
    assert objection(node, 'fletcher', 0.9, now) is refusals.QUEUE_TOO_LONG
    assert objection(node, 'fletcher', 1.1, now) is None
    # The queue of one customer is not that of the others.
    assert objection(node, 'cement', 0.03, now) is None


def test_queue_that_stands_still_refuses_more():
    node, now = a_moving_queue(length=10)
    assert objection(node, 'fletcher', 1, now) is None
    assert objection(node, 'fletcher', 1, now + 5) is refusals.QUEUE_TOO_LONG


def test_waiter_that_could_only_run_in_vain_is_refused():
    node = a_slotted_node()
    for _ in range(MIN_ANSWERS):
        node.tails.note(SERVICE, 0.2)
    waiter = wait(node, seconds=1)
    turn = queueing.next_turn(node, SERVICE, 0.9)
    assert turn is not None
    assert turn.waiter is waiter
    assert turn.upstream is refusals.QUEUE_TIMEOUT
    turn = queueing.next_turn(node, SERVICE, 0.7)
    assert turn is not None
    assert isinstance(turn.upstream, Upstream)


def test_queue_of_unknown_pace_refuses_nobody():
    node = a_slotted_node()
    for _ in range(500):
        wait(node)
    assert objection(node, 'fletcher', 0.001, 0) is None


def fill(node, monkeypatch, *customers):
    monkeypatch.setattr(queueing, 'MAX_WAITERS', len(customers))
    return [wait(node, customer) for customer in customers]


def test_full_queue_makes_room_at_the_cost_of_who_holds_most(monkeypatch):
    node = a_slotted_node()
    waiters = fill(node, monkeypatch, 'noisy', 'noisy', 'noisy', 'quiet')
    quiet = a_progress(a_timed_ticket(customer=a_customer('third')))
    assert queueing.evictee(node, quiet) is waiters[2]
    noisy = a_progress(a_timed_ticket(customer=a_customer('noisy')))
    assert queueing.evictee(node, noisy) is None
    assert queueing.objection(node, noisy, 0) is refusals.QUEUE_FULL


def test_urgent_call_takes_the_place_of_its_customers_bulk(monkeypatch):
    node = a_slotted_node()
    monkeypatch.setattr(queueing, 'MAX_WAITERS', 2)
    bulk = wait(node, priority=Priority.BULK)
    wait(node, priority=Priority.URGENT)
    urgent = a_timed_ticket(route=a_route(priority=Priority.URGENT))
    assert queueing.evictee(node, a_progress(urgent)) is bulk
    same = a_timed_ticket(route=a_route(priority=Priority.BULK))
    assert queueing.evictee(node, a_progress(same)) is None


def test_line_is_judged_by_its_own_pace():
    node = a_slotted_node()
    for _ in range(30):
        wait(node, 'noisy', seconds=60)
    # Quiet calls that come later go first: one turn in four is noisy.
    for index in range(40):
        for name in ('quiet-1', 'quiet-2', 'quiet-3'):
            wait(node, name, now=index * 0.04, seconds=60)
        serve(node, 4, now=(index + 1) * 0.04)
        wait(node, 'noisy', now=(index + 1) * 0.04, seconds=60)
    assert objection(node, 'noisy', 1, 1.6) is refusals.QUEUE_TOO_LONG
    assert objection(node, 'noisy', 1.5, 1.6) is None


def test_large_bodies_count_for_more(monkeypatch):
    node = a_slotted_node()
    monkeypatch.setattr(queueing, 'MAX_BODY_BYTES', 300_000)
    large = [wait(node, 'large', body=bytes(100_000)) for _ in range(3)]
    small = [wait(node, 'small') for _ in range(2)]
    assert small
    ticket = a_timed_ticket(customer=a_customer('small'), body=b'more')
    assert queueing.evictee(node, a_progress(ticket)) is large[-1]


def test_call_is_refused_when_nothing_could_serve_it():
    node = a_slotted_node()
    progress = a_progress(a_timed_ticket())
    progress.record_start(an_attempt(progress.ticket))
    assert queueing.objection(node, progress, 0) is refusals.NO_UPSTREAM


def test_next_look_is_never_after_a_deadline():
    node = a_slotted_node()
    assert queueing.next_wake_at(node, 0) is None
    wait(node, seconds=9)
    assert queueing.next_wake_at(node, 0) == queueing.RECHECK_SECONDS
    wait(node, seconds=0.01)
    assert queueing.next_wake_at(node, 0) == new_deadline(0, 0.01).at
