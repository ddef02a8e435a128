"""Stateful tests of a fleet that sends to cold upstreams.

Instances have different member lists, messages are late or lost, zones are
withdrawn and restored, upstreams become slow. In any order of these events,
all instances together have at most as many requests at a cold upstream as it
has open slots, times the number of member lists in use.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chervilstep.calls import Ending
from chervilstep.queries.choice import choose_upstream
from chervilstep.queries.slowstart import total_open_slots
from chervilstep.slowstart import WARM_SLOTS
from chervilstep.snapshot import ZoneState
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
NO_UPSTREAMS: frozenset[str] = frozenset()
NORMAL_SECONDS = 0.01
SLOW_SECONDS = 0.2


class SlowStartMachine(RuleBasedStateMachine):
    """A fleet under calls, answers, faults and the passage of time."""

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
        self.in_flight = []
        self.undelivered = []
        self.revision = 1
        self.lists = {frozenset(ENTRY_NAMES)}
        self.returned = False
        review(self.fleet, 0)

    @rule(index=INDEXES, count=st.integers(1, 8))
    def call(self, index, count):
        node = self.fleet[index]
        for _ in range(count):
            upstream = choose_upstream(
                node, self.service, NO_UPSTREAMS, self.now
            )
            if upstream is not None:
                attempt = start_attempt(node, upstream, self.now)
                self.in_flight.append((node, attempt))

    @rule(
        ending=st.sampled_from([Ending.ANSWERED] * 6 + [Ending.SHED]),
        seconds=st.sampled_from([NORMAL_SECONDS] * 6 + [SLOW_SECONDS]),
        deliveries=st.booleans(),
    )
    def answer_all(self, ending, seconds, deliveries):
        self.now += seconds
        in_flight, self.in_flight = self.in_flight, []
        for node, attempt in in_flight:
            end_attempt(node, attempt, self.now, ending)
        self.collect()
        if deliveries:
            self.deliver_all()

    @rule(count=st.integers(1, 12), deliveries=st.booleans())
    def warm_up(self, count, deliveries):
        """Opens slots by calls that are answered in time."""
        for _ in range(count):
            for index in range(len(self.fleet)):
                self.call(index, 2)
            self.answer_all(Ending.ANSWERED, NORMAL_SECONDS, deliveries)
            self.now += NORMAL_SECONDS
            review(self.fleet, self.now)

    @rule()
    def deliver_all(self):
        undelivered, self.undelivered = self.undelivered, []
        for sender, recipient, message in undelivered:
            deliver(sender, recipient, message, self.now)
        self.collect()

    @rule()
    def lose_messages(self):
        self.undelivered = []

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
                assert total_open_slots(node, upstream, self.now) == 1
        # Requests from before the withdrawal may still finish.
        self.in_flight = [
            (node, attempt)
            for node, attempt in self.in_flight
            if attempt.upstream.zone != 'ham'
        ]

    @invariant()
    def requests_stay_within_the_open_slots(self):
        for upstream in self.service.upstreams:
            open_slots = [
                total_open_slots(node, upstream, self.now)
                for node in self.fleet
            ]
            if max(open_slots) >= WARM_SLOTS:
                continue
            # Requests that were sent before an ejection do not count.
            epoch_started_at = max(
                node.slow_start.get_or_create(upstream.name).epoch_started_at
                for node in self.fleet
            )
            sent = [
                attempt
                for _, attempt in self.in_flight
                if attempt.upstream.name == upstream.name
                and attempt.started_at > epoch_started_at
            ]
            assert len(sent) <= max(open_slots) * len(self.lists)

    def collect(self):
        for sender in self.fleet:
            for recipient, message in envelopes_from(self.fleet, sender):
                self.undelivered.append((sender, recipient, message))


SlowStartMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
)
TestSlowStart = SlowStartMachine.TestCase


class OneListMachine(SlowStartMachine):
    """The same fleet with one member list at all instances."""

    def relist(self, index, names):
        """Keeps the member lists unchanged."""


OneListMachine.TestCase.settings = SlowStartMachine.TestCase.settings
TestSlowStartWithOneList = OneListMachine.TestCase
