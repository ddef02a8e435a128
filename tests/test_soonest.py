"""Tests of the soonest policy, of health and of cold upstreams."""

from collections import Counter

import pytest

from chervilstep.allowances import PROBES_PER_SECOND
from chervilstep.calls import Ending, Outcome
from chervilstep.commands.health import (
    MAX_CLOSE_SECONDS,
    LoadUpdate,
    handle_load_update,
    record_attempt_health,
    record_failed_check,
    record_health_check,
    send_load_update,
    spend_cold_token,
    spend_probe_tokens,
)
from chervilstep.exceptions import PeerError
from chervilstep.members import Instance, MemberRecord, MemberState
from chervilstep.progress import new_progress
from chervilstep.queries.coldstart import is_within_cold_limit
from chervilstep.queries.health import upstreams_to_check
from chervilstep.queries.placement_probes import upstreams_to_probe
from chervilstep.queries.soonest import SOONEST, pick_soonest
from chervilstep.reports import LoadReport
from chervilstep.services import ColdStart, Service
from chervilstep.types import Deadline, Verdict
from tests.builders import (
    a_node,
    a_snapshot,
    a_ticket,
    an_attempt,
    an_upstream,
)
from tests.member_builders import a_member_entry, deliver_entries
from tests.virtual_builders import VirtualFleet, most_in_window

COLD = ColdStart(3, 12)
#: The calls that each instance places per second.
CALLS_PER_SECOND = 40


def a_service(count=3, zones=('akl',), cold_start=COLD):
    upstreams = [
        an_upstream(f'strike-{index}', zones[index % len(zones)], 9000 + index)
        for index in range(count)
    ]
    return Service('strike', upstreams, SOONEST, cold_start, '/health')


def a_node_with_service(service=None):
    return a_node(a_snapshot(services=[service or a_service()]))


def the_service(node):
    return node.snapshot.services['strike']


def record_load(node, name, running=0, slowdown=1, now=0.0, waiting=0):
    loads = LoadReport(running, waiting, 3, slowdown, now)
    record_health_check(node, the_service(node), name, loads, None, now)


def pick_counts(node, now=0.0, times=60):
    service = the_service(node)
    picked = [
        pick_soonest(node, service, service.upstreams, now)
        for _ in range(times)
    ]
    return Counter(each.name if each else None for each in picked)


def end_attempt(node, upstream, ending=Ending.ANSWERED, now=0.0):
    verdict = Verdict.RAN if ending is Ending.ANSWERED else Verdict.NOT_RUN
    attempt = an_attempt(a_ticket(), upstream)
    record_attempt_health(node, attempt, Outcome(ending, verdict, now))


def test_slow_upstream_is_avoided():
    node = a_node_with_service()
    record_load(node, 'strike-0', slowdown=5)
    record_load(node, 'strike-1')
    record_load(node, 'strike-2', slowdown=5)
    assert set(pick_counts(node)) == {'strike-1'}


def test_old_report_has_little_weight():
    node = a_node_with_service()
    for name in ('strike-0', 'strike-1', 'strike-2'):
        record_load(node, name, slowdown=5 if name == 'strike-0' else 1)
    assert len(pick_counts(node, now=2)) == 3


def test_busy_upstream_is_avoided():
    node = a_node_with_service()
    record_load(node, 'strike-0', running=3, waiting=2)
    record_load(node, 'strike-1', running=0)
    record_load(node, 'strike-2', running=3)
    assert set(pick_counts(node)) == {'strike-1'}


def test_call_waits_when_all_upstreams_are_full():
    node = a_node_with_service()
    for name in ('strike-0', 'strike-1', 'strike-2'):
        record_load(node, name, running=3, waiting=4)
    assert set(pick_counts(node)) == {None}


def test_own_zone_is_preferred_unless_slow():
    node = a_node_with_service(a_service(2, ('akl', 'ham')))
    record_load(node, 'strike-0')
    record_load(node, 'strike-1')
    assert set(pick_counts(node)) == {'strike-0'}
    record_load(node, 'strike-0', slowdown=5, now=0.01)
    assert set(pick_counts(node, 0.01)) == {'strike-1'}


def test_equal_upstreams_are_picked_at_random():
    node = a_node_with_service()
    assert len(pick_counts(node)) == 3


@pytest.mark.parametrize(
    ('ending', 'times'),
    [
        (Ending.CONNECT_FAILED, 1),
        (Ending.LOST, 2),
        (Ending.MOVED, 1),
        (Ending.TIMED_OUT, 2),
    ],
)
def test_failing_upstreams_are_avoided(ending, times):
    node = a_node_with_service()
    failing = the_service(node).upstreams[0]
    for _ in range(times):
        end_attempt(node, failing, ending)
    assert failing.name not in pick_counts(node, 0.01)


def test_failing_upstream_is_used_if_no_other_exists():
    node = a_node_with_service(a_service(1, cold_start=None))
    failing = the_service(node).upstreams[0]
    end_attempt(node, failing, Ending.CONNECT_FAILED)
    assert set(pick_counts(node, 1)) == {failing.name}
    node.loads.upstream_load(failing.name).start_attempt(an_attempt(), 0)
    # Requests are sent even if no upstream is healthy.
    assert set(pick_counts(node, 1)) == {failing.name}


def test_answer_resets_failures():
    node = a_node_with_service()
    failing = the_service(node).upstreams[0]
    end_attempt(node, failing, Ending.CONNECT_FAILED)
    end_attempt(node, failing)
    assert not node.health.by_upstream[failing.name].failures


def test_unreachable_upstream_becomes_cold():
    node = a_node_with_service()
    record_failed_check(node, the_service(node), 'strike-0', 0)
    assert node.health.by_upstream['strike-0'].is_cold(3)


def test_reports_are_sent_within_the_zone():
    node = a_node_with_service()
    for name, zone in (('entry-2', 'akl'), ('entry-3', 'ham')):
        deliver_entries(node, a_member_entry(name), now=0)
        node.members.set_record(a_record(name, zone))
        node.members.get_or_create_peer(name).record_connect()
    record_load(node, 'strike-0', running=2, slowdown=5)
    send_load_update(node, 0.1)
    envelopes = [
        envelope
        for envelope in node.outbox.envelopes
        if envelope.message.kind == LoadUpdate.kind
    ]
    (envelope,) = envelopes
    assert envelope.recipient == 'entry-2'
    other = a_node_with_service()
    handle_load_update(other, 'entry-1', envelope.message, 7)
    received = other.health.by_upstream['strike-0'].report
    assert (received.running, received.slowdown) == (2, 5)
    assert received.measured_at == pytest.approx(6.9)


def a_record(name, zone):
    instance = Instance(name, zone, '', name)
    return MemberRecord(instance, 1, MemberState.ALIVE, Deadline(float('inf')))


def test_older_report_is_ignored():
    node = a_node_with_service()
    record_load(node, 'strike-0', running=2, now=5)
    record_load(node, 'strike-0', running=0, now=4)
    assert node.health.by_upstream['strike-0'].report.running == 2


def test_unreachable_upstream_is_checked_on_after_thousands_of_failures():
    node = a_node_with_service()
    for _ in range(5000):
        record_failed_check(node, the_service(node), 'strike-0', 0)
    closed_until = node.health.by_upstream['strike-0'].closed_until
    assert closed_until.at == MAX_CLOSE_SECONDS


@pytest.mark.parametrize(
    'entry',
    [(), (1, 1, 1, 1), (1, 1, 'x', 1.0, 1), (1, 1, 1, None, 1)]
    + [(-1, 1, 1, 1.0, 1), (1, 1, 1, 1.0, -1), (10**12, 1, 1, 1.0, 1)]
    + [(1, 1, 1, float('nan'), 1), (1, 1, 1, float('inf'), 1)],
)
def test_malformed_report_raises_peer_error(entry):
    with pytest.raises(PeerError):
        handle_load_update(
            a_node_with_service(), 'e', LoadUpdate({'strike-0': entry}), 0
        )


def test_one_instance_of_the_zone_checks_upstream():
    snapshot = a_snapshot(services=[a_service(8, ('akl', 'ham'))])
    fleet = VirtualFleet(14, snapshot)
    fleet.run(3)
    checkers = Counter(
        name
        for node in fleet.nodes.values()
        for name in upstreams_to_check(node)
    )
    assert set(checkers.values()) == {1}
    assert len(checkers) == 8


def probed_names(node, now=0.0):
    progress = new_progress(a_ticket())
    return {each.name for each in upstreams_to_probe(node, progress, now)}


def test_stale_upstreams_are_probed_before_a_call():
    node = a_node_with_service()
    assert len(probed_names(node)) == 3
    record_load(node, 'strike-0')
    assert not probed_names(node, 0.01)
    assert len(probed_names(node, 0.2)) == 3


@pytest.mark.parametrize('size', [1, 4, 14, 60])
def test_probes_stay_within_agreed_rate(size):
    """The rate holds for any number of instances and under constant calls."""
    snapshot = a_snapshot(services=[a_service(3, ('akl', 'ham', 'tga'))])
    fleet = VirtualFleet(size, snapshot)
    fleet.run(3)
    start = fleet.now
    probed: Counter[str] = Counter()
    for step in range(20 * CALLS_PER_SECOND):
        now = start + step / CALLS_PER_SECOND
        for node in fleet.nodes.values():
            due = upstreams_to_probe(node, new_progress(a_ticket()), now)
            spend_probe_tokens(node, due, now)
            probed.update(each.name for each in due)
    assert probed
    for count in probed.values():
        assert PROBES_PER_SECOND / 3 <= count / 20 <= PROBES_PER_SECOND


def test_other_upstreams_are_probed_when_first_are_slow():
    node = a_node_with_service(a_service(4, ('akl', 'akl', 'ham', 'ham')))
    for name in ('strike-0', 'strike-1'):
        record_load(node, name, slowdown=5)
    assert probed_names(node, 0.01) == {'strike-2', 'strike-3'}


@pytest.mark.parametrize('size', [1, 3, 14, 19, 60])
@pytest.mark.parametrize('partitioned', [False, True])
def test_requests_to_a_cold_upstream_are_limited(size, partitioned):
    """All instances send whenever allowed; some may be partitioned off."""
    snapshot = a_snapshot(services=[a_service(1)])
    fleet = VirtualFleet(size, snapshot)
    fleet.run(3)
    if partitioned:
        for name in fleet.names[: size // 3]:
            fleet.isolate(name)
        fleet.run(5)
    (upstream,) = a_service(1).upstreams
    sent = []
    start = fleet.now
    for node in fleet.nodes.values():
        record_health_check(
            node, the_service(node), upstream.name, None, 3, start
        )
    while fleet.now < start + 2.9:
        for node in fleet.nodes.values():
            service = the_service(node)
            if is_within_cold_limit(node, service, upstream, fleet.now):
                attempt = an_attempt(a_ticket(), upstream, now=fleet.now)
                spend_cold_token(node, attempt)
                sent.append(fleet.now)
        fleet.run(0.01)
    bound = COLD.calls_per_second * 1.5 + 5
    assert most_in_window(sent, 1) <= bound
    assert len(sent) >= 3 or size == 1
