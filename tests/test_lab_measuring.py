"""Tests of the measures of an experiment and of the checks by request id."""

import pytest

from lab.arrivals import record_from_row, row_from_record
from lab.documents import RateLimit
from lab.queries import measuring
from tests.lab_builders import a_record, a_refusal, a_result

LIMITS = {'fletcher': RateLimit(10, 2)}


def test_latency_covers_answered_requests_only():
    records = [a_record(latency=0.1), a_refusal(latency=5)]
    summary = measuring.answered_latency(records)
    assert summary.count == 1
    assert summary.p999 == pytest.approx(100, rel=0.01)


def test_requests_beyond_the_burst_exceed_the_rate():
    records = [a_record(name) for name in 'abc'] + [a_record('d', at=0.1)]
    assert measuring.ids_within_rate(records, LIMITS) == {'a', 'b', 'd'}


def test_overshoot_counts_requests_admitted_beyond_the_bucket():
    sent = [a_record('a'), a_record('b'), a_refusal('c'), a_record('d')]
    assert measuring.rate_overshoot(sent, LIMITS['fletcher']) == 1


@pytest.mark.parametrize(
    ('record', 'runs', 'fault'),
    [
        (a_record('a'), {'a': 2}, 'ran_twice'),
        (a_record('a'), {}, 'answered_not_run'),
        (a_refusal('a'), {'a': 1}, 'falsely_not_run'),
        (a_record('a', reason='wrong-answer'), {'a': 1}, 'wrong_answers'),
    ],
)
def test_each_violated_guarantee_is_counted(record, runs, fault):
    checks = measuring.check_outcomes([record], runs, 0)
    assert getattr(checks, fault) == 1
    assert not checks.are_clean


def test_idempotent_request_may_run_twice():
    record = a_record('a', is_idempotent=True)
    assert measuring.check_outcomes([record], {'a': 2}, 0).are_clean


def test_refusal_within_the_rate_is_wrongful():
    result = a_result(a_record('a'), a_refusal('b'))
    allowed_ids = frozenset('ab')
    measures = measuring.measure_customers([result], LIMITS, allowed_ids)[
        'fletcher'
    ]
    assert (measures.answered_share, measures.wrongly_refused) == (0.5, 1)


def test_refusals_beyond_the_rate_are_checked_by_number():
    result = a_result(a_refusal('a'), a_record('b'), a_record('c'))
    allowed_ids = frozenset('ab')
    assert not measuring.total_wrongful_refusals([result], LIMITS, allowed_ids)
    fewer = a_result(a_refusal('a'), a_refusal('b'), a_record('c'))
    assert measuring.total_wrongful_refusals([fewer], LIMITS, allowed_ids) == {
        'rate-exceeded': 1
    }


def test_answer_from_a_withdrawn_zone_is_reported():
    result = a_result(
        a_record('a', at=1, upstream='strike-2'),
        a_record('b', at=2.5, upstream='strike-2'),
        a_record('c', at=3, upstream='strike-1'),
        marks=[(2, 'zone ham withdrawn')],
    )
    zones = {'strike-1': 'akl', 'strike-2': 'ham'}
    window = measuring.measure_windows([result], zones)[
        'turn 1: zone ham withdrawn'
    ]
    assert window['last_work_after'] == 0.5


def test_answer_to_a_revoked_customer_is_reported():
    result = a_result(
        a_record('a', at=4),
        marks=[(2, 'keys of fletcher revoked')],
    )
    windows = measuring.measure_windows([result], {})
    assert windows['turn 1: keys of fletcher revoked']['last_work_after'] == 2
    assert measuring.revoked_at(result, 'fletcher') == 2
    assert measuring.revoked_at(result, 'downer') == float('inf')


def test_record_is_restored_from_its_row():
    record = a_refusal('a', at=1.5, latency=0.2)
    assert row_from_record(
        record_from_row(row_from_record(record))
    ) == row_from_record(record)
