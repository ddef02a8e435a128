"""Tests of what the customers of the lab send."""

import pytest

from lab.plans import PLANS
from lab.queries.demands import POISON, arrivals_of, limits_of, offered_rates
from tests.lab_builders import a_turn


@pytest.mark.parametrize('name', ['nz', 'sk'])
def test_the_offered_rates_add_up(name):
    rates = offered_rates(PLANS.find(name)(), 100)
    assert sum(rates.values()) == pytest.approx(100)


def test_arrivals_come_in_order_at_about_the_rate():
    arrivals = arrivals_of(a_turn(seconds=10, rate=200))
    times = [arrival.at for arrival in arrivals]
    assert times == sorted(times)
    assert len(times) == pytest.approx(2000, rel=0.1)


def test_a_seed_fixes_the_arrivals_and_another_turn_has_other_ids():
    first = arrivals_of(a_turn('t1'))
    second = arrivals_of(a_turn('t2'))
    assert [arrival.at for arrival in first] == [
        arrival.at for arrival in second
    ]
    ids = {arrival.request.request_id for arrival in first + second}
    assert len(ids) == len(first) + len(second)


def test_a_surge_exceeds_the_rate_of_its_customer():
    turn = a_turn(fault='surge', seconds=10)
    limit = max(limits_of(turn.plan, 200).values(), key=lambda one: one.rate)
    surged = [
        arrival
        for arrival in arrivals_of(turn)
        if 'surge' in arrival.request.request_id
    ]
    assert len(surged) > 3 * limit.rate * 4


def test_poison_is_one_request_sent_again():
    turn = a_turn(fault=POISON)
    targets = [
        arrival.request.target
        for arrival in arrivals_of(turn)
        if POISON in arrival.request.target
    ]
    assert len(targets) > 3
    assert len(set(targets)) == 1


def test_faults_that_come_together_add_their_requests():
    targets = {
        arrival.request.request_id.rpartition('-')[0]
        for arrival in arrivals_of(a_turn(fault='surge+poison'))
    }
    assert any(POISON in target for target in targets)
    assert any('surge' in target for target in targets)
