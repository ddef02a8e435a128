"""Tests of loans: debit first, credit once, and deadlines from the asking."""

import pytest

from chervilstep.commands.borrowing import take_loan_offer
from chervilstep.commands.lending import take_loan_request
from chervilstep.queries.lending import burst_part, live_loans, shards_of
from chervilstep.shares import Grant
from chervilstep.types import Deadline
from tests.builders import a_node, a_snapshot
from tests.rate_builders import (
    CUSTOMER,
    a_borrower,
    a_lender,
    a_request,
    an_offer,
)


def ask(lender, request, now=100.0):
    lender.outbox.clear()
    take_loan_request(lender, 'entry-2', request, now)
    return [letter.message for letter in lender.outbox.letters]


def test_lender_debits_before_it_lends():
    lender = a_lender(tokens=5)
    (offer,) = ask(lender, a_request())
    assert offer.term(CUSTOMER).tokens == 1
    bucket = lender.shares.bucket(CUSTOMER)
    assert bucket.level(100) == 4
    assert bucket.burst(100) + offer.term(CUSTOMER).burst == 20


def test_lender_ignores_a_copy_of_a_request():
    lender = a_lender(tokens=5)
    ask(lender, a_request(sequence=3))
    assert not ask(lender, a_request(sequence=3, returned=1, burst=1))
    assert not ask(lender, a_request(sequence=2))
    assert lender.shares.bucket(CUSTOMER).level(100) == 4


def test_lender_sends_no_parts_of_a_token():
    lender = a_lender(tokens=0.9)
    (offer,) = ask(lender, a_request())
    assert offer.term(CUSTOMER).tokens == 0
    assert lender.shares.bucket(CUSTOMER).level(100) == 0.9


def test_lender_counts_tokens_on_their_way_as_lent():
    lender = a_lender(tokens=5)
    ask(lender, a_request(sequence=1))
    ask(lender, a_request(sequence=2, burst=1, room=1))
    (loan,) = live_loans(lender, CUSTOMER, 100).values()
    assert (loan.burst, loan.transit) == (1, 1)
    assert lender.shares.bucket(CUSTOMER).burst(100) == 18


def test_lender_takes_depth_and_tokens_back():
    lender = a_lender(tokens=5)
    ask(lender, a_request(sequence=1))
    ask(lender, a_request(sequence=2, burst=0, returned=1, wanted=0))
    assert lender.shares.bucket(CUSTOMER).level(100) == 5
    assert lender.shares.bucket(CUSTOMER).burst(100) == 20


def test_lender_sends_no_offer_for_a_mere_return():
    lender = a_lender(tokens=5)
    ask(lender, a_request(sequence=1))
    assert not ask(lender, a_request(sequence=2, is_return=True))
    assert lender.shares.bucket(CUSTOMER).burst(100) == 20


def test_loan_ends_with_the_lease_of_the_lender():
    lender = a_lender(tokens=5, lease_until=103)
    (offer,) = ask(lender, a_request())
    assert offer.seconds == 3
    (loan,) = live_loans(lender, CUSTOMER, 102.9).values()
    assert loan.deadline == Deadline(103)


def test_lender_without_a_lease_lends_nothing():
    lender = a_lender(tokens=5, lease_until=103)
    assert not ask(lender, a_request(), now=103.0)


def test_borrower_credits_an_offer_once():
    borrower = a_borrower()
    for _ in range(2):
        take_loan_offer(borrower, 'entry-1', an_offer(borrower), 100.1)
    assert borrower.shares.bucket(CUSTOMER).level(100.1) == 1


def test_borrower_counts_the_loan_from_its_request():
    borrower = a_borrower(sent_at=100.0)
    take_loan_offer(borrower, 'entry-1', an_offer(borrower), 104.9)
    bucket = borrower.shares.bucket(CUSTOMER)
    assert bucket.level(104.9) == 1
    assert bucket.level(105) == 0


def test_borrower_ignores_an_offer_to_an_older_request():
    borrower = a_borrower()
    offer = an_offer(borrower)
    borrower.shares.account('entry-1', CUSTOMER).request(2, 1, 100.1)
    take_loan_offer(borrower, 'entry-1', offer, 100.2)
    assert CUSTOMER not in borrower.shares.buckets


def test_borrower_that_slept_past_the_loan_spends_nothing():
    borrower = a_borrower()
    take_loan_offer(borrower, 'entry-1', an_offer(borrower), 105)
    assert borrower.shares.bucket(CUSTOMER).level(105) == 0


@pytest.mark.parametrize('burst', [0, 1, 5, 15, 16, 17, 31, 40, 1000])
def test_parts_of_a_burst_add_up(burst):
    parts = [burst_part(burst, place) for place, _ in enumerate(range(4))]
    assert sum(parts) == burst
    assert len(shards_of(CUSTOMER)) == 4


def test_grant_that_shrinks_spills_the_tokens_above():
    bucket = a_node(a_snapshot()).shares.bucket(CUSTOMER)
    bucket.put('entry-2', Grant(0, 5, Deadline(9)), 1)
    bucket.credit(5, 1)
    bucket.put('entry-2', Grant(0, 2, Deadline(9)), 1)
    assert bucket.level(1) == 2
