"""A state machine of a fleet before upstreams that are cold.

Instances have lists that differ, messages are late or lost, zones leave and
return, servers turn slow. However these mix, all instances together have no
more requests at a cold upstream than its level says for each list in use.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chervilstep.calls import Ending
from chervilstep.queries.choice import choose_upstream
from chervilstep.queries.warmth import level_of
from chervilstep.snapshot import ZoneState
from chervilstep.warmth import WARM
from tests.builders import a_service, a_snapshot, an_upstream, set_instances
from tests.load_builders import (
    ENTRY_NAMES,
    a_fleet,
    an_instance,
    deliver,
    end_attempt,
    envelopes_from,
    review,
    start_attempt,
)

INDEXES = st.integers(0, len(ENTRY_NAMES) - 1)
NOTHING: frozenset[str] = frozenset()
NORMAL_SECONDS = 0.01
SLOW_SECONDS = 0.2


class ColdStartMachine(RuleBasedStateMachine):
    """Calls, answers, faults and time."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.service = a_service(
            upstreams=[
                an_upstream('strike-1'),
                an_upstream('strike-2'),
                an_upstream('strike-3', zone='ham'),
                an_upstream('strike-4', zone='ham'),
            ],
            policy='home-slots',
        )
        self.fleet = a_fleet(self.service)
        self.flying = []
        self.post = []
        self.revision = 1
        self.lists = {frozenset(ENTRY_NAMES)}
        self.returned = False
        review(self.fleet, 0)

    @rule(index=INDEXES, count=st.integers(1, 8))
    def call(self, index, count):
        node = self.fleet[index]
        for _ in range(count):
            upstream = choose_upstream(node, self.service, NOTHING, self.now)
            if upstream is not None:
                attempt = start_attempt(node, upstream, self.now)
                self.flying.append((node, attempt))

    @rule(
        ending=st.sampled_from([Ending.ANSWERED] * 6 + [Ending.SHED]),
        seconds=st.sampled_from([NORMAL_SECONDS] * 6 + [SLOW_SECONDS]),
        deliveries=st.booleans(),
    )
    def answer_all(self, ending, seconds, deliveries):
        self.now += seconds
        flying, self.flying = self.flying, []
        for node, attempt in flying:
            end_attempt(node, attempt, self.now, ending)
        self.collect()
        if deliveries:
            self.deliver_all()

    @rule(count=st.integers(1, 12), deliveries=st.booleans())
    def work(self, count, deliveries):
        """Warms upstreams by calls that are answered in time."""
        for _ in range(count):
            for index in range(len(self.fleet)):
                self.call(index, 2)
            self.answer_all(Ending.ANSWERED, NORMAL_SECONDS, deliveries)
            self.now += NORMAL_SECONDS
            review(self.fleet, self.now)

    @rule()
    def deliver_all(self):
        post, self.post = self.post, []
        for sender, recipient, message in post:
            deliver(sender, recipient, message, self.now)
        self.collect()

    @rule()
    def lose_all(self):
        self.post = []

    @rule(seconds=st.sampled_from([0.1, 0.5, 3]))
    def wait(self, seconds):
        self.now += seconds
        review(self.fleet, self.now)

    @rule(
        index=INDEXES,
        names=st.sets(st.sampled_from(ENTRY_NAMES), min_size=1),
    )
    def relist(self, index, names):
        self.revision += 1
        node = self.fleet[index]
        set_instances(node, [an_instance(name) for name in names])
        review([node], self.now)
        self.lists.add(frozenset(node.loads.live_instances))

    @rule()
    def withdraw_and_restore(self):
        for state in (ZoneState.WITHDRAWN, ZoneState.IN_SERVICE):
            zones = {'akl': ZoneState.IN_SERVICE, 'ham': state}
            for node in self.fleet:
                node.configuration.publish(
                    a_snapshot(zones=zones, services=[self.service])
                )
            review(self.fleet, self.now)
        for node in self.fleet:
            for upstream in self.service.upstreams[2:]:
                assert level_of(node, upstream, self.now) == 1
        # What was in flight before the withdrawal is let finish.
        self.flying = [
            (node, attempt)
            for node, attempt in self.flying
            if attempt.upstream.zone != 'ham'
        ]

    @invariant()
    def cold_upstreams_get_no_more_than_they_can_bear(self):
        for upstream in self.service.upstreams:
            believed = [
                level_of(node, upstream, self.now) for node in self.fleet
            ]
            if max(believed) >= WARM:
                continue
            # An ejection does not take back what was sent before it.
            since = max(
                node.warmth.record(upstream.name).since for node in self.fleet
            )
            sent = [
                attempt
                for _, attempt in self.flying
                if attempt.upstream.name == upstream.name
                and attempt.started_at > since
            ]
            assert len(sent) <= max(believed) * len(self.lists)

    def collect(self):
        for sender in self.fleet:
            for recipient, message in envelopes_from(self.fleet, sender):
                self.post.append((sender, recipient, message))


ColdStartMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
)
TestColdStart = ColdStartMachine.TestCase


class OneListMachine(ColdStartMachine):
    """The same fleet while all instances have the same list."""

    def relist(self, index, names):
        """Leaves the lists as they are."""


OneListMachine.TestCase.settings = ColdStartMachine.TestCase.settings
TestColdStartWithOneList = OneListMachine.TestCase
