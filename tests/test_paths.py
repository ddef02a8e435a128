"""Tests of silent connections and whose fault they are."""

import pytest

from chervilstep.calls import Attempt, Ending
from chervilstep.commands.paths import forget_paths, judge_path
from chervilstep.paths import Condition
from chervilstep.queries.trust import is_trusted
from chervilstep.types import new_deadline
from tests.builders import a_node, a_service, a_snapshot, a_ticket, an_upstream
from tests.dispatch_builders import an_outcome_of

NAME = 'strike-1'


def end(node, ending, started_at, ended_at):
    attempt = Attempt(
        a_ticket(), an_upstream(), 1, started_at, new_deadline(started_at, 1)
    )
    judge_path(node, attempt, an_outcome_of(ending, ended_at))


def condition(node):
    return node.paths.by_upstream[NAME].condition


def test_silence_distrusts_every_older_connection():
    node = a_node()
    assert is_trusted(node, NAME, opened_at=0)
    end(node, Ending.TIMED_OUT, 10, 11)
    assert not is_trusted(node, NAME, opened_at=10.9)
    assert is_trusted(node, NAME, opened_at=11)
    assert is_trusted(node, 'strike-2', opened_at=0)


def test_fresh_connection_clears_the_server():
    node = a_node()
    end(node, Ending.TIMED_OUT, 10, 11)
    end(node, Ending.ANSWERED, 11, 11.1)
    assert condition(node) is Condition.GOOD
    assert not is_trusted(node, NAME, opened_at=10)
    # The path can fail again later.
    end(node, Ending.TIMED_OUT, 20, 21)
    assert not is_trusted(node, NAME, opened_at=20)


def test_fresh_connection_shows_a_silent_server():
    node = a_node()
    end(node, Ending.TIMED_OUT, 10, 11)
    end(node, Ending.TIMED_OUT, 11, 12)
    assert condition(node) is Condition.SERVER_SILENT
    # No more connections are thrown away while the server is at fault.
    end(node, Ending.TIMED_OUT, 13, 14)
    assert is_trusted(node, NAME, opened_at=11)
    end(node, Ending.ANSWERED, 14, 14.1)
    assert condition(node) is Condition.GOOD


def test_attempts_from_before_the_suspicion_decide_nothing():
    node = a_node()
    end(node, Ending.TIMED_OUT, 10, 11)
    end(node, Ending.TIMED_OUT, 10.5, 11.5)
    end(node, Ending.ANSWERED, 10.6, 11.6)
    assert condition(node) is Condition.UNDECIDED
    assert is_trusted(node, NAME, opened_at=11)


def test_old_attempts_do_not_renew_a_settled_suspicion():
    node = a_node()
    end(node, Ending.TIMED_OUT, 10, 11)
    end(node, Ending.ANSWERED, 11, 11.1)
    end(node, Ending.TIMED_OUT, 10.5, 11.5)
    assert is_trusted(node, NAME, opened_at=11)


@pytest.mark.parametrize('ending', [Ending.LOST, Ending.SHED, Ending.ANSWERED])
def test_only_silence_makes_connections_suspect(ending):
    node = a_node()
    end(node, ending, 10, 11)
    assert is_trusted(node, NAME, opened_at=0)


def test_short_deadlines_are_not_silence():
    node = a_node()
    end(node, Ending.TIMED_OUT, 10, 10.05)
    assert is_trusted(node, NAME, opened_at=0)
    # A slow upstream needs longer to look silent.
    node.loads.upstream_load(NAME).record_answer(9, 0.5)
    end(node, Ending.TIMED_OUT, 10, 12)
    assert is_trusted(node, NAME, opened_at=0)
    end(node, Ending.TIMED_OUT, 10, 12.5)
    assert not is_trusted(node, NAME, opened_at=0)


def test_upstreams_that_are_gone_are_forgotten():
    node = a_node()
    end(node, Ending.TIMED_OUT, 10, 11)
    forget_paths(node, 12)
    assert len(node.paths) == 1
    node.configuration.publish(a_snapshot(services=[a_service('results')]))
    forget_paths(node, 12)
    assert not len(node.paths)
