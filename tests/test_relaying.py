"""Tests of the spread and the confirmation of the configuration."""

import pytest

from chervilstep.commands.configuration import offer_section
from chervilstep.hooks import HANDLERS
from chervilstep.queries.currency import check_access, check_currency
from chervilstep.queries.relaying import WATCHERS, Duty, duty_of
from chervilstep.refusals import STALE_CONFIGURATION, UNKNOWN_KEY
from chervilstep.relay import HOLD_SECONDS
from chervilstep.sync_messages import RevisionsNotice, SectionPart
from tests.builders import (
    KEY,
    a_call,
    a_node,
    a_route,
    a_ticket,
    digest_of,
)
from tests.document_builders import (
    a_configured_node,
    customer_text,
    sections,
)
from tests.fleet_builders import Fleet

#: The target for a change under faults, in seconds.
IN_FORCE_SECONDS = 8


def a_fleet(size=7, seed=1):
    fleet = Fleet(size, seed)
    for name, text in sections().items():
        fleet.offer(name, text)
    fleet.run_until(fleet.all_current, 10)
    # Lets the grace of the start pass.
    fleet.run(10)
    return fleet


def works(fleet, name, key=KEY):
    node = fleet.nodes[name]
    ticket = a_ticket(a_call(key=key), now=fleet.now)
    customer = node.snapshot.customer_by_digest(digest_of(key))
    return customer is not None and (
        check_currency(node, ticket, fleet.now) is None
    )


def revoke(fleet):
    return fleet.offer('customers', customer_text(keys=['new']))


@pytest.mark.parametrize('size', [1, 2, 3, 7, 19, 40])
def test_change_is_in_force_everywhere_within_seconds(size):
    fleet = a_fleet(size)
    assert fleet.run_until(fleet.holds('customers', revoke(fleet)), 3) <= 2
    assert not any(works(fleet, name) for name in fleet.nodes)


def test_few_instances_watch_the_platform():
    fleet = a_fleet(19)
    duties = [duty_of(node, fleet.now) for node in fleet.nodes.values()]
    assert duties.count(Duty.WATCH) == WATCHERS
    assert duties.count(Duty.RELY) == 19 - WATCHERS


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('fault', ['killed', 'paused', 'cut off'])
def test_change_with_every_watcher_gone(fault, seed):
    fleet = a_fleet(19, seed)
    watchers = [
        name
        for name, node in fleet.nodes.items()
        if duty_of(node, fleet.now) is Duty.WATCH
    ]
    for name in watchers:
        if fault == 'killed':
            fleet.kill(name, announce=False)
        elif fault == 'paused':
            fleet.paused.add(name)
        else:
            fleet.cut_off.add(name)
    revision = revoke(fleet)
    others = set(fleet.nodes) - fleet.paused
    fleet.run_until(
        lambda: all(
            fleet.accepted(name, 'customers') >= revision for name in others
        ),
        IN_FORCE_SECONDS,
    )


def test_platform_outage_does_not_stop_service():
    fleet = a_fleet(19)
    fleet.platform.is_down = True
    for _ in range(120):
        fleet.run(1)
        assert fleet.all_current()


def test_outage_with_a_minority_dead_does_not_stop_service():
    fleet = a_fleet(19)
    fleet.platform.is_down = True
    fleet.run(10)
    for name in tuple(fleet.nodes)[:9]:
        fleet.kill(name, announce=False)
    fleet.run(20)
    assert fleet.all_current()


def test_minority_without_the_platform_refuses_keys():
    fleet = a_fleet(7)
    minority = tuple(fleet.nodes)[:3]
    for name in minority:
        fleet.groups[name] = 1
        fleet.cut_off.add(name)
    revoke(fleet)
    fleet.run(HOLD_SECONDS + 0.25)
    assert not any(works(fleet, name) for name in fleet.nodes)
    assert all(fleet.is_current(n) for n in fleet.nodes if n not in minority)
    node = fleet.nodes[minority[0]]
    ticket = a_ticket(now=fleet.now)
    assert check_currency(node, ticket, fleet.now) is STALE_CONFIGURATION
    in_open = a_ticket(route=a_route(is_open=True), now=fleet.now)
    assert check_currency(node, in_open, fleet.now) is None


def test_part_with_the_platform_keeps_serving():
    fleet = a_fleet(7)
    part = tuple(fleet.nodes)[:2]
    for name in part:
        fleet.groups[name] = 1
    fleet.run(30)
    assert fleet.all_current()


def test_healed_partition_takes_the_newer_section():
    fleet = a_fleet(7)
    part = tuple(fleet.nodes)[:2]
    for name in part:
        fleet.groups[name] = 1
        fleet.cut_off.add(name)
    revision = revoke(fleet)
    fleet.run(20)
    for name in part:
        fleet.groups[name] = 0
    fleet.run_until(fleet.holds('customers', revision), 8)
    assert not any(works(fleet, name) for name in fleet.nodes)


@pytest.mark.parametrize('pause', [HOLD_SECONDS, 60, 3600])
def test_paused_instance_confirms_before_it_serves(pause):
    fleet = a_fleet(7)
    sleeper = next(iter(fleet.nodes))
    fleet.paused.add(sleeper)
    fleet.run(0.5)
    revision = revoke(fleet)
    fleet.run(min(pause, 60))
    fleet.now += max(0, pause - 60)
    fleet.resume(sleeper)
    for _ in range(80):
        assert not works(fleet, sleeper)
        fleet.step()
    assert fleet.accepted(sleeper, 'customers') == revision
    assert fleet.is_current(sleeper)


def test_new_instance_starts_while_the_platform_is_down():
    fleet = a_fleet(7)
    name = fleet.start()
    fleet.run(1)
    fleet.platform.is_down = True
    fleet.run_until(lambda: works(fleet, name), 5)


def test_new_instance_finds_peers_by_its_seeds():
    fleet = a_fleet(7)
    fleet.platform.is_down = True
    name = fleet.start(announce=False, seeds={'entry-1': '127.0.0.1:2'})
    fleet.run_until(lambda: works(fleet, name), 8)
    assert len(fleet.nodes[name].members.listed) == 7


def test_new_instance_does_not_serve_a_stale_replica():
    fleet = a_fleet(7)
    stale = fleet.platform.revision
    fleet.run_until(fleet.holds('customers', revoke(fleet)), 3)
    fleet.platform.stale_at = stale
    name = fleet.start()
    for _ in range(200):
        fleet.step()
        assert not works(fleet, name)
    assert works(fleet, name, 'new')
    assert fleet.all_current()


def test_deleted_section_does_not_come_back():
    fleet = a_fleet(7)
    stale = fleet.platform.revision
    fleet.offer('customers', None)
    fleet.run(3)
    fleet.platform.stale_at = stale
    fleet.start()
    fleet.run(20)
    assert not any(works(fleet, name) for name in fleet.nodes)


def test_deletion_is_seen_in_a_listing():
    fleet = a_fleet(3)
    fleet.platform.is_down = True
    fleet.run(5)
    fleet.offer('customers', None)
    for reader in fleet.readers.values():
        reader.position = None
    fleet.platform.is_down = False
    fleet.run(5)
    assert not any(works(fleet, name) for name in fleet.nodes)


def test_restart_of_all_with_a_broken_section():
    fleet = a_fleet(7)
    fleet.offer('services', 'broken')
    revision = revoke(fleet)
    fleet.run_until(fleet.holds('customers', revision), 3)
    for name in tuple(fleet.nodes):
        fleet.kill(name)
        fleet.start()
        fleet.run(5)
    assert all(
        node.snapshot.services['strike'].upstreams
        for node in fleet.nodes.values()
    )


def test_large_section_travels_in_parts():
    fleet = a_fleet(7)
    rng = fleet.rng
    noise = ''.join(f'# {rng.random()}\n' for _ in range(4000))
    text = customer_text(keys=['new']) + noise
    revision = fleet.offer('customers', text)
    fleet.run_until(fleet.holds('customers', revision), 3)
    assert {
        node.configuration.sections['customers'].text
        for node in fleet.nodes.values()
    } == {text}


def test_many_sections_reach_an_instance_that_is_cut_from_the_platform():
    fleet = a_fleet(3)
    for number in range(250):
        fleet.offer(f'extra-{number}', '')
    fleet.run(5)
    name = fleet.start()
    fleet.cut_off.add(name)
    fleet.nodes[name].members.replace(*fleet.listed)
    fleet.run_until(lambda: fleet.is_current(name), 8)
    assert len(fleet.nodes[name].configuration.sections) == 254


def test_notice_of_a_refused_revision_is_not_fetched_again():
    node = a_configured_node()
    offer_section(node, 'customers', 5, 'broken', 0)
    notice = RevisionsNotice((('customers', 5),))
    HANDLERS.find(notice.kind)(node, 'entry-2', notice, 0)
    assert node.outbox.letters == ()


def test_part_that_nobody_asked_for_is_ignored():
    node = a_configured_node()
    part = SectionPart('customers', 9, 0, 1, b'x')
    HANDLERS.find(part.kind)(node, 'entry-2', part, 0)
    assert node.configuration.sections['customers'].revision == 1


def test_access_is_checked_again_after_a_wait():
    node = a_node()
    ticket = a_ticket()
    assert check_access(node, ticket, 0) is None
    revoked = a_configured_node(customers=customer_text(keys=['new']))
    assert check_access(revoked, ticket, 0) is UNKNOWN_KEY
