"""Tests of the propagation of sections to every instance, in virtual time."""

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from chervilstep.revisions import Revision
from tests.builders import KEY, digest_key
from tests.document_builders import customer_text, section_texts, service_text
from tests.spread_builders import STORE_TIMEOUT_SECONDS, SpreadFleet

#: The users' bounds of the time until a change is in force, until a key is
#: revoked, and until an instance has caught up after it was cut off.
APPLY_SECONDS = 2
REVOKE_SECONDS = 5
CATCH_UP_SECONDS = 4
SIZE = 5
TEAMS = ('customers', 'services', 'team-a', 'team-b')
TEXTS = st.sampled_from(
    [
        None,
        '',
        'broken',
        customer_text(keys=['one']),
        customer_text(keys=['one', 'two']),
        customer_text(keys=['two']),
        service_text(),
        service_text(port=9100),
    ]
)
INDEXES = st.integers(0, SIZE - 1)


def a_fleet(size=7, seed=1):
    fleet = SpreadFleet(size, seed)
    fleet.run(3)
    assert all(accepts_key(fleet, name) for name in fleet.names)
    return fleet


def accepts_key(fleet, name, key=KEY):
    customer = fleet.nodes[name].snapshot.customer_by_digest(digest_key(key))
    return customer is not None


def revoke_default_key(fleet):
    return fleet.put_section('customers', customer_text(keys=['new']))


@pytest.mark.parametrize('size', [1, 2, 14, 19, 40])
def test_change_is_in_force_everywhere_within_the_bound(size):
    fleet = a_fleet(size)
    revision = revoke_default_key(fleet)
    fleet.seconds_until(
        lambda: fleet.have_section('customers', revision), APPLY_SECONDS
    )
    assert not any(accepts_key(fleet, name) for name in fleet.names)


@pytest.mark.parametrize('reaching', [1, 3, 18])
def test_revocation_reaches_instances_without_store(reaching):
    fleet = a_fleet(19)
    fleet.cut_off.update(fleet.names[reaching:])
    revision = revoke_default_key(fleet)
    fleet.seconds_until(
        lambda: fleet.have_section('customers', revision), REVOKE_SECONDS
    )


def test_instances_serve_during_an_outage_of_the_store():
    fleet = a_fleet(7)
    fleet.is_down = True
    fleet.run(120)
    assert all(accepts_key(fleet, name) for name in fleet.names)


def test_partitioned_instances_catch_up():
    fleet = a_fleet(7)
    for name in fleet.names[:2]:
        fleet.isolate(name)
        fleet.cut_off.add(name)
    revision = revoke_default_key(fleet)
    fleet.run(20)
    assert accepts_key(fleet, fleet.names[0])
    fleet.heal()
    fleet.cut_off.clear()
    fleet.seconds_until(
        lambda: fleet.have_section('customers', revision), CATCH_UP_SECONDS
    )


@pytest.mark.parametrize('pause', [1, 8, 60])
def test_paused_instance_catches_up(pause):
    fleet = a_fleet(7)
    paused = fleet.names[3]
    fleet.paused.add(paused)
    fleet.run(0.5)
    revision = revoke_default_key(fleet)
    fleet.run(pause)
    fleet.paused.clear()
    fleet.seconds_until(
        lambda: fleet.have_section('customers', revision, [paused]),
        CATCH_UP_SECONDS,
    )


def test_new_instance_gets_sections_from_peers():
    fleet = a_fleet(7)
    joining = fleet.names[5]
    fleet.kill(joining)
    fleet.is_down = True
    fleet.run(8)
    fleet.start(joining)
    fleet.seconds_until(
        lambda: accepts_key(fleet, joining),
        STORE_TIMEOUT_SECONDS + CATCH_UP_SECONDS,
    )


def test_listing_applies_a_deletion():
    fleet = a_fleet(3)
    fleet.is_down = True
    fleet.run(5)
    fleet.put_section('customers', None)
    fleet.listed_nodes.clear()
    fleet.is_down = False
    fleet.run(5)
    assert not any(accepts_key(fleet, name) for name in fleet.names)


def test_rolling_restart_with_an_invalid_section():
    fleet = a_fleet(7)
    fleet.put_section('services', 'broken')
    fleet.run(3)
    for name in fleet.names:
        fleet.kill(name)
        fleet.start(name)
        fleet.run(5)
    for node in fleet.nodes.values():
        assert node.snapshot.services['strike'].upstreams
        assert 'services' in node.configuration.faults


def test_start_with_invalid_section_accepts_valid_keys():
    fleet = a_fleet(4)
    fleet.put_section('customers', 'broken')
    fleet.run(3)
    restarted = fleet.names[2]
    fleet.kill(restarted)
    fleet.start(restarted)
    for _ in range(60):
        fleet.run(0.05)
        node = fleet.nodes[restarted]
        assert accepts_key(fleet, restarted) or not node.snapshot.routes
    assert accepts_key(fleet, restarted)


def test_invalid_section_does_not_block_start_of_all():
    fleet = SpreadFleet(3, texts={**section_texts(), 'customers': 'broken'})
    fleet.run(4)
    for node in fleet.nodes.values():
        assert node.snapshot.routes


def test_large_sections_are_sent_in_several_messages():
    fleet = a_fleet(3)
    padding = '# ' + 'x' * 900_000
    for number in range(4):
        last = fleet.put_section(f'large-{number}', padding)
    fleet.cut_off.add(fleet.names[2])
    fleet.kill(fleet.names[2])
    fleet.start(fleet.names[2])
    fleet.seconds_until(
        lambda: fleet.have_section('large-3', last), STORE_TIMEOUT_SECONDS + 6
    )


def test_many_sections_reach_instance_without_store():
    fleet = a_fleet(3)
    fleet.cut_off.add(fleet.names[2])
    for number in range(450):
        last = fleet.put_section(f'extra-{number}', '')
    fleet.seconds_until(
        lambda: fleet.have_section('extra-449', last),
        STORE_TIMEOUT_SECONDS + 4,
    )
    assert len(fleet.nodes[fleet.names[2]].configuration.sections) == 454


class SpreadMachine(RuleBasedStateMachine):
    """Edits and faults in any order; the invariants hold after each step."""

    def __init__(self):
        super().__init__()
        self.fleet = a_fleet(SIZE)
        self.highest = {}
        self.verdicts = {}

    @rule(team=st.sampled_from(TEAMS), text=TEXTS)
    def edit(self, team, text):
        self.fleet.put_section(team, text)

    @rule(teams=st.permutations(TEAMS), first=TEXTS, second=TEXTS)
    def edit_two_at_once(self, teams, first, second):
        self.fleet.put_section(teams[0], first)
        self.fleet.put_section(teams[1], second)

    @rule(seconds=st.sampled_from([0.25, 1, 3, 12]))
    def wait(self, seconds):
        for _ in range(4):
            self.fleet.run(seconds / 4)
            self.never_reverts()

    @rule(is_down=st.booleans())
    def store_goes(self, is_down):
        self.fleet.is_down = is_down

    @rule(index=INDEXES)
    def isolate(self, index):
        self.fleet.isolate(self.fleet.names[index])

    @rule(index=INDEXES)
    def cut_from_store(self, index):
        self.fleet.cut_off ^= {self.fleet.names[index]}

    @rule(index=INDEXES)
    def pause(self, index):
        self.fleet.paused.add(self.fleet.names[index])

    @precondition(lambda self: self.fleet.paused)
    @rule()
    def resume(self):
        self.fleet.paused.discard(min(self.fleet.paused))

    @rule(index=INDEXES)
    def restart(self, index):
        name = self.fleet.names[index]
        self.highest.pop(name, None)
        self.fleet.kill(name)
        self.fleet.start(name)

    @rule()
    def heal(self):
        fleet = self.fleet
        fleet.is_down = False
        fleet.cut_off.clear()
        fleet.paused.clear()
        fleet.heal()
        fleet.run(20)
        self.assert_all_agree()
        self.assert_only_current_keys()

    @invariant()
    def never_reverts(self):
        for name, node in self.fleet.nodes.items():
            known = self.highest.setdefault(name, {})
            for section in node.configuration.sections.values():
                assert section.revision >= known.get(section.name, Revision(0))
                known[section.name] = section.revision

    @invariant()
    def same_verdict_everywhere(self):
        for node in self.fleet.nodes.values():
            for section in node.configuration.sections.values():
                key = section.name, section.revision
                assert self.verdicts.setdefault(key, 'accepted') == 'accepted'
            for name, fault in node.configuration.faults.items():
                key = name, fault.revision
                assert self.verdicts.setdefault(key, 'refused') == 'refused'

    def assert_all_agree(self):
        first, *others = self.fleet.nodes.values()
        for node in others:
            assert node.replica.as_of == first.replica.as_of
            assert node.configuration.conflicts == first.configuration.conflicts
            for name, fault in first.configuration.faults.items():
                other = node.configuration.faults[name]
                assert other.revision == fault.revision

    def assert_only_current_keys(self):
        """Compares the keys with the newest valid text of each section."""
        newest = {}
        for value in self.fleet.store.changes:
            if value.text != 'broken':
                newest[value.key] = value.text or ''
        for node in self.fleet.nodes.values():
            for key in ('one', 'two'):
                if node.snapshot.customer_by_digest(digest_key(key)):
                    texts = newest.values()
                    assert any(digest_key(key) in text for text in texts)


class RevocationMachine(RuleBasedStateMachine):
    """A key is revoked while single instances have faults.

    An instance that reaches the store, or a peer that does, refuses the key
    when the bound has passed since the revocation and since its last fault.
    """

    def __init__(self):
        super().__init__()
        self.fleet = a_fleet(SIZE)
        self.faulted_at = {}
        self.isolated = set()
        self.revoked_at = None

    @initialize()
    def begin(self):
        self.fleet.put_section('services', 'broken')

    @precondition(lambda self: self.revoked_at is None)
    @rule()
    def revoke(self):
        revoke_default_key(self.fleet)
        self.revoked_at = self.fleet.now

    @rule(seconds=st.sampled_from([0.25, 1, 3, 12]))
    def wait(self, seconds):
        for _ in range(4):
            self.fleet.run(seconds / 4)
            self.revoked_key_is_dead()

    @rule(index=st.integers(0, 1))
    def cut_from_store(self, index):
        self.record_fault(index)
        self.fleet.cut_off.add(self.fleet.names[index])

    @rule(index=st.integers(0, 1))
    def isolate(self, index):
        self.record_fault(index)
        self.isolated.add(self.fleet.names[index])
        self.fleet.isolate(self.fleet.names[index])

    @rule(index=st.integers(0, 1))
    def pause(self, index):
        self.fleet.paused.add(self.fleet.names[index])

    @rule()
    def recover(self):
        for index in range(2):
            self.record_fault(index)
        self.fleet.paused.clear()
        self.fleet.cut_off.clear()
        self.isolated.clear()
        self.fleet.heal()

    @invariant()
    def revoked_key_is_dead(self):
        if self.revoked_at is None:
            return
        for name in self.fleet.names:
            since = max(self.revoked_at, self.faulted_at.get(name, 0))
            is_late = self.fleet.now > since + REVOKE_SECONDS
            if is_late and self.can_receive_updates(name):
                assert not accepts_key(self.fleet, name), name

    def can_receive_updates(self, name):
        if name in self.fleet.paused:
            return False
        return name not in self.fleet.cut_off or name not in self.isolated

    def record_fault(self, index):
        self.faulted_at[self.fleet.names[index]] = self.fleet.now


SETTINGS = settings(
    max_examples=40,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestSpread = SpreadMachine.TestCase
TestSpread.settings = SETTINGS
TestRevocation = RevocationMachine.TestCase
TestRevocation.settings = SETTINGS
