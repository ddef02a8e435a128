"""Experiments with the dispatcher of one instance in virtual time.

Run as ``python -m lab.dispatching NAME``. A simulated pool replaces the
upstreams, so that the results depend on the policy and not on the network.
"""

import asyncio
import random
import sys
import time
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Final, final

import numpy as np

from chervilstep import queues
from chervilstep.adapters.capabilities import load_capabilities
from chervilstep.adapters.dispatcher import Dispatcher, new_dispatcher
from chervilstep.calls import (
    Answer,
    Attempt,
    Call,
    Ending,
    Outcome,
    Reply,
    Ticket,
)
from chervilstep.commands import budget
from chervilstep.hooks import POLICIES
from chervilstep.node import Node, new_node
from chervilstep.queries import hedging
from chervilstep.refusals import Refusal
from chervilstep.services import Service, Upstream
from chervilstep.settings import Settings
from chervilstep.snapshot import Customer, Priority, Route, Snapshot, ZoneState
from chervilstep.types import Verdict, new_deadline
from lab.virtual_loop import VirtualLoop, run_virtually

SERVERS: Final = 8
SLOTS: Final = 3
MEAN_SERVICE_SECONDS: Final = 0.02
MAX_CALLS_PER_SECOND: Final = SERVERS * SLOTS / MEAN_SERVICE_SECONDS
RUN_SECONDS: Final = 20
#: The number of calls in one measurement of CPU time.
COST_CALLS: Final = 20_000
#: Calls that start in this time are not counted.
WARM_UP_SECONDS: Final = 5
SEEDS: Final = (1, 2, 3)
QUIET: Final = tuple(f'quiet-{index}' for index in range(1, 8))
NOISY: Final = 'noisy'


@POLICIES.register('lab-free-slot')
def pick_free_slot(
    node: Node,
    service: Service,
    usable: tuple[Upstream, ...],
    now: float,
) -> Upstream | None:
    """Picks a random upstream with a free slot."""
    free = [
        upstream
        for upstream in usable
        if node.loads.in_flight(upstream.name) < upstream.slots
    ]
    return node.rng.choice(free) if free else None


@final
class Source:
    """A stream of calls of one customer."""

    __slots__ = ('customer', 'method', 'rate', 'route', 'timeouts')

    def __init__(
        self,
        customer: str,
        rate: float,
        route: str = 'normal',
        method: str = 'POST',
        timeouts: tuple[float, float] = (1, 1),
    ) -> None:
        """Creates a Poisson source of ``rate`` calls per second."""
        self.customer = customer
        self.rate = rate
        self.route = route
        self.method = method
        self.timeouts = timeouts


@final
class SimulatedPool:
    """A pool of upstreams with exponential service times.

    ``slowdowns`` maps names of slow upstreams to factors.
    """

    __slots__ = ('loop', 'rng', 'sent_count', 'slowdowns')

    def __init__(self, loop: VirtualLoop, seed: int) -> None:
        """Creates a pool without slow upstreams."""
        self.loop = loop
        self.rng = random.Random(seed)
        self.slowdowns: dict[str, float] = {}
        self.sent_count = 0

    async def send(self, attempt: Attempt) -> Outcome:
        """Answers after the service time, or times out at the deadline."""
        self.sent_count += 1
        seconds = self.rng.expovariate(1 / MEAN_SERVICE_SECONDS)
        seconds *= self.slowdowns.get(attempt.upstream.name, 1)
        remaining = attempt.deadline.remaining(self.loop.time())
        await asyncio.sleep(min(seconds, remaining))
        now = self.loop.time()
        if seconds > remaining:
            return Outcome(Ending.TIMED_OUT, Verdict.MAY_HAVE_RUN, now)
        answer = Answer(200, 'OK', (), b'')
        return Outcome(Ending.ANSWERED, Verdict.RAN, now, answer)


@final
class ImmediatePool:
    """A pool that answers at once."""

    __slots__ = ('outcome',)

    def __init__(self) -> None:
        """Creates the one outcome of all attempts."""
        answer = Answer(200, 'OK', (), b'')
        self.outcome = Outcome(
            Ending.ANSWERED, Verdict.RAN, time.monotonic(), answer
        )

    async def send(self, attempt: Attempt) -> Outcome:
        """Returns the outcome without waiting."""
        return self.outcome


@final
class Results:
    """Latencies and refusals of calls, by group."""

    __slots__ = ('latencies', 'refusal_counts', 'sent_count')

    def __init__(self) -> None:
        """Creates empty results."""
        self.latencies: dict[str, list[float]] = defaultdict(list)
        self.refusal_counts: dict[str, dict[str, int]] = defaultdict(
            lambda: defaultdict(int)
        )
        self.sent_count = 0

    def record_reply(self, group: str, reply: Reply, seconds: float) -> None:
        """Records one reply."""
        if isinstance(reply, Refusal):
            self.refusal_counts[group][reply.reason] += 1
        else:
            self.latencies[group].append(seconds)

    def print_summary(self, title: str) -> None:
        """Prints one line for each group."""
        print(title)
        for group in sorted({*self.latencies, *self.refusal_counts}):
            answered = self.latencies[group] or [float('nan')]
            p50, p99, p999 = np.percentile(answered, [50, 99, 99.9]) * 1000
            refused = sum(self.refusal_counts[group].values())
            share = len(answered) / (len(answered) + refused)
            print(
                f'  {group:<8} answered {share:7.2%}'
                f'  p50 {p50:7.1f} p99 {p99:7.1f} p99.9 {p999:7.1f} ms'
                f'  {dict(self.refusal_counts[group])}'
            )


def build_node(seed: int) -> Node:
    """Creates a node in front of one service."""
    upstreams = [
        Upstream(f'server-{index}', f'127.0.0.1:{index}', 'akl', SLOTS)
        for index in range(1, SERVERS + 1)
    ]
    snapshot = Snapshot(
        {'akl': ZoneState.IN_SERVICE},
        [Service('service', upstreams, 'lab-free-slot')],
        (),
        (),
    )
    settings = Settings(
        name='entry-1',
        zone='akl',
        entry_address='',
        peer_address='',
        admin_address='',
        configuration_source='',
        peer_secret='lab',
    )
    node = new_node(settings, seed)
    node.configuration.publish(snapshot)
    return node


def result_group(source: Source) -> str:
    """Returns the group of a source in the results.

    Quiet customers form one group for each route.
    """
    name = NOISY if source.customer == NOISY else 'quiet'
    return name if source.route == 'normal' else source.route


def build_ticket(
    source: Source, now: float, timeout: float, customer: str
) -> Ticket:
    """Creates the ticket of an admitted call of a source."""
    route = Route(
        source.route,
        '/',
        'service',
        methods=('GET', 'POST'),
        idempotent=('GET',),
        customers=(),
        is_open=False,
        priority=Priority[source.route.upper()],
        timeout_seconds=timeout,
    )
    call = Call(source.method, '/', (), b'', key_digest=None, deadline=None)
    return Ticket(
        call,
        route,
        Customer(customer, 1, 1, ()),
        new_deadline(now, timeout),
        now,
    )


async def send_calls(
    loop: VirtualLoop,
    node: Node,
    dispatcher: Dispatcher,
    source: Source,
    results: Results,
    *,
    rng: random.Random,
    customer: str,
) -> None:
    """Sends the calls of one source and awaits their replies."""
    tasks: set[asyncio.Task[None]] = set()

    async def send_call(ticket: Ticket) -> None:
        started_at = loop.time()
        budget.earn_tokens(node, ticket, started_at)
        reply = await dispatcher.run(ticket)
        if started_at > WARM_UP_SECONDS:
            results.record_reply(
                result_group(source), reply, loop.time() - started_at
            )

    while loop.time() < RUN_SECONDS:
        await asyncio.sleep(rng.expovariate(source.rate))
        ticket = build_ticket(
            source, loop.time(), rng.uniform(*source.timeouts), customer
        )
        task = loop.create_task(send_call(ticket))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    while tasks:
        await asyncio.wait(tasks)


def run_sources(
    sources: Iterable[Source],
    *,
    is_fifo: bool = False,
    slowdowns: dict[str, float] | None = None,
) -> Results:
    """Runs the sources with each seed.

    If ``is_fifo``, all calls have the same customer, which makes the queue
    FIFO.
    """
    results = Results()
    streams = tuple(sources)
    for seed in SEEDS:

        async def start(loop: VirtualLoop, seed: int = seed) -> None:
            node = build_node(seed)
            pool = SimulatedPool(loop, seed)
            pool.slowdowns = slowdowns or {}
            dispatcher = new_dispatcher(node, pool, loop.time)
            await asyncio.gather(
                *(
                    send_calls(
                        loop,
                        node,
                        dispatcher,
                        source,
                        results,
                        rng=random.Random(f'{seed}{index}'),
                        customer=NOISY if is_fifo else source.customer,
                    )
                    for index, source in enumerate(streams)
                )
            )
            results.sent_count += pool.sent_count

        run_virtually(start)
    return results


def fairness() -> None:
    """Compares FIFO with fair queueing.

    One customer sends at five times its fair rate beside seven quiet ones.
    """
    fair_rate = MAX_CALLS_PER_SECOND / 10
    sources = [Source(name, fair_rate) for name in QUIET]
    sources.append(Source(NOISY, 5 * fair_rate))
    run_sources(sources, is_fifo=True).print_summary('one queue for all (FIFO)')
    run_sources(sources).print_summary('a flow for each customer')


def priority() -> None:
    """Compares priorities with none while 5% of an overload is urgent."""
    load = 1.3 * MAX_CALLS_PER_SECOND
    urgent = [Source(name, 0.05 * load / 7, 'urgent') for name in QUIET]
    bulk = [Source(name, 0.2 * load / 7, 'bulk') for name in QUIET]
    normal = [Source(name, 0.75 * load / 7) for name in QUIET]
    equal = [Source(each.customer, each.rate) for each in urgent + bulk]
    run_sources(equal + normal).print_summary('without priorities')
    run_sources(urgent + bulk + normal).print_summary('with priorities')


def early() -> None:
    """Compares early refusal with refusal at the deadline, at 150% load."""
    sources = [
        Source(name, 1.5 * MAX_CALLS_PER_SECOND / 7, timeouts=(0.05, 2))
        for name in QUIET
    ]
    run_sources(sources).print_summary('refused early')
    min_grants = queues.MIN_GRANTS
    queues.MIN_GRANTS = 10**9  # type: ignore[misc]
    run_sources(sources).print_summary('refused at the deadline')
    queues.MIN_GRANTS = min_grants  # type: ignore[misc]


def hedge() -> None:
    """Compares hedging with none, with and without a slow server."""
    for load in (0.5, 0.7, 0.9):
        sources = [
            Source(name, load * MAX_CALLS_PER_SECOND / 7, method='GET')
            for name in QUIET
        ]
        for slowdowns in ({}, {'server-1': 10.0}):
            label = (
                f'load {load:.0%}, {"a slow server" if slowdowns else "even"}'
            )
            results = run_sources(sources, slowdowns=slowdowns)
            results.print_summary(f'{label}: hedged, {results.sent_count} sent')
            delay = hedging.MIN_HEDGE_DELAY_SECONDS
            hedging.MIN_HEDGE_DELAY_SECONDS = 10  # type: ignore[misc]
            results = run_sources(sources, slowdowns=slowdowns)
            results.print_summary(
                f'{label}: not hedged, {results.sent_count} sent'
            )
            hedging.MIN_HEDGE_DELAY_SECONDS = delay  # type: ignore[misc]


def cost() -> None:
    """Prints the CPU time of a call with a pool that answers at once."""
    for method in ('POST', 'GET'):
        print(
            method,
            [asyncio.run(microseconds_per_call(method)) for _ in SEEDS],
            'us',
        )


async def microseconds_per_call(method: str) -> float:
    """Returns the CPU time of a call in microseconds, without its ticket."""
    node = build_node(1)
    dispatcher = new_dispatcher(node, ImmediatePool(), time.monotonic)
    source = Source(NOISY, 1, method=method)
    started_at = time.process_time()
    for _ in range(COST_CALLS):
        ticket = build_ticket(source, time.monotonic(), 1, NOISY)
        budget.earn_tokens(node, ticket, ticket.arrived_at)
        await dispatcher.run(ticket)
    total_seconds = time.process_time() - started_at
    started_at = time.process_time()
    for _ in range(COST_CALLS):
        build_ticket(source, time.monotonic(), 1, NOISY)
    ticket_seconds = time.process_time() - started_at
    return round((total_seconds - ticket_seconds) / COST_CALLS * 1e6, 1)


EXPERIMENTS: Final[dict[str, Callable[[], None]]] = {
    'cost': cost,
    'early': early,
    'fairness': fairness,
    'hedge': hedge,
    'priority': priority,
}


def main() -> None:
    """Runs the experiment that the first argument names."""
    load_capabilities()
    EXPERIMENTS[sys.argv[1]]()


if __name__ == '__main__':
    main()
