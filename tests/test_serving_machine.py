"""Stateful test of the dispatcher.

Random sequences of calls, failed attempts, cancellations, pauses of the
process and changes of zones and upstreams must keep the invariants below.
"""

import asyncio

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from chervilstep.calls import Ending
from chervilstep.estimates import MIN_ANSWERS
from chervilstep.refusals import Refusal
from chervilstep.services import UpstreamState
from chervilstep.snapshot import ZoneState
from chervilstep.types import Verdict, new_deadline
from lab.virtual_loop import VirtualLoop
from tests.builders import (
    a_call,
    a_customer,
    a_route,
    a_service,
    a_snapshot,
    an_unlimited_node,
    an_upstream,
)
from tests.dispatch_builders import HeldPool, a_dispatcher

ZONES = ('akl', 'ham')
SLOTS = 2
SERVERS = {'strike-1': 'akl', 'strike-2': 'akl', 'strike-3': 'ham'}
CUSTOMERS = ('fletcher', 'cement')
ENDINGS = sorted(
    set(Ending) - {Ending.CANCELLED, Ending.TIMED_OUT},
    key=lambda ending: ending.value,
)
#: Enough iterations of the event loop to run every callback that is ready.
LOOP_TURNS = 24


class SentCall:
    """A call and the task that handles it."""

    def __init__(self, call, task):
        self.call = call
        self.task = task


class CheckedPool(HeldPool):
    """Checks each attempt against the current configuration when it is sent."""

    def __init__(self, loop, node):
        super().__init__(loop)
        self.node = node

    async def send(self, attempt):
        now = self.loop.time()
        upstream = attempt.upstream
        current = {
            server.name: server
            for server in self.node.snapshot.services['strike'].upstreams
        }[upstream.name]
        assert not current.is_leaving
        assert not self.node.snapshot.is_withdrawn(upstream.zone)
        assert not attempt.deadline.has_passed(now)
        assert attempt.deadline.at <= attempt.ticket.deadline.at
        return await super().send(attempt)


class Serving(RuleBasedStateMachine):
    """Calls of two customers to three upstreams in two zones."""

    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        self.withdrawn = set()
        self.leaving = set()
        self.node = an_unlimited_node(self.snapshot())
        for _ in range(MIN_ANSWERS):
            # Makes the dispatcher hedge idempotent calls after 0.05 s.
            self.node.latency_estimates.record('strike', 0.05)
        self.pool = CheckedPool(self.loop, self.node)
        self.dispatcher = a_dispatcher(self.loop, self.pool, self.node)
        self.calls = []

    def snapshot(self):
        zones = {
            zone: ZoneState.WITHDRAWN
            if zone in self.withdrawn
            else ZoneState.IN_SERVICE
            for zone in ZONES
        }
        servers = [
            an_upstream(
                name,
                zone,
                slots=SLOTS,
                state=UpstreamState.LEAVING
                if name in self.leaving
                else UpstreamState.ACTIVE,
            )
            for name, zone in SERVERS.items()
        ]
        return a_snapshot(
            zones,
            [a_service(upstreams=servers, policy='free-slot')],
            [a_route(customers=CUSTOMERS)],
            [a_customer(name, key=name) for name in CUSTOMERS],
        )

    def settle(self):
        for _ in range(LOOP_TURNS):
            self.loop.run_ready()

    def publish(self):
        self.node.configuration.publish(self.snapshot())
        self.loop.call_soon(self.dispatcher.wake)
        self.settle()

    @rule(
        method=st.sampled_from(['GET', 'POST']),
        customer=st.sampled_from(CUSTOMERS),
        seconds=st.sampled_from([0.2, 1, 5]),
        outer=st.sampled_from([1, 1, 1, 2]),
        count=st.integers(1, 8),
    )
    def send(self, method, customer, seconds, outer, count):
        for _ in range(count):
            call = a_call(
                method,
                target=f'/strike/{len(self.calls)}',
                key=customer,
                attempt=outer,
                deadline=new_deadline(self.loop.time(), seconds),
            )
            task = self.loop.create_task(self.dispatcher.handle(call))
            self.calls.append(SentCall(call, task))
        self.settle()

    @precondition(lambda self: self.pool.held)
    @rule(
        pick=st.integers(0, 100),
        ending=st.sampled_from([Ending.ANSWERED, *ENDINGS]),
        ran=st.booleans(),
    )
    def finish(self, pick, ending, ran):
        held_attempt = self.pool.held[pick % len(self.pool.held)]
        self.pool.finish(held_attempt, ending, ran)
        self.settle()

    @precondition(lambda self: self.pool.held)
    @rule(pick=st.integers(0, 100), turns=st.integers(0, 6))
    def finish_and_cancel(self, pick, turns):
        """Cancels an unfinished call while a freed slot is passed on.

        The number of loop iterations in between varies, so that the
        cancellation can come before or after the grant of the slot.
        """
        held_attempt = self.pool.held[pick % len(self.pool.held)]
        self.pool.finish(held_attempt, Ending.SHED, ran=False)
        for _ in range(turns):
            self.loop.run_ready()
        pending = [sent for sent in self.calls if not sent.task.done()]
        if pending:
            pending[pick % len(pending)].task.cancel()
        self.settle()

    @precondition(lambda self: self.pool.held)
    @rule(pick=st.integers(0, 100), turns=st.integers(0, 6))
    def finish_and_pause(self, pick, turns):
        """Pauses the process between a grant and the sending."""
        held_attempt = self.pool.held[pick % len(self.pool.held)]
        self.pool.finish(held_attempt, Ending.SHED, ran=False)
        for _ in range(turns):
            self.loop.run_ready()
        self.loop.advance(10)
        self.settle()

    @rule(pick=st.integers(0, 100))
    def cancel(self, pick):
        pending = [sent for sent in self.calls if not sent.task.done()]
        if pending:
            pending[pick % len(pending)].task.cancel()
            self.settle()

    @rule(seconds=st.sampled_from([0.01, 0.06, 0.3, 1]))
    def wait(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))
        self.settle()

    @rule(seconds=st.sampled_from([0.5, 10]))
    def pause(self, seconds):
        """Pauses the process, so that timers and deadlines pass."""
        self.loop.advance(seconds)
        self.settle()

    @rule(zone=st.sampled_from(ZONES))
    def switch_zone(self, zone):
        self.withdrawn ^= {zone}
        self.publish()

    @rule(name=st.sampled_from(sorted(SERVERS)))
    def switch_upstream(self, name):
        self.leaving ^= {name}
        self.publish()

    @invariant()
    def no_call_runs_twice_or_after_a_not_run_refusal(self):
        for sent in self.calls:
            runs = sum(
                attempt.ticket.call is sent.call for attempt in self.pool.runs
            )
            if sent.call.method == 'POST':
                assert runs <= 1
            if sent.task.done() and not sent.task.cancelled():
                reply = sent.task.result()
                if isinstance(reply, Refusal):
                    assert not runs or reply.verdict is not Verdict.NOT_RUN

    @invariant()
    def no_upstream_is_tried_twice(self):
        tried = [
            (id(attempt.ticket.call), attempt.upstream.name)
            for attempt in self.pool.sent
        ]
        assert len(tried) == len(set(tried))

    @invariant()
    def in_flight_counts_match_the_pool(self):
        for name in SERVERS:
            held = sum(
                held_attempt.attempt.upstream.name == name
                for held_attempt in self.pool.held
            )
            assert held == self.node.loads.in_flight(name)
            assert held <= SLOTS

    @invariant()
    def retries_keep_to_the_budget(self):
        sent_calls = len(
            {id(attempt.ticket.call) for attempt in self.pool.sent}
        )
        retries = len(self.pool.sent) - sent_calls
        allowances = self.node.settings.allowances
        windows = 1 + self.loop.time() / allowances.retry_window_seconds
        reserve = allowances.retry_reserve * windows
        bound = allowances.retry_ratio * len(self.calls) + reserve
        assert retries <= bound

    @invariant()
    def no_call_waits_while_a_slot_is_free(self):
        usable = sum(
            SLOTS - self.node.loads.in_flight(name)
            for name, zone in SERVERS.items()
            if zone not in self.withdrawn and name not in self.leaving
        )
        waiting = [
            waiter
            for waiter in self.node.queues.queue('strike')
            if not waiter.is_retry
        ]
        assert not usable or not waiting

    def teardown(self):
        for _ in range(3):
            self.loop.run_until_complete(asyncio.sleep(6))
        self.settle()
        assert all(sent.task.done() for sent in self.calls)
        assert not self.pool.held
        assert not len(self.node.queues.queue('strike'))
        assert not self.node.queues.body_bytes
        self.loop.close()


Serving.TestCase.settings = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    database=None,
    # Failing examples are not shrunk, since that takes minutes.
    phases=(Phase.generate,),
)
TestServing = Serving.TestCase
