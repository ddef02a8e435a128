"""Experiments with the dispatcher of one instance in virtual time.

Run as ``python -m lab.dispatching NAME``. The upstreams are a fake pool, so
the figures show the policy and not the cost of the network.
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
MEAN_SECONDS: Final = 0.02
CAPACITY: Final = SERVERS * SLOTS / MEAN_SECONDS
RUN_SECONDS: Final = 20
#: Calls of one measurement of the processor time.
COST_CALLS: Final = 20_000
#: The start of a run is not counted.
WARM_UP_SECONDS: Final = 5
SEEDS: Final = (1, 2, 3)
QUIET: Final = tuple(f'quiet-{index}' for index in range(1, 8))
NOISY: Final = 'noisy'


@POLICIES.register('lab-free-slot')
def pick_free(
    node: Node,
    service: Service,
    usable: tuple[Upstream, ...],
    now: float,
) -> Upstream | None:
    """Picks any upstream with a free slot."""
    free = [
        upstream
        for upstream in usable
        if node.loads.in_flight(upstream.name) < upstream.slots
    ]
    return node.rng.choice(free) if free else None


@final
class Source:
    """A customer's stream of calls."""

    __slots__ = ('customer', 'method', 'rate', 'route', 'timeouts')

    def __init__(
        self,
        customer: str,
        rate: float,
        route: str = 'normal',
        method: str = 'POST',
        timeouts: tuple[float, float] = (1, 1),
    ) -> None:
        """Creates a source of ``rate`` calls a second (Poisson)."""
        self.customer = customer
        self.rate = rate
        self.route = route
        self.method = method
        self.timeouts = timeouts


@final
class LabPool:
    """Upstreams with exponential service times, some of them slow."""

    __slots__ = ('loop', 'rng', 'sent', 'slow')

    def __init__(self, loop: VirtualLoop, seed: int) -> None:
        """Creates the upstreams."""
        self.loop = loop
        self.rng = random.Random(seed)
        self.slow: dict[str, float] = {}
        self.sent = 0

    async def send(self, attempt: Attempt) -> Outcome:
        """Answers after the service time, or not before the deadline."""
        self.sent += 1
        seconds = self.rng.expovariate(1 / MEAN_SECONDS)
        seconds *= self.slow.get(attempt.upstream.name, 1)
        left = attempt.deadline.remaining(self.loop.time())
        await asyncio.sleep(min(seconds, left))
        now = self.loop.time()
        if seconds > left:
            return Outcome(Ending.TIMED_OUT, Verdict.MAY_HAVE_RUN, now)
        answer = Answer(200, 'OK', (), b'')
        return Outcome(Ending.ANSWERED, Verdict.RAN, now, answer)


@final
class NullPool:
    """Answers at once."""

    __slots__ = ('outcome',)

    def __init__(self) -> None:
        """Prepares the answer."""
        answer = Answer(200, 'OK', (), b'')
        self.outcome = Outcome(
            Ending.ANSWERED, Verdict.RAN, time.monotonic(), answer
        )

    async def send(self, attempt: Attempt) -> Outcome:
        """Returns the answer without waiting."""
        return self.outcome


@final
class Results:
    """What became of the calls, by group."""

    __slots__ = ('latencies', 'reasons', 'sent')

    def __init__(self) -> None:
        """Starts empty."""
        self.latencies: dict[str, list[float]] = defaultdict(list)
        self.reasons: dict[str, dict[str, int]] = defaultdict(
            lambda: defaultdict(int)
        )
        self.sent = 0

    def take(self, group: str, reply: Reply, seconds: float) -> None:
        """Counts one reply."""
        if isinstance(reply, Refusal):
            self.reasons[group][reply.reason] += 1
        else:
            self.latencies[group].append(seconds)

    def show(self, title: str) -> None:
        """Prints a line for each group."""
        print(title)
        for group in sorted({*self.latencies, *self.reasons}):
            answered = self.latencies[group] or [float('nan')]
            p50, p99, p999 = np.percentile(answered, [50, 99, 99.9]) * 1000
            refused = sum(self.reasons[group].values())
            share = len(answered) / (len(answered) + refused)
            print(
                f'  {group:<8} answered {share:7.2%}'
                f'  p50 {p50:7.1f} p99 {p99:7.1f} p99.9 {p999:7.1f} ms'
                f'  {dict(self.reasons[group])}'
            )


def build_node(seed: int) -> Node:
    """Creates an instance before one service."""
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


def group_of(source: Source) -> str:
    """Quiet customers are shown as one group for each route."""
    name = NOISY if source.customer == NOISY else 'quiet'
    return name if source.route == 'normal' else source.route


def build_ticket(
    source: Source, now: float, timeout: float, customer: str
) -> Ticket:
    """Creates an admitted call of a source."""
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


async def play(
    loop: VirtualLoop,
    node: Node,
    dispatcher: Dispatcher,
    source: Source,
    results: Results,
    *,
    rng: random.Random,
    customer: str,
) -> None:
    """Sends the calls of one source."""
    tasks: set[asyncio.Task[None]] = set()

    async def one(ticket: Ticket) -> None:
        started_at = loop.time()
        budget.earn_tokens(node, ticket, started_at)
        reply = await dispatcher.run(ticket)
        if started_at > WARM_UP_SECONDS:
            results.take(group_of(source), reply, loop.time() - started_at)

    while loop.time() < RUN_SECONDS:
        await asyncio.sleep(rng.expovariate(source.rate))
        ticket = build_ticket(
            source, loop.time(), rng.uniform(*source.timeouts), customer
        )
        task = loop.create_task(one(ticket))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    while tasks:
        await asyncio.wait(tasks)


def run(
    sources: Iterable[Source],
    *,
    shares_one_line: bool = False,
    slow: dict[str, float] | None = None,
) -> Results:
    """Runs the sources with each seed; one line makes the queue FIFO."""
    results = Results()
    streams = tuple(sources)
    for seed in SEEDS:

        async def start(loop: VirtualLoop, seed: int = seed) -> None:
            node = build_node(seed)
            pool = LabPool(loop, seed)
            pool.slow = slow or {}
            dispatcher = new_dispatcher(node, pool, loop.time)
            await asyncio.gather(
                *(
                    play(
                        loop,
                        node,
                        dispatcher,
                        source,
                        results,
                        rng=random.Random(f'{seed}{index}'),
                        customer=NOISY if shares_one_line else source.customer,
                    )
                    for index, source in enumerate(streams)
                )
            )
            results.sent += pool.sent

        run_virtually(start)
    return results


def fairness() -> None:
    """A customer at five times its rate beside seven quiet ones."""
    fair = CAPACITY / 10
    sources = [Source(name, fair) for name in QUIET]
    sources.append(Source(NOISY, 5 * fair))
    run(sources, shares_one_line=True).show('one line for all (FIFO)')
    run(sources).show('a line for each customer')


def priority() -> None:
    """Urgent calls at 5% of an overload."""
    load = 1.3 * CAPACITY
    urgent = [Source(name, 0.05 * load / 7, 'urgent') for name in QUIET]
    bulk = [Source(name, 0.2 * load / 7, 'bulk') for name in QUIET]
    normal = [Source(name, 0.75 * load / 7) for name in QUIET]
    flat = [Source(each.customer, each.rate) for each in urgent + bulk]
    run(flat + normal).show('every route alike')
    run(urgent + bulk + normal).show('by class')


def early() -> None:
    """Refusing early against waiting until the deadline, at 150% load."""
    sources = [
        Source(name, 1.5 * CAPACITY / 7, timeouts=(0.05, 2)) for name in QUIET
    ]
    run(sources).show('refused early')
    patient = queues.MIN_GRANTS
    queues.MIN_GRANTS = 10**9  # type: ignore[misc]
    run(sources).show('refused at the deadline')
    queues.MIN_GRANTS = patient  # type: ignore[misc]


def hedge() -> None:
    """Hedging against none, with and without a slow server."""
    for load in (0.5, 0.7, 0.9):
        sources = [
            Source(name, load * CAPACITY / 7, method='GET') for name in QUIET
        ]
        for slow in ({}, {'server-1': 10.0}):
            label = f'load {load:.0%}, {"a slow server" if slow else "even"}'
            results = run(sources, slow=slow)
            results.show(f'{label}: hedged, {results.sent} sent')
            delay = hedging.MIN_HEDGE_DELAY_SECONDS
            hedging.MIN_HEDGE_DELAY_SECONDS = 10  # type: ignore[misc]
            results = run(sources, slow=slow)
            results.show(f'{label}: not hedged, {results.sent} sent')
            hedging.MIN_HEDGE_DELAY_SECONDS = delay  # type: ignore[misc]


def cost() -> None:
    """The processor time of a call with a pool that answers at once."""
    for method in ('POST', 'GET'):
        print(method, [asyncio.run(spend(method)) for _ in SEEDS], 'us')


async def spend(method: str) -> float:
    """Returns the microseconds of a call."""
    node = build_node(1)
    dispatcher = new_dispatcher(node, NullPool(), time.monotonic)
    source = Source(NOISY, 1, method=method)
    started_at = time.process_time()
    for _ in range(COST_CALLS):
        ticket = build_ticket(source, time.monotonic(), 1, NOISY)
        budget.earn_tokens(node, ticket, ticket.arrived_at)
        await dispatcher.run(ticket)
    total = time.process_time() - started_at
    started_at = time.process_time()
    for _ in range(COST_CALLS):
        build_ticket(source, time.monotonic(), 1, NOISY)
    alone = time.process_time() - started_at
    return round((total - alone) / COST_CALLS * 1e6, 1)


EXPERIMENTS: Final[dict[str, Callable[[], None]]] = {
    'cost': cost,
    'early': early,
    'fairness': fairness,
    'hedge': hedge,
    'priority': priority,
}


def main() -> None:
    """Runs the experiment that the arguments name."""
    load_capabilities()
    EXPERIMENTS[sys.argv[1]]()


if __name__ == '__main__':
    main()
