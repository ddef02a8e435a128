"""Tests of the tokens of limits that instances lend to each other."""

import pytest

from chervilstep.commands.limit_loans import Loan, LoanRequest, handle_loan
from chervilstep.exceptions import PeerError
from chervilstep.queries.throttling import wanted_loans
from tests.throttle_builders import (
    STEP_SECONDS,
    UPSTREAM,
    WINDOW_SECONDS,
    SharingFleet,
    a_fully_limited_node,
    a_limited_fleet,
    allowed_in_window,
    send_pending,
    wait_in_queue,
)
from tests.virtual_builders import most_in_window


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


@pytest.mark.parametrize('waiting', [0, 1, 2, 9])
def test_no_more_tokens_are_borrowed_than_calls_wait(waiting):
    node = a_fully_limited_node(5)
    for name in node.members.active:
        node.members.get_or_create_peer(name).record_connect()
    for _ in range(waiting):
        wait_in_queue(node, 0.01)
    assert len(wanted_loans(node, 0.01)) == min(waiting, 3)


@pytest.mark.parametrize('names', [None, 'strike-1', (1,), {'strike-1': 1}])
def test_malformed_loan_raises_peer_error(names):
    for message_class in (LoanRequest, Loan):
        with pytest.raises(PeerError):
            message_class(names)


def test_loan_that_was_not_requested_is_ignored():
    node = SharingFleet(14, 0.5).nodes[0]
    handle_loan(node, 'entry-2', Loan((UPSTREAM.name, 'unknown')), 0.1)
    assert not node.throttles.by_upstream[UPSTREAM.name].has_loan(0.1)
