"""Tests of running fleets whose store is away, or returns from a copy."""

import asyncio
import os

import pytest

from tests.store_fault_builders import (
    INSTANCES,
    LEAVING,
    NEW,
    NEW_PATH,
    OLD_PATH,
    READS_PER_SECOND,
    play_random_outages,
    play_random_restores,
    play_restore,
)

#: Whether the store has passed the revisions that it has lost when it returns.
RETURNS = {'behind': False, 'ahead': True}
#: More seeds are played by hand: STORE_FAULT_SEEDS=1,2,3.
RESTORE_SEEDS = os.environ.get('STORE_FAULT_SEEDS', '2,5').split(',')
OUTAGE_SEEDS = os.environ.get('STORE_FAULT_SEEDS', '2').split(',')


@pytest.fixture(scope='module', params=RETURNS)
def outcome(request, tmp_path_factory):
    folder = tmp_path_factory.mktemp('restore')
    return asyncio.run(play_restore(folder, RETURNS[request.param]))


def test_route_that_moved_after_a_restore_is_not_served_as_before(outcome):
    assert set(outcome.statuses[OLD_PATH]) == {200}
    assert outcome.late_requests[NEW] == INSTANCES * 4


def test_route_that_was_added_after_a_restore_is_served(outcome):
    assert set(outcome.statuses[NEW_PATH]) == {200}


def test_upstream_that_left_after_a_restore_gets_no_requests(outcome):
    assert outcome.late_requests[LEAVING] == 0


def test_restored_store_is_not_flooded_with_reads(outcome):
    assert outcome.reads <= INSTANCES * READS_PER_SECOND


@pytest.mark.parametrize('seed', RESTORE_SEEDS)
def test_random_restores_revert_nothing(tmp_path, seed):
    observation, outcome = asyncio.run(play_random_restores(tmp_path, seed))
    assert observation.statuses == {200}
    assert observation.late_requests == 0
    assert set(outcome.statuses[NEW_PATH]) == {200}
    assert outcome.late_requests[NEW] == INSTANCES * 4


@pytest.mark.parametrize('seed', OUTAGE_SEEDS)
def test_random_outages_leave_no_change_behind(tmp_path, seed):
    statuses, observation = asyncio.run(play_random_outages(tmp_path, seed))
    assert set(statuses) == {200}
    # Only an instance that has just started knows no configuration.
    assert observation.statuses <= {200, 503, None}
    assert observation.late_requests == 0
