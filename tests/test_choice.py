"""Tests of the choice of upstream."""

import pytest

from chervilstep.board import Report
from chervilstep.calls import Ending
from chervilstep.commands.board import end_load, start_load
from chervilstep.hooks import POLICIES
from chervilstep.queries.choice import choose, has_any
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

NOTHING: frozenset[str] = frozenset()


def name_chosen(node, service, tried=NOTHING, now=0):
    upstream = choose(node, service, tried, now)
    return upstream and upstream.name


def names_chosen(node, service, tried=NOTHING, count=200):
    return {name_chosen(node, service, tried) for _ in range(count)}


@pytest.mark.parametrize('policy', POLICIES.names)
def test_unusable_upstreams_are_never_chosen(policy):
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
    assert names_chosen(node, service, frozenset(('tried',))) == {'good'}
    assert has_any(node, service, frozenset(('tried',)), 0)
    assert not has_any(node, service, frozenset(('tried', 'good')), 0)
    assert choose(node, service, frozenset(('tried', 'good')), 0) is None


def test_round_robin_takes_turns():
    service = a_service(policy='round-robin')
    node = a_node(a_snapshot(services=[service]))
    seen = []
    for _ in range(6):
        name = name_chosen(node, service)
        start_load(node, an_attempt(upstream=an_upstream(name)))
        seen.append(name)
    assert seen == ['strike-1', 'strike-2', 'strike-3'] * 2


def test_least_in_flight_counts_only_what_is_unanswered():
    service = a_service(policy='least-in-flight')
    node = a_node(a_snapshot(services=[service]))
    attempts = [an_attempt(upstream=each) for each in service.upstreams]
    for attempt in attempts:
        start_load(node, attempt)
    end_load(node, attempts[1], an_outcome(ended_at=0.01))
    assert names_chosen(node, service) == {'strike-2'}


def test_two_choices_believe_a_report_until_its_deadline():
    service = a_service(upstreams=[an_upstream('a'), an_upstream('b')])
    service = a_service(upstreams=service.upstreams, policy='two-choices')
    node = a_node(a_snapshot(services=[service]))
    node.board.load('a').hear(Report(3, new_deadline(0, 1)))
    start_load(node, an_attempt(upstream=an_upstream('b')))
    assert name_chosen(node, service, now=0.5) == 'b'
    assert name_chosen(node, service, now=1) == 'a'


@pytest.mark.parametrize(
    ('ending', 'failures', 'sheds'),
    [
        (Ending.SHED, 0, 1),
        (Ending.CONNECT_FAILED, 1, 0),
        (Ending.TIMED_OUT, 1, 0),
        (Ending.CANCELLED, 0, 0),
    ],
)
def test_endings_count_against_the_upstream(ending, failures, sheds):
    node = a_node()
    attempt = an_attempt()
    start_load(node, attempt)
    end_load(node, attempt, an_outcome(ending))
    load = node.board.load('strike-1')
    assert (load.failures, load.sheds, load.in_flight) == (failures, sheds, 0)


def test_an_answer_moves_the_latency_and_ends_failures():
    node = a_node()
    for seconds in (0.01, 0.02):
        for outcome in an_outcome(Ending.LOST), an_outcome(ended_at=seconds):
            attempt = an_attempt()
            start_load(node, attempt)
            end_load(node, attempt, outcome)
    load = node.board.load('strike-1')
    assert load.latency == pytest.approx(0.012)
    assert load.failures == 0
