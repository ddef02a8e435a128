"""Tests of the requests that the lab draws for a turn."""

import pytest

from lab.plans import PLANS
from lab.queries.demands import (
    POISON,
    customer_limits,
    draw_arrivals,
    offered_rates,
)
from tests.lab_builders import a_turn


@pytest.mark.parametrize('name', ['nz', 'sk'])
def test_offered_rates_sum_to_the_total_rate(name):
    rates = offered_rates(PLANS.find(name)(), 100)
    assert sum(rates.values()) == pytest.approx(100)


def test_arrivals_are_sorted_and_match_the_rate():
    arrivals = draw_arrivals(a_turn(seconds=10, rate=200))
    times = [arrival.scheduled_at for arrival in arrivals]
    assert times == sorted(times)
    assert len(times) == pytest.approx(2000, rel=0.1)


def test_equal_seeds_give_equal_times_and_distinct_request_ids():
    first = draw_arrivals(a_turn('t1'))
    second = draw_arrivals(a_turn('t2'))
    assert [arrival.scheduled_at for arrival in first] == [
        arrival.scheduled_at for arrival in second
    ]
    ids = {arrival.request.request_id for arrival in first + second}
    assert len(ids) == len(first) + len(second)


def test_surge_exceeds_the_rate_of_its_customer():
    turn = a_turn(fault='surge', seconds=10)
    limit = max(
        customer_limits(turn.plan, 200).values(), key=lambda one: one.rate
    )
    surged = [
        arrival
        for arrival in draw_arrivals(turn)
        if 'surge' in arrival.request.request_id
    ]
    assert len(surged) > 3 * limit.rate * 4


def test_poison_repeats_a_single_request():
    turn = a_turn(fault=POISON)
    targets = [
        arrival.request.target
        for arrival in draw_arrivals(turn)
        if POISON in arrival.request.target
    ]
    assert len(targets) > 3
    assert len(set(targets)) == 1


def test_simultaneous_faults_each_add_requests():
    targets = {
        arrival.request.request_id.rpartition('-')[0]
        for arrival in draw_arrivals(a_turn(fault='surge+poison'))
    }
    assert any(POISON in target for target in targets)
    assert any('surge' in target for target in targets)
