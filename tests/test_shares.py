"""Tests of the token buckets, the check and the charge."""

from chervilstep import refusals
from chervilstep.commands.shares import charge_rate, renew_shares
from chervilstep.queries.shares import check_rate
from chervilstep.shares import Bucket, Grant
from chervilstep.types import Deadline
from tests.builders import a_listing, a_node, a_ticket


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


def test_listed_instance_mints_an_equal_share():
    node = a_node()
    node.members.replace(1, a_listing(4))
    renew_shares(node, 0)
    assert check_rate(node, a_ticket(), 0) is refusals.RATE_EXCEEDED
    assert check_rate(node, a_ticket(), 1) is None
    for _ in range(5):
        charge_rate(node, a_ticket(), 1)
    assert check_rate(node, a_ticket(), 1) is refusals.RATE_EXCEEDED


def test_unlisted_instance_admits_nothing():
    node = a_node()
    renew_shares(node, 0)
    assert check_rate(node, a_ticket(), 9) is refusals.RATE_EXCEEDED
