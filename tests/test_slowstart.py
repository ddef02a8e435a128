"""Tests of slow start, ejection and the updates that instances exchange."""

import pytest

from chervilstep.calls import Ending
from chervilstep.commands.review import (
    assume_warm,
    query_new_services,
    query_slow_start,
    review_upstreams,
)
from chervilstep.commands.slowstart import eject_overdue
from chervilstep.commands.slowstart_updates import flush_updates, handle_update
from chervilstep.exceptions import PeerError
from chervilstep.queries.assignment import (
    MAX_DEALT_SLOTS,
    assigned_slots,
    max_in_flight,
    slot_assignment,
)
from chervilstep.queries.choice import choose_upstream, has_usable_upstream
from chervilstep.queries.slowstart import may_send, total_open_slots
from chervilstep.slowstart import WARM_SLOTS, SlowStart
from chervilstep.slowstart_messages import SlowStartQuery, SlowStartUpdate
from chervilstep.snapshot import ZoneState
from chervilstep.types import Deadline
from tests.builders import (
    a_node,
    a_service,
    a_snapshot,
    a_ticket,
    an_upstream,
)
from tests.load_builders import (
    ENTRY_NAMES,
    FOREVER,
    a_fleet,
    a_node_of_fleet,
    a_shared_service,
    deliver_all,
    end_attempt,
    make_warm,
    review,
    run_attempt,
    start_attempt,
)

NO_UPSTREAMS: frozenset[str] = frozenset()
EXPIRED = Deadline(0)
FOREVER_VALID = Deadline(float('inf'))


def a_warm_fleet(service):
    fleet = a_fleet(service)
    for node in fleet:
        make_warm(node, service)
    return fleet


def nodes_that_may_send(fleet, service, upstream, now):
    return [node for node in fleet if may_send(node, service, upstream, now)]


def open_slots(fleet, upstream, now):
    return [total_open_slots(node, upstream, now) for node in fleet]


def test_slots_are_assigned_evenly():
    service = a_shared_service(5)
    assignment = slot_assignment(service, frozenset(ENTRY_NAMES))
    instances = [instance for each in assignment.values() for instance in each]
    counts = [instances.count(name) for name in ENTRY_NAMES]
    assert sum(counts) == sum(map(max_in_flight, service.upstreams))
    assert max(counts) - min(counts) <= 1


def test_unknown_upstream_is_open_to_one_instance():
    service = a_shared_service()
    fleet = a_fleet(service)
    for upstream in service.upstreams:
        assert len(nodes_that_may_send(fleet, service, upstream, 0)) == 1


def test_cold_upstream_gets_one_request_per_instance():
    service = a_shared_service()
    for node in a_fleet(service):
        sent = []
        upstream = choose_upstream(node, service, NO_UPSTREAMS, 0)
        while upstream is not None:
            start_attempt(node, upstream)
            sent.append(upstream.name)
            upstream = choose_upstream(node, service, NO_UPSTREAMS, 0)
        assert len(sent) == len(set(sent))
        assert has_usable_upstream(node, service, NO_UPSTREAMS, 0)


def test_good_answers_open_slots_until_upstream_is_warm():
    service = a_shared_service()
    fleet = a_fleet(service)
    upstream = service.upstreams[0]
    (leader,) = nodes_that_may_send(fleet, service, upstream, 0)
    steps = []
    for step in range(40):
        run_attempt(leader, upstream, 0.05 * (step + 1))
        deliver_all(fleet, 0.05 * (step + 1))
        if total_open_slots(leader, upstream, 2) not in steps:
            steps.append(total_open_slots(leader, upstream, 2))
    assert steps == [1, 2, 3, 4, WARM_SLOTS]
    assert open_slots(fleet, upstream, 2) == [WARM_SLOTS] * len(fleet)


def test_slow_answers_open_no_slots():
    service = a_shared_service()
    node = a_node_of_fleet(service, names=('entry-1',))
    make_warm(node, service)
    upstream = service.upstreams[0]
    node.slow_start.put(upstream.name, SlowStart(1, 1, valid_until=FOREVER))
    for step in range(1, 30):
        run_attempt(node, upstream, step, seconds=0.05)
    assert total_open_slots(node, upstream, 30) == 1


def test_slow_answer_closes_a_cold_upstream_for_a_time():
    service = a_shared_service()
    node = a_node_of_fleet(service, names=('entry-1',))
    make_warm(node, service)
    upstream = service.upstreams[0]
    node.slow_start.put(upstream.name, SlowStart(1, 1, valid_until=FOREVER))
    run_attempt(node, upstream, 1, seconds=0.1)
    assert not may_send(node, service, upstream, 1.4)
    assert may_send(node, service, upstream, 1.6)


@pytest.mark.parametrize(
    ('ending', 'seconds'),
    [
        (Ending.ANSWERED, 0.1),
        (Ending.CONNECT_FAILED, 0.001),
        (Ending.LOST, 0.01),
        (Ending.SHED, 0.01),
    ],
)
def test_outlier_is_closed_to_every_instance(ending, seconds):
    service = a_shared_service()
    fleet = a_warm_fleet(service)
    upstream = service.upstreams[0]
    for now in (2.6, 2.8, 3):
        assert open_slots(fleet, upstream, now) == [WARM_SLOTS] * len(fleet)
        run_attempt(fleet[0], upstream, now, seconds, ending)
    deliver_all(fleet, 3)
    assert nodes_that_may_send(fleet, service, upstream, 3.1) == []
    assert len(nodes_that_may_send(fleet, service, upstream, 3.3)) == 1


def test_sheds_far_apart_eject_nothing():
    service = a_shared_service()
    node = a_warm_fleet(service)[0]
    upstream = service.upstreams[0]
    for step in range(1, 9):
        run_attempt(node, upstream, step, ending=Ending.SHED)
    assert total_open_slots(node, upstream, 9) == WARM_SLOTS


def test_overdue_requests_in_flight_eject_an_upstream():
    service = a_shared_service()
    node = a_warm_fleet(service)[0]
    upstream = service.upstreams[0]
    for _ in range(3):
        start_attempt(node, upstream, 1)
    eject_overdue(node, 1.03)
    assert total_open_slots(node, upstream, 1.03) == WARM_SLOTS
    eject_overdue(node, 1.05)
    assert total_open_slots(node, upstream, 1.05) == 1


def test_ejection_time_doubles_up_to_its_limit():
    service = a_shared_service()
    node = a_node_of_fleet(service, names=('entry-1',))
    make_warm(node, service)
    upstream = service.upstreams[0]
    for _ in range(3):
        run_attempt(node, upstream, 1, ending=Ending.CONNECT_FAILED)
    lengths = []
    now = 1.0
    for _ in range(9):
        closed = node.slow_start.by_upstream[upstream.name].closed_until
        lengths.append(closed.at - now)
        now = closed.at + 0.01
        run_attempt(node, upstream, now, 0.001, ending=Ending.CONNECT_FAILED)
    assert lengths == pytest.approx([0.25, 0.5, 1, 2, 4, 8, 16, 30, 30])


def test_ejection_time_stays_at_its_limit_after_many_ejections():
    service = a_shared_service()
    node = a_node_of_fleet(service, names=('entry-1',))
    make_warm(node, service)
    upstream = service.upstreams[0]
    node.slow_start.put(
        upstream.name, SlowStart(1, 1, EXPIRED, FOREVER_VALID, 5000, 0)
    )
    run_attempt(node, upstream, 1, ending=Ending.CONNECT_FAILED)
    closed = node.slow_start.by_upstream[upstream.name].closed_until
    assert closed.at == pytest.approx(31, abs=0.1)


def test_attempts_from_before_an_ejection_are_ignored():
    service = a_shared_service()
    node = a_warm_fleet(service)[0]
    upstream = service.upstreams[0]
    attempts = [start_attempt(node, upstream, 1) for _ in range(8)]
    for attempt in attempts:
        end_attempt(node, attempt, 1.01, Ending.LOST)
    assert node.slow_start.by_upstream[upstream.name].epoch == 1


def test_failing_service_is_only_partly_ejected():
    service = a_shared_service(9)
    fleet = a_warm_fleet(service)
    for step in range(1, 6):
        for upstream in service.upstreams:
            run_attempt(fleet[0], upstream, step, ending=Ending.LOST)
    deliver_all(fleet, 6)
    for node in fleet:
        closed = [
            upstream
            for upstream in service.upstreams
            if total_open_slots(node, upstream, 6) != WARM_SLOTS
        ]
        assert len(closed) == 3


def test_ejections_by_several_instances_share_one_limit():
    service = a_shared_service(8)
    fleet = a_warm_fleet(service)
    for index, node in enumerate(fleet):
        for upstream in service.upstreams[2 * index : 2 * index + 2]:
            for step in range(1, 4):
                run_attempt(node, upstream, step, ending=Ending.LOST)
    deliver_all(fleet, 4)
    for node in fleet:
        warm = [
            total_open_slots(node, each, 4) == WARM_SLOTS
            for each in service.upstreams
        ]
        assert warm.count(False) <= 2


def test_sheds_everywhere_lower_the_limit_and_eject_nothing():
    service = a_shared_service(6)
    node = a_warm_fleet(service)[0]
    # The number of requests in flight is limited instead.
    before = node.loads.service_load(service.name, 8).limit
    for step in range(1, 20):
        for upstream in service.upstreams:
            now = 1 + step * 0.05
            run_attempt(node, upstream, now, 0.001, Ending.SHED)
    counts = [total_open_slots(node, each, 2) for each in service.upstreams]
    assert counts.count(WARM_SLOTS) >= len(counts) - 1
    assert node.loads.service_load(service.name, 8).limit < before


def test_restored_zone_is_cold_at_every_instance():
    service = a_shared_service(4)
    fleet = a_warm_fleet(service)
    review(fleet, 1)
    withdrawn = {'akl': ZoneState.WITHDRAWN}
    restored = {'akl': ZoneState.IN_SERVICE}
    for zones, now in ((withdrawn, 2), (restored, 3)):
        for node in fleet:
            snapshot = a_node_of_fleet(service, zones=zones).snapshot
            node.configuration.publish(snapshot)
        review(fleet, now)
    for upstream in service.upstreams:
        assert open_slots(fleet, upstream, 3) == [1] * len(fleet)
        assert len(nodes_that_may_send(fleet, service, upstream, 3)) == 1


def test_new_instance_gets_its_state_from_a_peer():
    service = a_shared_service()
    fleet = a_warm_fleet(service)
    joiner = a_node_of_fleet(service, 'entry-5', (*ENTRY_NAMES, 'entry-5'))
    query_slow_start(joiner, a_ticket(), 1)
    (envelope,) = joiner.outbox.envelopes
    assert envelope.message == SlowStartQuery('strike')
    assert envelope.recipient in ENTRY_NAMES
    deliver_all([*fleet, joiner], 1)
    for upstream in service.upstreams:
        assert total_open_slots(joiner, upstream, 1) == WARM_SLOTS
    query_slow_start(joiner, a_ticket(), 2)
    assert not joiner.outbox.envelopes


def test_query_is_repeated_only_after_its_timeout():
    node = a_node_of_fleet(a_shared_service())
    for now in (1, 1.1, 1.2, 1.3):
        query_slow_start(node, a_ticket(), now)
    assert len(node.outbox.envelopes) == 2


def test_state_is_valid_until_its_deadline():
    service = a_shared_service()
    node = a_node_of_fleet(service)
    upstream = service.upstreams[0]
    node.slow_start.put(upstream.name, SlowStart())
    node.slow_start.get_or_create(upstream.name).raise_open_slots(
        WARM_SLOTS, FOREVER
    )
    node.slow_start.get_or_create(upstream.name).record_good_answer(0)
    assert total_open_slots(node, upstream, 119) == 1
    node.slow_start.get_or_create(upstream.name).raise_open_slots(
        WARM_SLOTS, FOREVER
    )
    assert total_open_slots(node, upstream, 119) == WARM_SLOTS
    assert total_open_slots(node, upstream, 120) == 1


def test_outdated_update_does_not_warm_a_cold_upstream():
    service = a_shared_service()
    node = a_warm_fleet(service)[0]
    upstream = service.upstreams[0]
    outdated = SlowStartUpdate([(upstream.name, 0, WARM_SLOTS, 0.0, 0)])
    for step in range(1, 4):
        run_attempt(node, upstream, step, ending=Ending.LOST)
    handle_update(node, 'entry-2', outdated, 4)
    assert total_open_slots(node, upstream, 4) == 1


def test_updates_stay_within_their_budget():
    service = a_shared_service(300)
    fleet = a_fleet(service)
    node = fleet[0]
    make_warm(node, service)
    for upstream in service.upstreams:
        node.slow_start.mark_unsent(upstream.name)
    for tick in range(100):
        flush_updates(node, tick * 0.1)
    sent = sum(len(each.message.states) for each in node.outbox.envelopes)
    # A burst of 15,000 bytes, then 1,500 B/s; 40 bytes for each peer.
    assert sent <= (15000 + 1500 * 10) / (40 * 3) + 1


def test_live_instances_exclude_dead_and_leaving_ones():
    service = a_shared_service()
    node = a_node_of_fleet(service)
    review_upstreams(node, 1)
    assert node.loads.live_instances == frozenset(ENTRY_NAMES)
    node.members.get_or_create_peer('entry-2').record_disconnect()
    node.members.mark_leaving()
    review_upstreams(node, 2)
    assert node.loads.live_instances == frozenset(('entry-3', 'entry-4'))


@pytest.mark.parametrize('state', list(ZoneState))
def test_upstreams_in_service_are_assumed_warm_at_start(state):
    upstreams = [an_upstream('strike-1'), an_upstream('strike-2', 'ham')]
    service = a_service(upstreams=upstreams)
    zones = {'akl': ZoneState.IN_SERVICE, 'ham': state}
    node = a_node(a_snapshot(zones=zones, services=[service]))
    query_new_services(node, 1)
    review_upstreams(node, 1)
    assume_warm(node, 2)
    is_in_service = state is ZoneState.IN_SERVICE
    assert total_open_slots(node, upstreams[0], 2) == WARM_SLOTS
    assert (
        total_open_slots(node, upstreams[1], 2) == WARM_SLOTS
    ) is is_in_service


@pytest.mark.parametrize(
    'entry',
    [
        (1, 1, 1, 0, 0),
        ('strike-1', '1', 1, 0, 0),
        ('strike-1', 1, None, 0, 0),
        ('strike-1', 1, 1, float('nan'), 0),
        ('strike-1', 1, 1, float('inf'), 0),
        ('strike-1', 1, 1, -1, 0),
        ('strike-1', 1, 1, 0, 2**62),
        ('strike-1', 1, 1, 0, 1.5),
        ('strike-1', True, 1, 0, 0),
    ],
)
def test_malformed_state_of_a_peer_raises_peer_error(entry):
    with pytest.raises(PeerError):
        SlowStartUpdate([entry])


def test_work_of_an_assignment_does_not_grow_with_the_slots():
    """Guards against an entry with many slots that held up the event loop."""
    few, many = (
        a_service(
            upstreams=[an_upstream('u-0', slots=count), an_upstream('u-1')]
        )
        for count in (MAX_DEALT_SLOTS, 10**9)
    )
    names = frozenset(ENTRY_NAMES)
    assert len(slot_assignment(many, names)['u-0']) == MAX_DEALT_SLOTS
    assert slot_assignment(few, names) == slot_assignment(many, names)


@pytest.mark.parametrize('slots', [3, 63, 64, 65, 1000])
def test_each_slot_is_assigned_to_one_instance(slots):
    service = a_service(upstreams=[an_upstream('u-0', slots=slots)])
    names = frozenset(ENTRY_NAMES)
    shares = [assigned_slots(service, names, name)['u-0'] for name in names]
    for total in (0, 1, slots, slots + 1):
        assert sum(share.count_below(total) for share in shares) == total
