"""A state machine of a fleet under faults, in virtual time."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from chervilstep.queries.currency import check_currency
from chervilstep.relay import HOLD_SECONDS
from tests.builders import a_call, a_ticket, digest_of
from tests.document_builders import customer_text, sections, service_text
from tests.fleet_builders import STEP_SECONDS, Fleet

SIZE = 5
#: Reading, spreading, and the hold of an instance that is cut off.
REVOCATION_SECONDS = HOLD_SECONDS + 2
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


class FleetMachine(RuleBasedStateMachine):
    """Operators, faults and time; the invariants hold after each step."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(SIZE)
        self.highest = {}
        self.verdicts = {}

    @initialize()
    def boot(self):
        for name, text in sections().items():
            self.fleet.offer(name, text)
        self.fleet.run_until(self.fleet.all_current, 10)
        self.fleet.run(5)

    @rule(team=st.sampled_from(TEAMS), text=TEXTS)
    def edit(self, team, text):
        self.fleet.offer(team, text)

    @rule(teams=st.permutations(TEAMS), first=TEXTS, second=TEXTS)
    def edit_two_at_once(self, teams, first, second):
        self.fleet.offer(teams[0], first)
        self.fleet.offer(teams[1], second)

    @rule(team=st.sampled_from(TEAMS), text=TEXTS)
    def edit_and_undo(self, team, text):
        before = [v for v in self.fleet.platform.log if v.name == team]
        self.fleet.offer(team, text)
        self.fleet.offer(team, before[-1].text if before else None)

    @rule(seconds=st.sampled_from([0.25, 1, 3, 12]))
    def wait(self, seconds):
        for _ in range(int(seconds / STEP_SECONDS)):
            self.fleet.step()
            self.never_reverts()

    @rule(is_down=st.booleans())
    def platform_goes(self, is_down):
        self.fleet.platform.is_down = is_down

    @rule(back=st.integers(0, 5))
    def platform_is_stale(self, back):
        platform = self.fleet.platform
        platform.stale_at = max(0, platform.revision - back)

    @rule()
    def platform_catches_up(self):
        self.fleet.platform.stale_at = None

    @rule(index=INDEXES, group=st.integers(0, 1))
    def move_to_partition(self, index, group):
        self.fleet.groups[self.name(index)] = group

    @rule(index=INDEXES)
    def cut_from_platform(self, index):
        self.fleet.cut_off ^= {self.name(index)}

    @rule(index=INDEXES)
    def pause(self, index):
        self.fleet.paused.add(self.name(index))

    @precondition(lambda self: self.fleet.paused)
    @rule()
    def resume(self):
        self.fleet.resume(min(self.fleet.paused))

    @rule(index=INDEXES)
    def replace(self, index):
        name = self.name(index)
        self.highest.pop(name, None)
        self.fleet.kill(name, announce=False)
        self.fleet.start()

    @rule()
    def heal(self):
        fleet = self.fleet
        fleet.platform.is_down = False
        fleet.platform.stale_at = None
        fleet.cut_off.clear()
        for name in tuple(fleet.paused):
            fleet.resume(name)
        for name in fleet.nodes:
            fleet.groups[name] = 0
        fleet.run(20)
        assert fleet.all_current()
        self.everyone_agrees()
        self.only_current_keys_work()

    @invariant()
    def never_reverts(self):
        for name, node in self.fleet.nodes.items():
            known = self.highest.setdefault(name, {})
            for section in node.configuration.sections.values():
                assert section.revision >= known.get(section.name, 0)
                known[section.name] = section.revision

    @invariant()
    def same_verdict_everywhere(self):
        for node in self.fleet.nodes.values():
            for section in node.configuration.sections.values():
                key = section.name, section.revision
                self.verdicts.setdefault(key, 'accepted')
                assert self.verdicts[key] == 'accepted'
            for name, fault in node.configuration.faults.items():
                key = name, fault.revision
                self.verdicts.setdefault(key, 'refused')
                assert self.verdicts[key] == 'refused'

    @invariant()
    def unconfirmed_instances_serve_no_keys(self):
        for name, node in self.fleet.nodes.items():
            refusal = check_currency(
                node, a_ticket(a_call(), now=self.fleet.now), self.fleet.now
            )
            assert (refusal is None) == self.fleet.is_current(name)

    def name(self, index):
        return sorted(self.fleet.nodes)[index]

    def everyone_agrees(self):
        nodes = list(self.fleet.nodes.values())
        first = nodes[0].configuration
        for node in nodes:
            assert node.configuration.fingerprint == first.fingerprint
            assert node.configuration.conflicts == first.conflicts

    def only_current_keys_work(self):
        """Compares the keys with the newest sound text of each section."""
        newest = {}
        for value in self.fleet.platform.log:
            if value.text != 'broken':
                newest[value.name] = value
        for node in self.fleet.nodes.values():
            for key in ('one', 'two'):
                if node.snapshot.customer_by_digest(digest_of(key)):
                    assert any(
                        digest_of(key) in (value.text or '')
                        for value in newest.values()
                    )


class RevocationMachine(RuleBasedStateMachine):
    """A key is revoked amid faults of single instances.

    A majority can talk to the platform; the others may be cut off, paused or
    replaced in any way. No instance serves the key after the bound.
    """

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(SIZE)
        self.revoked_at = None

    @initialize()
    def boot(self):
        for name, text in sections().items():
            self.fleet.offer(name, text)
        self.fleet.run_until(self.fleet.all_current, 10)
        self.fleet.run(5)

    @precondition(lambda self: self.revoked_at is None)
    @rule()
    def revoke(self):
        self.fleet.offer('services', 'broken')
        self.fleet.offer('customers', customer_text(keys=['new']))
        self.revoked_at = self.fleet.now

    @rule(seconds=st.sampled_from([0.25, 1, 3, 12]))
    def wait(self, seconds):
        for _ in range(int(seconds / STEP_SECONDS)):
            self.fleet.step()
            self.revoked_key_is_dead()

    @rule(index=st.integers(0, 1), group=st.integers(0, 2))
    def cut(self, index, group):
        name = sorted(self.fleet.nodes)[index]
        self.fleet.groups[name] = group
        if group:
            self.fleet.cut_off.add(name)
        else:
            self.fleet.cut_off.discard(name)

    @rule(index=st.integers(0, 1))
    def pause(self, index):
        self.fleet.paused.add(sorted(self.fleet.nodes)[index])

    @precondition(lambda self: self.fleet.paused)
    @rule()
    def resume(self):
        self.fleet.resume(min(self.fleet.paused))

    @invariant()
    def revoked_key_is_dead(self):
        if self.revoked_at is None:
            return
        if self.fleet.now < self.revoked_at + REVOCATION_SECONDS:
            return
        for name, node in self.fleet.nodes.items():
            if name not in self.fleet.paused:
                assert not self.serves_old_key(node), name

    def serves_old_key(self, node):
        ticket = a_ticket(now=self.fleet.now)
        return (
            node.snapshot.customer_by_digest(ticket.call.key_digest) is not None
            and check_currency(node, ticket, self.fleet.now) is None
        )


TestFleet = FleetMachine.TestCase
TestFleet.settings = settings(
    max_examples=40, stateful_step_count=25, derandomize=True, deadline=None
)
TestRevocation = RevocationMachine.TestCase
TestRevocation.settings = settings(
    max_examples=40, stateful_step_count=25, derandomize=True, deadline=None
)
