"""Compares ways of keeping customers' rates over many instances.

Run with ``python -m lab.rates``. Every way sees the same calls in virtual
time: Poisson arrivals, spread over the instances after Zipf. A call counts
as refused wrongfully when one bucket for the whole fleet had let it pass.
"""

import heapq
import random
import sys
from typing import Protocol

from chervilstep.registry import Registry, new_registry
from chervilstep.snapshot import Customer, Priority, Route, Snapshot
from lab.virtual_fleet import Fleet, a_fleet, overshoot

READY_SECONDS = 14
SETTLE_SECONDS = 5
RUN_SECONDS = 25
PAUSES_SECONDS = (0.003, 0.005, 0.008, 0.012)
GOSSIP_SECONDS = 0.5
OWNER_TAKEOVER_SECONDS = 8


class Trial:
    """One load: how many instances and customers, and what they send."""

    __slots__ = ('burst', 'customers', 'load', 'rate', 'seed', 'size', 'skew')

    def __init__(
        self,
        size: int = 19,
        customers: int = 8,
        rate: float = 100,
        burst: float = 100,
        load: float = 0.7,
        skew: float = 1,
        seed: int = 1,
    ) -> None:
        self.size = size
        self.customers = customers
        self.rate = rate
        self.burst = burst
        self.load = load
        self.skew = skew
        self.seed = seed

    def __str__(self) -> str:
        return (
            f'N={self.size} customers={self.customers} rate={self.rate} '
            f'burst={self.burst} load={self.load} skew={self.skew}'
        )


class Tally:
    """What came of one trial."""

    __slots__ = ('calls', 'ideal_refusals', 'refusals', 'spent')

    def __init__(self) -> None:
        self.calls = 0
        self.refusals = 0
        self.ideal_refusals = 0
        self.spent: dict[str, list[float]] = {}


class Way(Protocol):
    """One way of keeping the rates."""

    def take(self, name: str, customer: str, now: float) -> bool:
        """Whether the instance ``name`` lets a call pass."""

    def crash(self, name: str, now: float) -> None:
        """Ends an instance without a word."""

    def cost(self, seconds: float) -> str:
        """Messages and bytes for each instance and second."""


WAYS: Registry[type] = new_registry('way')


class SimpleBucket:
    """A token bucket that starts full."""

    __slots__ = ('at', 'burst', 'level', 'rate')

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.at = 0.0

    def refill(self, now: float) -> None:
        minted = self.rate * (now - self.at)
        self.level = min(self.burst, self.level + minted)
        self.at = now

    def take(self, now: float) -> bool:
        self.refill(now)
        if self.level < 1:
            return False
        self.level -= 1
        return True


@WAYS.register('static')
class StaticSplit:
    """Every instance has an equal part of the rate and of the burst."""

    def __init__(self, trial: Trial) -> None:
        part = 1 / trial.size
        self.buckets: dict[tuple[str, str], SimpleBucket] = {}
        self.rate = trial.rate * part
        self.burst = trial.burst * part

    def take(self, name: str, customer: str, now: float) -> bool:
        bucket = self.buckets.setdefault(
            (name, customer), SimpleBucket(self.rate, self.burst)
        )
        return bucket.take(now)

    def crash(self, name: str, now: float) -> None:
        """Nobody takes the part over."""

    def cost(self, seconds: float) -> str:
        return '0 msg/s, 0 B/s'


@WAYS.register('gossip')
class GossipedCounters:
    """Every instance spends from its own copy of the whole bucket.

    It learns twice a second what the others spent.
    """

    def __init__(self, trial: Trial) -> None:
        self.trial = trial
        self.copies: dict[tuple[str, str], SimpleBucket] = {}
        self.spent: dict[tuple[str, str], int] = {}
        self.next_gossip = 0.0

    def take(self, name: str, customer: str, now: float) -> bool:
        if now >= self.next_gossip:
            self.next_gossip = now + GOSSIP_SECONDS
            self.gossip(now)
        key = (name, customer)
        copy = self.copies.setdefault(
            key, SimpleBucket(self.trial.rate, self.trial.burst)
        )
        if not copy.take(now):
            return False
        self.spent[key] = self.spent.get(key, 0) + 1
        return True

    def gossip(self, now: float) -> None:
        for (name, customer), copy in self.copies.items():
            copy.refill(now)
            copy.level -= sum(
                count
                for (other, spender), count in self.spent.items()
                if spender == customer and other != name
            )
        self.spent.clear()

    def crash(self, name: str, now: float) -> None:
        """The others notice nothing."""

    def cost(self, seconds: float) -> str:
        return f'{(self.trial.size - 1) / GOSSIP_SECONDS:.0f} msg/s'


@WAYS.register('owner')
class OwnerPerCustomer:
    """One instance owns each bucket and is asked for every call."""

    def __init__(self, trial: Trial) -> None:
        self.trial = trial
        self.buckets: dict[str, SimpleBucket] = {}
        self.blocked: dict[str, float] = {}
        self.asked = 0

    def owner(self, customer: str) -> str:
        return f'e{int(customer[1:]) % self.trial.size + 1}'

    def take(self, name: str, customer: str, now: float) -> bool:
        if now < self.blocked.get(customer, 0):
            return False
        if name != self.owner(customer):
            self.asked += 2
        bucket = self.buckets.setdefault(
            customer, SimpleBucket(self.trial.rate, self.trial.burst)
        )
        return bucket.take(now)

    def crash(self, name: str, now: float) -> None:
        for number in range(self.trial.customers):
            customer = f'c{number}'
            if self.owner(customer) == name:
                self.blocked[customer] = now + OWNER_TAKEOVER_SECONDS

    def cost(self, seconds: float) -> str:
        return f'{self.asked / seconds / self.trial.size:.0f} msg/s'


@WAYS.register('leased shards')
class LeasedShards:
    """The way that chervilstep takes, by its own commands."""

    def __init__(self, trial: Trial) -> None:
        self.fleet: Fleet = a_fleet(trial.size, snapshot_of(trial), trial.seed)
        self.fleet.run(READY_SECONDS)
        self.start = self.fleet.now
        self.messages = self.fleet.messages_sent
        self.sent = self.fleet.bytes_sent

    def take(self, name: str, customer: str, now: float) -> bool:
        due = self.start + now
        self.fleet.run(max(0, due - self.fleet.now))
        return self.fleet.call(name, customer)

    def crash(self, name: str, now: float) -> None:
        self.fleet.kill(name)

    def cost(self, seconds: float) -> str:
        each = seconds * len(self.fleet.nodes)
        messages = (self.fleet.messages_sent - self.messages) / each
        sent = (self.fleet.bytes_sent - self.sent) / each
        return f'{messages:.0f} msg/s, {sent:.0f} B/s'


def snapshot_of(trial: Trial) -> Snapshot:
    customers = [
        Customer(f'c{number}', trial.rate, trial.burst, [f'digest-{number}'])
        for number in range(trial.customers)
    ]
    route = Route(
        'any',
        '/',
        'any',
        methods=('GET',),
        idempotent=('GET',),
        customers=[customer.name for customer in customers],
        is_open=False,
        priority=Priority.NORMAL,
        timeout_seconds=1,
    )
    return Snapshot({}, (), [route], customers)


def arrivals(trial: Trial) -> list[tuple[float, str, str, int]]:
    """The calls: when, at which instance, whose, and which try."""
    rng = random.Random(trial.seed)
    names = [f'e{number}' for number in range(1, trial.size + 1)]
    weights = [1 / place**trial.skew for place in range(1, trial.size + 1)]
    calls = []
    for number in range(trial.customers):
        order = rng.sample(names, len(names))
        now = rng.expovariate(trial.rate * trial.load)
        while now < RUN_SECONDS:
            (name,) = rng.choices(order, weights)
            calls.append((now, name, f'c{number}', 0))
            now += rng.expovariate(trial.rate * trial.load)
    heapq.heapify(calls)
    return calls


def run(way: Way, trial: Trial, crash_at: float | None = None) -> Tally:
    """Sends the calls; the instance e1 crashes when ``crash_at`` is given."""
    tally = Tally()
    ideal: dict[str, SimpleBucket] = {}
    calls = arrivals(trial)
    gone = ''
    while calls:
        now, name, customer, tries = heapq.heappop(calls)
        if crash_at is not None and now >= crash_at and not gone:
            gone = 'e1'
            way.crash(gone, now)
        if name == gone:
            # Its callers have failed over to another instance.
            name = f'e{2 + int(now * 1000) % (trial.size - 1)}'
        counts = now > SETTLE_SECONDS and tries == 0
        if tries == 0:
            bucket = ideal.setdefault(
                customer, SimpleBucket(trial.rate, trial.burst)
            )
            is_due = bucket.take(now)
            tally.calls += counts
            tally.ideal_refusals += counts and not is_due
        if way.take(name, customer, now):
            tally.spent.setdefault(customer, []).append(now)
        elif tries < len(PAUSES_SECONDS) and isinstance(way, LeasedShards):
            again = now + PAUSES_SECONDS[tries]
            heapq.heappush(calls, (again, name, customer, tries + 1))
        else:
            tally.refusals += now > SETTLE_SECONDS
    return tally


def report(kind: str, trial: Trial, crash_at: float | None = None) -> None:
    """Prints what one way makes of one trial."""
    way: Way = WAYS.find(kind)(trial)
    tally = run(way, trial, crash_at)
    excess = max(
        (
            overshoot(times, trial.rate, trial.burst)
            for times in tally.spent.values()
        ),
        default=0,
    )
    sys.stdout.write(
        f'{kind:14} {trial}{" crash" if crash_at else ""}: '
        f'refused {100 * tally.refusals / tally.calls:.2f} %, '
        f'one bucket {100 * tally.ideal_refusals / tally.calls:.2f} %, '
        f'overshoot {excess:.1f}, {way.cost(RUN_SECONDS)}\n'
    )
    sys.stdout.flush()


def main() -> None:
    """Prints the comparison, the crash and the cost over sizes."""
    for burst in (100, 20, 5):
        for kind in WAYS.names:
            report(kind, Trial(burst=burst, customers=4))
    for kind in WAYS.names:
        report(kind, Trial(customers=4), crash_at=10)
    for size in (5, 10, 19):
        report('leased shards', Trial(size))
    for load in (0.9, 3):
        report('leased shards', Trial(customers=4, load=load))


if __name__ == '__main__':
    main()
