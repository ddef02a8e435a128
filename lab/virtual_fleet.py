"""Instances in virtual time over a network that loses and repeats messages.

Only the commands that the instances register run here; there is no I/O.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from typing import Any

import chervilstep.commands.shares  # noqa: F401 - registers the commands
import chervilstep.queries.shares  # noqa: F401 - registers the check
from chervilstep import hooks
from chervilstep.adapters import codec
from chervilstep.calls import Call, Ticket
from chervilstep.hooks import HANDLERS, TICKS
from chervilstep.members import Instance
from chervilstep.messages import Message
from chervilstep.node import Node, new_node
from chervilstep.refusals import RATE_EXCEEDED, Refusal
from chervilstep.settings import Settings
from chervilstep.snapshot import Snapshot
from chervilstep.types import new_deadline

SHARE_TICKS = ('leases', 'loans', 'shares')
ZONES = ('akl', 'ham', 'tga', 'wlg')


#: An instance's name, and an act of it with its values.
Act = tuple[str, Any, Any]


class Network:
    """Decides what becomes of each message."""

    __slots__ = ('cut', 'delay', 'double', 'lose')

    def __init__(self) -> None:
        self.delay = 0.001
        self.lose = 0.0
        self.double = 0.0
        #: Which side of a cut an instance is on; zero without a cut.
        self.cut: dict[str, int] = {}

    def connects(self, one: str, two: str) -> bool:
        return self.cut.get(one, 0) == self.cut.get(two, 0)


class Fleet:
    """Runs instances and the calls to them in the order of virtual time."""

    __slots__ = (
        'bytes_sent',
        'events',
        'messages_sent',
        'network',
        'nodes',
        'now',
        'order',
        'paused',
        'revision',
        'rng',
        'snapshot',
        'spent',
        'starts',
    )

    def __init__(self, snapshot: Snapshot, seed: int = 1) -> None:
        self.snapshot = snapshot
        self.rng = random.Random(seed)
        self.network = Network()
        self.nodes: dict[str, Node] = {}
        self.paused: dict[str, list[Act]] = {}
        self.now = 1000.0
        self.revision = 1
        self.events: list[tuple[float, int, str, Any, Any]] = []
        self.order = itertools.count()
        self.starts = itertools.count(1)
        #: When each token was spent, by customer.
        self.spent: dict[str, list[float]] = {}
        self.messages_sent = 0
        self.bytes_sent = 0

    def at(
        self, when: float, name: str, act: Callable[..., None], *values: Any
    ) -> None:
        """Schedules an act of the instance ``name``."""
        heapq.heappush(self.events, (when, next(self.order), name, act, values))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            when, _, name, act, values = heapq.heappop(self.events)
            self.now = max(self.now, when)
            if name in self.paused:
                self.paused[name].append((name, act, values))
            elif name in self.nodes:
                act(name, *values)
                self._flush(name)
        self.now = end

    def start(
        self, name: str, listing: tuple[int, list[Instance]] | None = None
    ) -> None:
        """Starts an instance, or starts it again without its memory."""
        seed = next(self.starts) * 7919 + self.rng.getrandbits(20)
        node = new_node(a_virtual_settings(name), seed)
        node.configuration.publish(self.snapshot)
        self.nodes[name] = node
        self.paused.pop(name, None)
        if listing:
            node.members.replace(*listing)
        for tick in SHARE_TICKS:
            first = self.rng.uniform(0, TICKS.find(tick).period_seconds)
            self.at(self.now + first, name, self._tick, tick, node)

    def kill(self, name: str) -> None:
        self.nodes.pop(name, None)
        self.paused.pop(name, None)

    def pause(self, name: str) -> None:
        self.paused.setdefault(name, [])

    def resume(self, name: str) -> None:
        for owner, act, values in self.paused.pop(name, ()):
            self.at(self.now, owner, act, *values)

    def call(self, name: str, customer: str) -> bool:
        """Sends one call; whether it was let pass."""
        node = self.nodes.get(name)
        if node is None or name in self.paused:
            return False
        refusal = self._try(node, customer)
        self._flush(name)
        return refusal is None

    def set_list(
        self,
        revision: int,
        names: Iterable[str],
        reaching: Iterable[str] | None = None,
    ) -> None:
        listing = a_virtual_listing(names)
        for name in reaching or self.nodes:
            if name in self.nodes:
                self.nodes[name].members.replace(revision, listing)

    def listing(self, names: Iterable[str]) -> tuple[int, list[Instance]]:
        """The next revision of the platform's list."""
        self.revision += 1
        return self.revision, a_virtual_listing(names)

    def votes(self, name: str) -> bool:
        node = self.nodes.get(name)
        return node is not None and node.leases.voting.is_voting

    def _try(self, node: Node, customer: str) -> Refusal | None:
        found = node.snapshot.customers[customer]
        call = Call(
            'GET', '/', (), b'', key_digest=min(found.digests), deadline=None
        )
        route = node.snapshot.routes[0]
        ticket = Ticket(call, route, found, new_deadline(self.now, 1), self.now)
        for check in hooks.CHECKS:
            if check(node, ticket, self.now) is RATE_EXCEEDED:
                for told in hooks.REFUSED_CALLS:
                    told(node, call, RATE_EXCEEDED, self.now)
                return RATE_EXCEEDED
        self.spent.setdefault(customer, []).append(self.now)
        for charge in hooks.CHARGES:
            charge(node, ticket, self.now)
        return None

    def _tick(self, name: str, tick: str, node: Node) -> None:
        if self.nodes.get(name) is not node:
            return
        TICKS.find(tick).command(node, self.now)
        period = TICKS.find(tick).period_seconds
        again = self.now + period * self.rng.uniform(0.9, 1.1)
        self.at(again, name, self._tick, tick, node)

    def _flush(self, name: str) -> None:
        node = self.nodes[name]
        letters = node.outbox.letters
        node.outbox.clear()
        for letter in letters:
            self.messages_sent += 1
            self.bytes_sent += len(codec.encode(letter.message))
            copies = 2 if self.rng.random() < self.network.double else 1
            for _ in range(copies):
                if self.rng.random() >= self.network.lose:
                    delay = self.network.delay * self.rng.uniform(1, 2)
                    self.at(
                        self.now + delay,
                        letter.recipient,
                        self._deliver,
                        name,
                        letter.message,
                    )

    def _deliver(self, name: str, sender: str, message: Message) -> None:
        if self.network.connects(name, sender):
            take = HANDLERS.find(message.kind)
            take(self.nodes[name], sender, message, self.now)


def a_virtual_settings(name: str) -> Settings:
    return Settings(
        name=name,
        zone=ZONES[int(name[1:]) % len(ZONES)],
        entry_address='127.0.0.1:0',
        peer_address='127.0.0.1:0',
        admin_address='127.0.0.1:0',
        configuration_source='file:unused.toml',
        peer_secret='unused',
    )


def a_virtual_listing(names: Iterable[str]) -> list[Instance]:
    return [
        Instance(name, ZONES[int(name[1:]) % len(ZONES)], 'unused', 'unused')
        for name in sorted(names)
    ]


def a_fleet(size: int, snapshot: Snapshot, seed: int = 1) -> Fleet:
    """Starts ``size`` instances at once and waits until all are ready."""
    fleet = Fleet(snapshot, seed)
    names = [f'e{index}' for index in range(1, size + 1)]
    listing = (1, a_virtual_listing(names))
    for name in names:
        fleet.start(name, listing)
    return fleet


def overshoot(times: list[float], rate: float, burst: float) -> float:
    """The most by which any window exceeds ``burst + rate * window``."""
    # A bucket that is full at first and never refuses goes below zero by
    # just the worst overshoot of any window.
    level = burst
    worst = 0.0
    last = times[0] if times else 0.0
    for time in times:
        level = min(burst, level + rate * (time - last)) - 1
        last = time
        worst = max(worst, -level)
    return worst
