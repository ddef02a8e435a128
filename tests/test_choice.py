"""Tests of the policies that select an upstream and of its load record."""

import pytest

from chervilstep.calls import Ending
from chervilstep.commands.loads import record_attempt_end, record_attempt_start
from chervilstep.hooks import POLICIES
from chervilstep.loads import InFlightReport
from chervilstep.queries.choice import choose_upstream, has_usable_upstream
from chervilstep.services import UpstreamState
from chervilstep.snapshot import ZoneState
from chervilstep.types import new_deadline
from tests.builders import (
    a_node,
    a_service,
    a_snapshot,
    an_attempt,
    an_outcome,
    an_upstream,
)

NO_UPSTREAMS: frozenset[str] = frozenset()


def chosen_name(node, service, tried=NO_UPSTREAMS, now=0):
    upstream = choose_upstream(node, service, tried, now)
    return upstream and upstream.name


def chosen_names(node, service, tried=NO_UPSTREAMS, count=200):
    return {chosen_name(node, service, tried) for _ in range(count)}


@pytest.mark.parametrize('policy', POLICIES.names)
def test_policy_picks_only_usable_upstreams(policy):
    service = a_service(
        upstreams=[
            an_upstream('left', state=UpstreamState.LEAVING),
            an_upstream('withdrawn', zone='ham'),
            an_upstream('unknown-zone', zone='wlg'),
            an_upstream('tried'),
            an_upstream('good'),
        ],
        policy=policy,
    )
    zones = {'akl': ZoneState.IN_SERVICE, 'ham': ZoneState.WITHDRAWN}
    node = a_node(a_snapshot(zones=zones, services=[service]))
    assert chosen_names(node, service, frozenset(('tried',))) == {'good'}
    assert has_usable_upstream(node, service, frozenset(('tried',)), 0)
    assert not has_usable_upstream(
        node, service, frozenset(('tried', 'good')), 0
    )
    assert (
        choose_upstream(node, service, frozenset(('tried', 'good')), 0) is None
    )


def test_round_robin_picks_in_turn():
    service = a_service(policy='round-robin')
    node = a_node(a_snapshot(services=[service]))
    seen = []
    for _ in range(6):
        name = chosen_name(node, service)
        record_attempt_start(node, an_attempt(upstream=an_upstream(name)))
        seen.append(name)
    assert seen == ['strike-1', 'strike-2', 'strike-3'] * 2


def test_least_in_flight_ignores_ended_attempts():
    service = a_service(policy='least-in-flight')
    node = a_node(a_snapshot(services=[service]))
    attempts = [an_attempt(upstream=each) for each in service.upstreams]
    for attempt in attempts:
        record_attempt_start(node, attempt)
    record_attempt_end(node, attempts[1], an_outcome(ended_at=0.01))
    assert chosen_names(node, service) == {'strike-2'}


def test_two_choices_ignores_expired_report():
    service = a_service(upstreams=[an_upstream('a'), an_upstream('b')])
    service = a_service(upstreams=service.upstreams, policy='two-choices')
    node = a_node(a_snapshot(services=[service]))
    node.loads.upstream_load('a').record_report(
        InFlightReport(3, new_deadline(0, 1))
    )
    record_attempt_start(node, an_attempt(upstream=an_upstream('b')))
    assert chosen_name(node, service, now=0.5) == 'b'
    assert chosen_name(node, service, now=1) == 'a'


@pytest.mark.parametrize(
    ('ending', 'failures', 'sheds'),
    [
        (Ending.SHED, 0, 1),
        (Ending.CONNECT_FAILED, 1, 0),
        (Ending.TIMED_OUT, 1, 0),
        (Ending.CANCELLED, 0, 0),
    ],
)
def test_ending_is_counted_as_failure_or_shed(ending, failures, sheds):
    node = a_node()
    attempt = an_attempt()
    record_attempt_start(node, attempt)
    record_attempt_end(node, attempt, an_outcome(ending))
    load = node.loads.upstream_load('strike-1')
    assert (load.failures, load.sheds, load.in_flight) == (failures, sheds, 0)


def test_answer_updates_latency_and_resets_failures():
    node = a_node()
    for seconds in (0.01, 0.02):
        for outcome in an_outcome(Ending.LOST), an_outcome(ended_at=seconds):
            attempt = an_attempt()
            record_attempt_start(node, attempt)
            record_attempt_end(node, attempt, outcome)
    load = node.loads.upstream_load('strike-1')
    assert load.latency == pytest.approx(0.012)
    assert load.failures == 0
