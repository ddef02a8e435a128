"""Tests of planned stops: what is still served, and until when."""

import asyncio

import pytest

from chervilstep.commands.shutdown import begin_shutdown
from chervilstep.hooks import CHECKS
from chervilstep.queries.queueing import enqueue_refusal, unservable_waiters
from chervilstep.queries.shutdown import check_shutdown, outlasts_shutdown
from chervilstep.queues import Waiter
from chervilstep.refusals import LEAVING
from chervilstep.types import Deadline
from tests.builders import a_node
from tests.dispatch_builders import a_progress, a_timed_ticket
from tests.stop_builders import (
    a_stopping_node,
    send_through_a_stop,
    some_timeouts,
)


def test_call_that_ends_before_the_stop_is_taken():
    node = a_stopping_node()
    ticket = a_timed_ticket(now=103, seconds=2)
    assert check_shutdown(node, ticket, 103) is None


def test_call_that_could_be_cut_is_refused():
    node = a_stopping_node()
    ticket = a_timed_ticket(now=103, seconds=2.01)
    assert check_shutdown(node, ticket, 103) is LEAVING
    assert check_shutdown in tuple(CHECKS)


def test_second_signal_does_not_move_the_end_of_a_stop():
    node = a_stopping_node()
    begin_shutdown(node, 104)
    assert node.members.shutdown.answers_until == Deadline(105)


def test_no_call_outlasts_an_instance_that_runs_on():
    assert not outlasts_shutdown(a_node(), Deadline(float('inf')))


@pytest.mark.parametrize(('seconds', 'refusal'), [(4, None), (6, LEAVING)])
def test_waiting_calls_that_could_be_cut_are_refused(seconds, refusal):
    node = a_stopping_node()
    waiter = Waiter(a_progress(a_timed_ticket(now=100, seconds=seconds)), 100)
    service = waiter.progress.ticket.route.service
    node.queues.queue(service).add(waiter)
    decisions = unservable_waiters(node, service, 100.1)
    assert [each.result for each in decisions if each.result is LEAVING] == (
        [refusal] if refusal else []
    )
    late = a_progress(a_timed_ticket(now=100, seconds=6))
    assert enqueue_refusal(node, late, 100.1) is LEAVING


@pytest.mark.parametrize(
    ('run_seconds', 'route_seconds'), [(0.9, 1.0), (0.9, 10)]
)
def test_planned_stop_cuts_no_request_that_it_took(run_seconds, route_seconds):
    """Guards against requests that were taken late in a stop and cut."""
    exchanges, reached = asyncio.run(
        send_through_a_stop(some_timeouts(), run_seconds, route_seconds, 0.04)
    )
    statuses = {
        exchange.status
        for exchange in exchanges
        if exchange.identity in reached
    }
    assert statuses == {200}
    refused = [each for each in exchanges if each.status == 503]
    assert refused
    for each in refused:
        assert b'Retry-After: 0.000' in each.head
        assert b'Connection: close' in each.head
