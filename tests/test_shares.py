"""Tests of the token buckets, the check and the charge."""

from chervilstep import refusals
from chervilstep.commands.shares import charge_rate
from chervilstep.queries.shares import check_rate
from chervilstep.shares import Bucket, Grant
from chervilstep.types import Deadline
from lab.virtual_fleet import a_fleet, overshoot
from tests.builders import a_node, a_snapshot, a_ticket


def a_bucket(**ends):
    bucket = Bucket()
    for name, at in ends.items():
        bucket.put(name, Grant(1, 10, Deadline(at)), 0)
    return bucket


def test_bucket_starts_empty_and_fills_to_its_depth():
    bucket = a_bucket(one=100)
    assert bucket.level(0) == 0
    assert bucket.level(4) == 4
    assert bucket.level(50) == 10


def test_bucket_loses_the_depth_of_an_ended_grant():
    bucket = a_bucket(one=30, two=100)
    assert bucket.level(29) == 20
    assert bucket.level(30) == 10
    assert bucket.level(200) == 0


def test_bucket_never_credits_above_its_depth():
    bucket = a_bucket(one=100)
    bucket.credit(50, 0)
    assert bucket.level(0) == 10


def test_only_instance_holds_the_whole_limits():
    fleet = a_fleet(1, a_snapshot())
    fleet.run(1)
    assert sum(fleet.call('e1', 'fletcher') for _ in range(50)) == 20


def test_unlisted_instance_admits_nothing():
    fleet = a_fleet(0, a_snapshot())
    fleet.start('e1')
    fleet.run(20)
    assert not fleet.call('e1', 'fletcher')


def test_fleet_admits_the_burst_wherever_it_arrives():
    fleet = a_fleet(5, a_snapshot())
    fleet.run(15)
    admitted = 0
    for index in range(60):
        admitted += fleet.call(f'e{index % 5 + 1}', 'fletcher')
        fleet.run(0.002)
    assert 15 <= admitted <= 20 + 100 * 0.12
    assert overshoot(fleet.spent['fletcher'], 100, 20) == 0


def test_check_refuses_without_a_token_and_charge_takes_one():
    node = a_node()
    grant = Grant(0, 1, Deadline(100))
    node.shares.bucket('fletcher').put('entry-2', grant, 0)
    assert check_rate(node, a_ticket(), 0) is refusals.RATE_EXCEEDED
    node.shares.bucket('fletcher').credit(1, 0)
    assert check_rate(node, a_ticket(), 0) is None
    charge_rate(node, a_ticket(), 0)
    assert check_rate(node, a_ticket(), 0) is refusals.RATE_EXCEEDED
