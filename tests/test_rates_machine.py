"""A state machine of everything that may go wrong between instances.

Whatever happens, no window of time sees more calls let pass than the burst
and the rate allow, and no shard has two holders.
"""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from chervilstep.queries.leases import live_shards
from lab.virtual_fleet import a_fleet, overshoot
from tests.builders import a_customer, a_snapshot

RATE = 10
BURST = 40
SMALL_BURST = 5
TOLERANCE = 1e-6
SIZES = st.sampled_from((2, 3, 5))
ANYONE = st.integers(min_value=0, max_value=6)
SIDES = st.lists(st.integers(0, 1), min_size=8, max_size=8)
SOME = st.lists(st.booleans(), min_size=8, max_size=8)


class Faults(RuleBasedStateMachine):
    """Drives a fleet in virtual time through faults of all kinds."""

    @initialize(size=SIZES, seed=st.integers(1, 1000))
    def start(self, size, seed):
        customers = [
            a_customer('fletcher', rate=RATE, burst=BURST, key='one'),
            a_customer('firth', rate=RATE, burst=SMALL_BURST, key='two'),
        ]
        self.fleet = a_fleet(size, a_snapshot(customers=customers), seed)
        self.names = sorted(self.fleet.nodes)
        self.fleet.run(12)

    @rule(who=ANYONE, calls=st.integers(1, 30))
    def call_one(self, who, calls):
        for _ in range(calls):
            self.fleet.call(self.pick(who), 'fletcher')
            self.fleet.call(self.pick(who), 'firth')

    @rule()
    def drain_all(self):
        for name in self.names:
            for customer in ('fletcher', 'firth'):
                while self.fleet.call(name, customer):
                    pass

    @rule(seconds=st.sampled_from((0.002, 0.02, 0.3, 1, 3, 7, 20)))
    def wait(self, seconds):
        self.fleet.run(seconds)

    @rule(who=ANYONE, steps=st.integers(5, 40))
    def call_steadily(self, who, steps):
        for step in range(steps):
            self.fleet.call(self.pick(who), 'fletcher')
            self.fleet.call(self.pick(who + step), 'firth')
            self.fleet.run(0.05)

    @rule(
        lose=st.sampled_from((0, 0.3)),
        double=st.sampled_from((0, 0.5)),
        delay=st.sampled_from((0.001, 0.2, 2, 5)),
    )
    def spoil_network(self, lose, double, delay):
        self.fleet.network.lose = lose
        self.fleet.network.double = double
        self.fleet.network.delay = delay

    @rule(sides=SIDES)
    def cut_network(self, sides):
        self.fleet.network.cut = dict(zip(self.names, sides, strict=False))

    @rule()
    def heal_network(self):
        self.spoil_network(0, 0, 0.001)
        self.fleet.network.cut = {}

    @rule(who=ANYONE)
    def pause(self, who):
        self.fleet.pause(self.pick(who))

    @rule(who=ANYONE)
    def wake_up(self, who):
        self.fleet.resume(self.pick(who))
        # It acts before it hears or measures anything.
        self.call_one(who, 30)

    @rule(who=ANYONE)
    def crash(self, who):
        self.fleet.kill(self.pick(who))

    @rule(who=ANYONE)
    def restart(self, who):
        self.fleet.start(self.pick(who), self.fleet.listing(self.names))

    @rule(who=ANYONE)
    def stop_as_planned(self, who):
        node = self.fleet.nodes.get(self.pick(who))
        if node is not None:
            node.members.leave()

    @precondition(lambda self: len(self.names) < 7)
    @rule()
    def join(self):
        name = f'e{len(self.names) + 1}'
        self.names.append(name)
        self.fleet.start(name, self.fleet.listing(self.names))

    @rule(listed=SOME, reached=SOME)
    def change_list(self, listed, reached):
        """Lets a list that may drop the living reach some instances.

        It reaches no process that does not vote yet: one that starts takes
        it on trust that whoever is not listed has stopped.
        """
        names = [
            name
            for name, is_listed in zip(self.names, listed, strict=False)
            if is_listed
        ]
        self.fleet.revision += 1
        reaching = [
            name
            for name, is_reached in zip(self.names, reached, strict=False)
            if is_reached and self.fleet.votes(name)
        ]
        if names:
            self.fleet.set_list(self.fleet.revision, names, reaching)

    @invariant()
    def rates_are_kept(self):
        for customer, burst in (('fletcher', BURST), ('firth', SMALL_BURST)):
            spent = self.fleet.spent.get(customer, [])
            assert overshoot(spent, RATE, burst) <= TOLERANCE

    @invariant()
    def rights_add_up_to_the_limits(self):
        now = self.fleet.now
        for customer, burst in (('fletcher', BURST), ('firth', SMALL_BURST)):
            buckets = [
                node.shares.buckets[customer]
                for node in self.fleet.nodes.values()
                if customer in node.shares.buckets
            ]
            assert sum(each.rate(now) for each in buckets) <= RATE + TOLERANCE
            assert sum(each.burst(now) for each in buckets) <= burst + TOLERANCE

    @invariant()
    def shards_have_one_holder(self):
        holders = [
            shard
            for node in self.fleet.nodes.values()
            for shard in live_shards(node, self.fleet.now)
        ]
        assert len(holders) == len(set(holders))

    def pick(self, who):
        return self.names[who % len(self.names)]


TestFaults = Faults.TestCase
TestFaults.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
)
