"""Tests of the measures of the brief and of the checks by request id."""

import pytest

from lab.arrivals import new_record, row_of
from lab.documents import Limit
from lab.queries import measuring
from tests.lab_builders import a_record, a_refusal, a_result

LIMITS = {'fletcher': Limit(10, 2)}


def test_only_answers_count_for_the_tail():
    records = [a_record(latency=0.1), a_refusal(latency=5)]
    tail = measuring.latency_tail(records)
    assert tail.count == 1
    assert tail.p999 == pytest.approx(100, rel=0.01)


def test_requests_beyond_the_burst_are_not_within_the_rate():
    records = [a_record(name) for name in 'abc'] + [a_record('d', at=0.1)]
    assert measuring.within_rate(records, LIMITS) == {'a', 'b', 'd'}


def test_overshoot_counts_what_was_let_through_beyond_the_bucket():
    sent = [a_record('a'), a_record('b'), a_refusal('c'), a_record('d')]
    assert measuring.overshoot_of(sent, LIMITS['fletcher']) == 1


@pytest.mark.parametrize(
    ('record', 'runs', 'fault'),
    [
        (a_record('a'), {'a': 2}, 'ran_twice'),
        (a_record('a'), {}, 'answered_not_run'),
        (a_refusal('a'), {'a': 1}, 'falsely_not_run'),
        (a_record('a', reason='wrong-answer'), {'a': 1}, 'wrong_answers'),
    ],
)
def test_each_kind_of_falsehood_is_counted(record, runs, fault):
    checks = measuring.checks_of([record], runs, 0)
    assert getattr(checks, fault) == 1
    assert not checks.are_clean


def test_an_idempotent_request_may_run_twice():
    record = a_record('a', is_idempotent=True)
    assert measuring.checks_of([record], {'a': 2}, 0).are_clean


def test_a_refusal_within_the_rate_is_wrongful():
    result = a_result(a_record('a'), a_refusal('b'))
    passed = frozenset('ab')
    fare = measuring.fares_of([result], LIMITS, passed)['fletcher']
    assert (fare.answered_share, fare.wrongly_refused) == (0.5, 1)


def test_a_customer_beyond_its_rate_may_only_claim_a_number():
    result = a_result(a_refusal('a'), a_record('b'), a_record('c'))
    passed = frozenset('ab')
    assert not measuring.wrongful_of([result], LIMITS, passed)
    fewer = a_result(a_refusal('a'), a_refusal('b'), a_record('c'))
    assert measuring.wrongful_of([fewer], LIMITS, passed) == {
        'rate-exceeded': 1
    }


def test_work_in_a_withdrawn_zone_shows():
    result = a_result(
        a_record('a', at=1, upstream='strike-2'),
        a_record('b', at=2.5, upstream='strike-2'),
        a_record('c', at=3, upstream='strike-1'),
        marks=[(2, 'zone ham withdrawn')],
    )
    zones = {'strike-1': 'akl', 'strike-2': 'ham'}
    window = measuring.windows_of([result], zones)['turn 1: zone ham withdrawn']
    assert window['last_work_after'] == 0.5


def test_a_revoked_customer_that_is_still_served_shows():
    result = a_result(
        a_record('a', at=4),
        marks=[(2, 'keys of fletcher revoked')],
    )
    windows = measuring.windows_of([result], {})
    assert windows['turn 1: keys of fletcher revoked']['last_work_after'] == 2
    assert measuring.banned_at(result, 'fletcher') == 2
    assert measuring.banned_at(result, 'downer') == float('inf')


def test_a_record_survives_its_row():
    record = a_refusal('a', at=1.5, latency=0.2)
    assert row_of(new_record(row_of(record))) == row_of(record)
