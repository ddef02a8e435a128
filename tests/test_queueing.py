"""Tests of the order, the limits and the early refusals of the queue."""

import pytest

from chervilstep import refusals
from chervilstep.commands.queueing import enqueue, grant
from chervilstep.estimates import MIN_ANSWERS
from chervilstep.queries import queueing
from chervilstep.queues import Waiter
from chervilstep.services import Upstream
from chervilstep.snapshot import Priority
from chervilstep.types import new_deadline
from tests.builders import a_customer, a_route, an_attempt
from tests.dispatch_builders import a_progress, a_slotted_node, a_timed_ticket

SERVICE = 'strike'


def enqueue_call(
    node, customer='fletcher', priority=Priority.NORMAL, now=0, **changes
):
    ticket = a_timed_ticket(
        route=a_route(priority=priority),
        customer=a_customer(customer),
        **changes,
    )
    waiter = Waiter(a_progress(ticket), now)
    enqueue(node, waiter)
    return waiter


def grant_next(node, count, now=0):
    """Grants ``count`` waiters and returns them."""
    granted = []
    for _ in range(count):
        decision = queueing.next_decision(node, SERVICE, now)
        assert decision is not None
        grant(node, decision.waiter, now)
        granted.append(decision.waiter)
    return granted


def test_noisy_customer_does_not_delay_others():
    node = a_slotted_node()
    for _ in range(50):
        enqueue_call(node, 'noisy')
    quiet = [enqueue_call(node, f'quiet-{index}') for index in range(5)]
    assert set(quiet) <= set(grant_next(node, 7))


def test_idle_customer_accumulates_no_credit():
    node = a_slotted_node()
    for _ in range(20):
        enqueue_call(node, 'early')
    grant_next(node, 10)
    for _ in range(20):
        enqueue_call(node, 'late')
    names = [waiter.customer for waiter in grant_next(node, 20)]
    assert abs(names.count('late') - names.count('early')) <= 1


def test_priorities_are_served_by_weight():
    node = a_slotted_node()
    for _ in range(100):
        enqueue_call(node, priority=Priority.BULK)
        enqueue_call(node, priority=Priority.NORMAL)
        enqueue_call(node, priority=Priority.URGENT)
    order = [waiter.priority for waiter in grant_next(node, 84)]
    assert order[0] is Priority.URGENT
    assert order.count(Priority.URGENT) == pytest.approx(64, abs=2)
    assert order.count(Priority.NORMAL) == pytest.approx(16, abs=2)
    assert order.count(Priority.BULK) == pytest.approx(4, abs=1)


def test_urgent_call_overtakes_a_long_queue():
    node = a_slotted_node()
    for _ in range(100):
        enqueue_call(node, priority=Priority.BULK)
        enqueue_call(node, priority=Priority.NORMAL)
    urgent = enqueue_call(node, priority=Priority.URGENT)
    assert urgent in grant_next(node, 2)


def a_queue_with_grants(interval=0.01, length=100):
    """Returns a node whose queue granted a waiter every ``interval`` seconds.

    The second value is the time of the last grant.
    """
    node = a_slotted_node()
    for _ in range(length + 50):
        enqueue_call(node, seconds=60)
    for index in range(50):
        grant_next(node, 1, now=(index + 1) * interval)
    return node, 50 * interval


def enqueue_refusal(node, customer, seconds, now):
    ticket = a_timed_ticket(
        customer=a_customer(customer), now=now, seconds=seconds
    )
    return queueing.enqueue_refusal(node, a_progress(ticket), now)


def test_call_that_cannot_be_served_in_time_is_refused_at_once():
    node, now = a_queue_with_grants()
    assert (
        enqueue_refusal(node, 'fletcher', 0.9, now) is refusals.QUEUE_TOO_LONG
    )
    assert enqueue_refusal(node, 'fletcher', 1.1, now) is None
    # The wait of another customer is estimated separately.
    assert enqueue_refusal(node, 'cement', 0.03, now) is None


def test_stalled_queue_refuses_more():
    node, now = a_queue_with_grants(length=10)
    assert enqueue_refusal(node, 'fletcher', 1, now) is None
    assert (
        enqueue_refusal(node, 'fletcher', 1, now + 5) is refusals.QUEUE_TOO_LONG
    )


def test_waiter_with_too_little_time_is_refused():
    node = a_slotted_node()
    for _ in range(MIN_ANSWERS):
        node.latency_estimates.record(SERVICE, 0.2)
    waiter = enqueue_call(node, seconds=1)
    decision = queueing.next_decision(node, SERVICE, 0.9)
    assert decision is not None
    assert decision.waiter is waiter
    assert decision.result is refusals.QUEUE_TIMEOUT
    decision = queueing.next_decision(node, SERVICE, 0.7)
    assert decision is not None
    assert isinstance(decision.result, Upstream)


def test_queue_without_grants_refuses_no_call():
    node = a_slotted_node()
    for _ in range(500):
        enqueue_call(node)
    assert enqueue_refusal(node, 'fletcher', 0.001, 0) is None


def fill_queue(node, monkeypatch, *customers):
    monkeypatch.setattr(queueing, 'MAX_WAITERS', len(customers))
    return [enqueue_call(node, customer) for customer in customers]


def test_full_queue_evicts_from_largest_customer(monkeypatch):
    node = a_slotted_node()
    waiters = fill_queue(node, monkeypatch, 'noisy', 'noisy', 'noisy', 'quiet')
    quiet = a_progress(a_timed_ticket(customer=a_customer('third')))
    assert queueing.waiter_to_evict(node, quiet) is waiters[2]
    noisy = a_progress(a_timed_ticket(customer=a_customer('noisy')))
    assert queueing.waiter_to_evict(node, noisy) is None
    assert queueing.enqueue_refusal(node, noisy, 0) is refusals.QUEUE_FULL


def test_urgent_call_evicts_bulk_call_of_customer(monkeypatch):
    node = a_slotted_node()
    monkeypatch.setattr(queueing, 'MAX_WAITERS', 2)
    bulk = enqueue_call(node, priority=Priority.BULK)
    enqueue_call(node, priority=Priority.URGENT)
    urgent = a_timed_ticket(route=a_route(priority=Priority.URGENT))
    assert queueing.waiter_to_evict(node, a_progress(urgent)) is bulk
    same = a_timed_ticket(route=a_route(priority=Priority.BULK))
    assert queueing.waiter_to_evict(node, a_progress(same)) is None


def test_wait_is_estimated_per_customer():
    node = a_slotted_node()
    for _ in range(30):
        enqueue_call(node, 'noisy', seconds=60)
    # Later calls of quiet customers go first: one grant in four is noisy.
    for index in range(40):
        for name in ('quiet-1', 'quiet-2', 'quiet-3'):
            enqueue_call(node, name, now=index * 0.04, seconds=60)
        grant_next(node, 4, now=(index + 1) * 0.04)
        enqueue_call(node, 'noisy', now=(index + 1) * 0.04, seconds=60)
    assert enqueue_refusal(node, 'noisy', 1, 1.6) is refusals.QUEUE_TOO_LONG
    assert enqueue_refusal(node, 'noisy', 1.5, 1.6) is None


def test_large_bodies_count_as_several_waiters(monkeypatch):
    node = a_slotted_node()
    monkeypatch.setattr(queueing, 'MAX_BODY_BYTES', 300_000)
    large = [enqueue_call(node, 'large', body=bytes(100_000)) for _ in range(3)]
    small = [enqueue_call(node, 'small') for _ in range(2)]
    assert small
    ticket = a_timed_ticket(customer=a_customer('small'), body=b'more')
    assert queueing.waiter_to_evict(node, a_progress(ticket)) is large[-1]


def test_call_without_usable_upstream_is_refused():
    node = a_slotted_node()
    progress = a_progress(a_timed_ticket())
    progress.record_start(an_attempt(progress.ticket))
    assert queueing.enqueue_refusal(node, progress, 0) is refusals.NO_UPSTREAM


def test_next_wake_up_is_not_after_a_deadline():
    node = a_slotted_node()
    assert queueing.next_recheck_at(node, 0) is None
    enqueue_call(node, seconds=9)
    assert queueing.next_recheck_at(node, 0) == queueing.RECHECK_PERIOD_SECONDS
    enqueue_call(node, seconds=0.01)
    assert queueing.next_recheck_at(node, 0) == new_deadline(0, 0.01).at
