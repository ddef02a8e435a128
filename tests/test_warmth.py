"""Tests of cold start, ejection and what instances tell each other."""

import pytest

from chervilstep.calls import Ending
from chervilstep.commands.ramp import judge_overdue
from chervilstep.commands.review import (
    learn_services,
    learn_warmth,
    presume_warmth,
    review_upstreams,
)
from chervilstep.commands.warmth_news import flush_news, hear_news
from chervilstep.queries.assignment import max_in_flight, slot_assignment
from chervilstep.queries.choice import choose_upstream, has_usable_upstream
from chervilstep.queries.warmth import is_open, level_of
from chervilstep.snapshot import ZoneState
from chervilstep.warmth import WARM, Warmth
from chervilstep.warmth_messages import WarmthAsk, WarmthNews
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

NOTHING: frozenset[str] = frozenset()


def warm_fleet(service):
    fleet = a_fleet(service)
    for node in fleet:
        make_warm(node, service)
    return fleet


def opened(fleet, service, upstream, now):
    return [node for node in fleet if is_open(node, service, upstream, now)]


def levels(fleet, upstream, now):
    return [level_of(node, upstream, now) for node in fleet]


def test_no_two_instances_differ_by_more_than_one_home():
    service = a_shared_service(5)
    homes = slot_assignment(service, frozenset(ENTRY_NAMES))
    flat = [home for each in homes.values() for home in each]
    counts = [flat.count(name) for name in ENTRY_NAMES]
    assert sum(counts) == sum(map(max_in_flight, service.upstreams))
    assert max(counts) - min(counts) <= 1


def test_an_upstream_that_nobody_knows_is_open_to_one_instance():
    service = a_shared_service()
    fleet = a_fleet(service)
    for upstream in service.upstreams:
        assert len(opened(fleet, service, upstream, 0)) == 1


def test_all_instances_send_one_request_each_to_cold_upstreams_at_most():
    service = a_shared_service()
    for node in a_fleet(service):
        sent = []
        upstream = choose_upstream(node, service, NOTHING, 0)
        while upstream is not None:
            start_attempt(node, upstream)
            sent.append(upstream.name)
            upstream = choose_upstream(node, service, NOTHING, 0)
        assert len(sent) == len(set(sent))
        assert has_usable_upstream(node, service, NOTHING, 0)


def test_good_answers_open_slot_after_slot_until_everyone_may_send():
    service = a_shared_service()
    fleet = a_fleet(service)
    upstream = service.upstreams[0]
    (leader,) = opened(fleet, service, upstream, 0)
    seen = []
    for step in range(40):
        run_attempt(leader, upstream, 0.05 * (step + 1))
        deliver_all(fleet, 0.05 * (step + 1))
        if level_of(leader, upstream, 2) not in seen:
            seen.append(level_of(leader, upstream, 2))
    assert seen == [1, 2, 3, 4, WARM]
    assert levels(fleet, upstream, 2) == [WARM] * len(fleet)


def test_only_answers_of_normal_latency_open_slots():
    service = a_shared_service()
    node = a_node_of_fleet(service, names=('entry-1',))
    make_warm(node, service)
    upstream = service.upstreams[0]
    node.warmth.put(upstream.name, Warmth(1, 1, believed_until=FOREVER))
    for step in range(1, 30):
        run_attempt(node, upstream, step, seconds=0.05)
    assert level_of(node, upstream, 30) == 1


def test_a_slow_answer_gives_a_cold_upstream_a_rest():
    service = a_shared_service()
    node = a_node_of_fleet(service, names=('entry-1',))
    make_warm(node, service)
    upstream = service.upstreams[0]
    node.warmth.put(upstream.name, Warmth(1, 1, believed_until=FOREVER))
    run_attempt(node, upstream, 1, seconds=0.1)
    assert not is_open(node, service, upstream, 1.4)
    assert is_open(node, service, upstream, 1.6)


@pytest.mark.parametrize(
    ('ending', 'seconds'),
    [
        (Ending.ANSWERED, 0.1),
        (Ending.CONNECT_FAILED, 0.001),
        (Ending.LOST, 0.01),
        (Ending.SHED, 0.01),
    ],
)
def test_an_outlier_is_closed_to_every_instance(ending, seconds):
    service = a_shared_service()
    fleet = warm_fleet(service)
    upstream = service.upstreams[0]
    for now in (2.6, 2.8, 3):
        assert levels(fleet, upstream, now) == [WARM] * len(fleet)
        run_attempt(fleet[0], upstream, now, seconds, ending)
    deliver_all(fleet, 3)
    assert opened(fleet, service, upstream, 3.1) == []
    assert len(opened(fleet, service, upstream, 3.3)) == 1


def test_sheds_that_lie_far_apart_eject_nothing():
    service = a_shared_service()
    node = warm_fleet(service)[0]
    upstream = service.upstreams[0]
    for step in range(1, 9):
        run_attempt(node, upstream, step, ending=Ending.SHED)
    assert level_of(node, upstream, 9) == WARM


def test_requests_that_are_overdue_count_before_they_end():
    service = a_shared_service()
    node = warm_fleet(service)[0]
    upstream = service.upstreams[0]
    for _ in range(3):
        start_attempt(node, upstream, 1)
    judge_overdue(node, 1.03)
    assert level_of(node, upstream, 1.03) == WARM
    judge_overdue(node, 1.05)
    assert level_of(node, upstream, 1.05) == 1


def test_each_ejection_lasts_longer_than_the_one_before():
    service = a_shared_service()
    node = a_node_of_fleet(service, names=('entry-1',))
    make_warm(node, service)
    upstream = service.upstreams[0]
    for _ in range(3):
        run_attempt(node, upstream, 1, ending=Ending.CONNECT_FAILED)
    lengths = []
    now = 1.0
    for _ in range(9):
        closed = node.warmth.records[upstream.name].closed_until
        lengths.append(closed.at - now)
        now = closed.at + 0.01
        run_attempt(node, upstream, now, 0.001, ending=Ending.CONNECT_FAILED)
    assert lengths == pytest.approx([0.25, 0.5, 1, 2, 4, 8, 16, 30, 30])


def test_attempts_from_before_an_ejection_do_not_count_against_it():
    service = a_shared_service()
    node = warm_fleet(service)[0]
    upstream = service.upstreams[0]
    attempts = [start_attempt(node, upstream, 1) for _ in range(8)]
    for attempt in attempts:
        end_attempt(node, attempt, 1.01, Ending.LOST)
    assert node.warmth.records[upstream.name].epoch == 1


def test_a_whole_service_that_fails_is_not_ejected():
    service = a_shared_service(9)
    fleet = warm_fleet(service)
    for step in range(1, 6):
        for upstream in service.upstreams:
            run_attempt(fleet[0], upstream, step, ending=Ending.LOST)
    deliver_all(fleet, 6)
    for node in fleet:
        closed = [
            upstream
            for upstream in service.upstreams
            if level_of(node, upstream, 6) != WARM
        ]
        assert len(closed) == 3


def test_ejections_by_several_instances_keep_to_the_floor_together():
    service = a_shared_service(8)
    fleet = warm_fleet(service)
    for index, node in enumerate(fleet):
        for upstream in service.upstreams[2 * index : 2 * index + 2]:
            for step in range(1, 4):
                run_attempt(node, upstream, step, ending=Ending.LOST)
    deliver_all(fleet, 4)
    for node in fleet:
        warm = [level_of(node, each, 4) == WARM for each in service.upstreams]
        assert warm.count(False) <= 2


def test_sheds_everywhere_mean_load_and_eject_nothing():
    service = a_shared_service(6)
    node = warm_fleet(service)[0]
    # Limits the requests in flight instead.
    before = node.loads.service_load(service.name, 8).limit
    for step in range(1, 20):
        for upstream in service.upstreams:
            now = 1 + step * 0.05
            run_attempt(node, upstream, now, 0.001, Ending.SHED)
    counts = [level_of(node, each, 2) for each in service.upstreams]
    assert counts.count(WARM) >= len(counts) - 1
    assert node.loads.service_load(service.name, 8).limit < before


def test_a_returning_zone_is_cold_all_at_once():
    service = a_shared_service(4)
    fleet = warm_fleet(service)
    review(fleet, 1)
    withdrawn = {'akl': ZoneState.WITHDRAWN}
    returned = {'akl': ZoneState.IN_SERVICE}
    for zones, now in ((withdrawn, 2), (returned, 3)):
        for node in fleet:
            snapshot = a_node_of_fleet(service, zones=zones).snapshot
            node.configuration.publish(snapshot)
        review(fleet, now)
    for upstream in service.upstreams:
        assert levels(fleet, upstream, 3) == [1] * len(fleet)
        assert len(opened(fleet, service, upstream, 3)) == 1


def test_a_new_instance_learns_from_a_peer_what_is_warm():
    service = a_shared_service()
    fleet = warm_fleet(service)
    joiner = a_node_of_fleet(service, 'entry-5', (*ENTRY_NAMES, 'entry-5'))
    learn_warmth(joiner, a_ticket(), 1)
    (letter,) = joiner.outbox.letters
    assert letter.message == WarmthAsk('strike')
    assert letter.recipient in ENTRY_NAMES
    deliver_all([*fleet, joiner], 1)
    for upstream in service.upstreams:
        assert level_of(joiner, upstream, 1) == WARM
    learn_warmth(joiner, a_ticket(), 2)
    assert not joiner.outbox.letters


def test_a_peer_is_asked_again_only_after_a_while():
    node = a_node_of_fleet(a_shared_service())
    for now in (1, 1.1, 1.2, 1.3):
        learn_warmth(node, a_ticket(), now)
    assert len(node.outbox.letters) == 2


def test_warmth_is_believed_until_its_deadline_only():
    service = a_shared_service()
    node = a_node_of_fleet(service)
    upstream = service.upstreams[0]
    node.warmth.put(upstream.name, Warmth())
    node.warmth.record(upstream.name).step_up(WARM, FOREVER)
    node.warmth.record(upstream.name).count_good(0)
    assert level_of(node, upstream, 119) == 1
    node.warmth.record(upstream.name).step_up(WARM, FOREVER)
    assert level_of(node, upstream, 119) == WARM
    assert level_of(node, upstream, 120) == 1


def test_old_news_does_not_warm_an_upstream_that_turned_cold():
    service = a_shared_service()
    node = warm_fleet(service)[0]
    upstream = service.upstreams[0]
    old = WarmthNews([(upstream.name, 0, WARM, 0.0, 0)])
    for step in range(1, 4):
        run_attempt(node, upstream, step, ending=Ending.LOST)
    hear_news(node, 'entry-2', old, 4)
    assert level_of(node, upstream, 4) == 1


def test_news_is_bounded_by_its_budget():
    service = a_shared_service(300)
    fleet = a_fleet(service)
    node = fleet[0]
    make_warm(node, service)
    for upstream in service.upstreams:
        node.warmth.tell(upstream.name)
    for tick in range(100):
        flush_news(node, tick * 0.1)
    sent = sum(len(each.message.beliefs) for each in node.outbox.letters)
    # 15,000 bytes at once and 1,500 a second, at 40 bytes for each peer.
    assert sent <= (15000 + 1500 * 10) / (40 * 3) + 1


def test_live_instances_follow_the_list_and_what_is_heard():
    service = a_shared_service()
    node = a_node_of_fleet(service)
    review_upstreams(node, 1)
    assert node.loads.live_instances == frozenset(ENTRY_NAMES)
    node.members.view('entry-2').lose()
    node.members.leave()
    review_upstreams(node, 2)
    assert node.loads.live_instances == frozenset(('entry-3', 'entry-4'))


@pytest.mark.parametrize('state', list(ZoneState))
def test_a_start_presumes_the_upstreams_in_service_warm(state):
    upstreams = [an_upstream('strike-1'), an_upstream('strike-2', 'ham')]
    service = a_service(upstreams=upstreams)
    zones = {'akl': ZoneState.IN_SERVICE, 'ham': state}
    node = a_node(a_snapshot(zones=zones, services=[service]))
    learn_services(node, 1)
    review_upstreams(node, 1)
    presume_warmth(node, 2)
    is_in_service = state is ZoneState.IN_SERVICE
    assert level_of(node, upstreams[0], 2) == WARM
    assert (level_of(node, upstreams[1], 2) == WARM) is is_in_service
