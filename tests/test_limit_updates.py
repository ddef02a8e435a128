"""Tests of the messages by which instances exchange stated limits."""

import pytest

from chervilstep.commands.limit_updates import LimitUpdate, handle_limit_update
from chervilstep.exceptions import PeerError
from chervilstep.reports import NO_LIMIT, new_stated_limit
from tests.builders import a_node
from tests.throttle_builders import (
    UPSTREAM,
    a_limited_fleet,
    known_limit,
    receive_limit,
    state_limit,
)


def test_restarted_instance_learns_of_limits_from_its_peers():
    fleet = a_limited_fleet(14, 5)
    fleet.kill(fleet.names[-1])
    fleet.start(fleet.names[-1])
    fleet.run(1)
    assert known_limit(fleet.nodes[fleet.names[-1]]) == 5


def test_limit_and_its_end_reach_every_instance():
    fleet = a_limited_fleet(14, 5)
    assert {known_limit(node) for node in fleet.nodes.values()} == {5}
    receive_limit(fleet, fleet.names[3], NO_LIMIT)
    fleet.run(0.5)
    assert {known_limit(node) for node in fleet.nodes.values()} == {None}


def test_limit_and_its_end_reach_instances_without_a_direct_stream():
    fleet = a_limited_fleet(150, 5)
    assert {known_limit(node) for node in fleet.nodes.values()} == {5}
    receive_limit(fleet, fleet.names[3], NO_LIMIT)
    fleet.run(0.5)
    assert {known_limit(node) for node in fleet.nodes.values()} == {None}


def test_older_report_of_a_peer_does_not_bring_a_limit_back():
    fleet = a_limited_fleet(3, 5)
    fleet.isolate(fleet.names[2])
    fleet.run(1)
    receive_limit(fleet, fleet.names[0], NO_LIMIT)
    fleet.run(10)
    fleet.heal()
    fleet.run(5)
    assert {known_limit(node) for node in fleet.nodes.values()} == {None}


def test_peer_that_ended_a_limit_too_early_is_corrected():
    """Its answer without the limit overlaps a later one with it."""
    fleet = a_limited_fleet(3, 5)
    first, second = fleet.nodes[fleet.names[0]], fleet.nodes[fleet.names[1]]
    fleet.run(5)
    state_limit(second, new_stated_limit(5), fleet.now - 0.1, fleet.now)
    state_limit(first, NO_LIMIT, fleet.now - 1, fleet.now + 0.1)
    assert known_limit(first) is None
    fleet.run(0.5)
    assert known_limit(first) == known_limit(second) == 5


@pytest.mark.parametrize(
    'entry',
    [None, (), (5, 1), (-1, 1, 1), (float('nan'), 1, 1), (float('inf'), 1, 1)]
    + [('5', 1, 1), (True, 1, 1), (5, -1, 1), (5, 1, 1.5), (5, 10**400, 1)]
    + [(10**400, 1, 1), (5, None, 1)],
)
def test_malformed_limit_of_a_peer_raises_peer_error(entry):
    node = a_node()
    entries = {'strike-2': (5, 1, 1), UPSTREAM.name: entry}
    with pytest.raises(PeerError):
        handle_limit_update(node, 'entry-2', LimitUpdate(entries), 0)
    assert not node.throttles.by_upstream
