"""Tests of the trust in connections that may be unresponsive."""

import pytest

from chervilstep.calls import Attempt, Ending
from chervilstep.commands.connections import discard_stale_trust, update_trust
from chervilstep.connections import TrustState
from chervilstep.queries.connections import is_trusted
from chervilstep.types import new_deadline
from tests.builders import a_node, a_service, a_snapshot, a_ticket, an_upstream
from tests.dispatch_builders import an_outcome_of

NAME = 'strike-1'


def end_attempt(node, ending, started_at, ended_at):
    attempt = Attempt(
        a_ticket(), an_upstream(), 1, started_at, new_deadline(started_at, 1)
    )
    update_trust(node, attempt, an_outcome_of(ending, ended_at))


def trust_state(node):
    return node.connection_trust.by_upstream[NAME].state


def test_timeout_distrusts_all_older_connections():
    node = a_node()
    assert is_trusted(node, NAME, opened_at=0)
    end_attempt(node, Ending.TIMED_OUT, 10, 11)
    assert not is_trusted(node, NAME, opened_at=10.9)
    assert is_trusted(node, NAME, opened_at=11)
    assert is_trusted(node, 'strike-2', opened_at=0)


def test_answer_on_a_new_connection_sets_good_state():
    node = a_node()
    end_attempt(node, Ending.TIMED_OUT, 10, 11)
    end_attempt(node, Ending.ANSWERED, 11, 11.1)
    assert trust_state(node) is TrustState.GOOD
    assert not is_trusted(node, NAME, opened_at=10)
    # Connections can become unresponsive again later.
    end_attempt(node, Ending.TIMED_OUT, 20, 21)
    assert not is_trusted(node, NAME, opened_at=20)


def test_timeout_on_a_new_connection_is_a_server_fault():
    node = a_node()
    end_attempt(node, Ending.TIMED_OUT, 10, 11)
    end_attempt(node, Ending.TIMED_OUT, 11, 12)
    assert trust_state(node) is TrustState.SERVER_SILENT
    # Connections stay trusted while the server is at fault.
    end_attempt(node, Ending.TIMED_OUT, 13, 14)
    assert is_trusted(node, NAME, opened_at=11)
    end_attempt(node, Ending.ANSWERED, 14, 14.1)
    assert trust_state(node) is TrustState.GOOD


def test_attempts_on_distrusted_connections_decide_nothing():
    node = a_node()
    end_attempt(node, Ending.TIMED_OUT, 10, 11)
    end_attempt(node, Ending.TIMED_OUT, 10.5, 11.5)
    end_attempt(node, Ending.ANSWERED, 10.6, 11.6)
    assert trust_state(node) is TrustState.UNDECIDED
    assert is_trusted(node, NAME, opened_at=11)


def test_old_attempts_do_not_renew_the_distrust():
    node = a_node()
    end_attempt(node, Ending.TIMED_OUT, 10, 11)
    end_attempt(node, Ending.ANSWERED, 11, 11.1)
    end_attempt(node, Ending.TIMED_OUT, 10.5, 11.5)
    assert is_trusted(node, NAME, opened_at=11)


@pytest.mark.parametrize('ending', [Ending.LOST, Ending.SHED, Ending.ANSWERED])
def test_other_endings_keep_connections_trusted(ending):
    node = a_node()
    end_attempt(node, ending, 10, 11)
    assert is_trusted(node, NAME, opened_at=0)


def test_short_timeout_keeps_connections_trusted():
    node = a_node()
    end_attempt(node, Ending.TIMED_OUT, 10, 10.05)
    assert is_trusted(node, NAME, opened_at=0)
    # The minimum timeout is longer if the upstream is slow.
    node.loads.upstream_load(NAME).record_answer(9, 0.5)
    end_attempt(node, Ending.TIMED_OUT, 10, 12)
    assert is_trusted(node, NAME, opened_at=0)
    end_attempt(node, Ending.TIMED_OUT, 10, 12.5)
    assert not is_trusted(node, NAME, opened_at=0)


def test_unconfigured_upstreams_are_removed():
    node = a_node()
    end_attempt(node, Ending.TIMED_OUT, 10, 11)
    discard_stale_trust(node, 12)
    assert len(node.connection_trust) == 1
    node.configuration.publish(a_snapshot(services=[a_service('results')]))
    discard_stale_trust(node, 12)
    assert not len(node.connection_trust)
