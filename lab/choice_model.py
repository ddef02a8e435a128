"""Nodes and servers in virtual time, at the level of single decisions.

Real nodes run the real queries and commands. Upstreams are M/G/c servers with
a short queue, and messages take a fixed delay. Nothing else is modelled: no
connection, no queue but first come first served, and no retry budget.
"""

import heapq
import itertools
import math
import random
from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeAlias

from chervilstep.adapters.capabilities import load_capabilities
from chervilstep.calls import Answer, Attempt, Call, Ending, Outcome, Ticket
from chervilstep.commands.review import query_slow_start
from chervilstep.hooks import (
    ATTEMPT_END_HOOKS,
    ATTEMPT_START_HOOKS,
    HANDLERS,
    TICKS,
    Tick,
)
from chervilstep.loads import InFlightReport
from chervilstep.members import Instance, MemberRecord, MemberState
from chervilstep.messages import EVERY_PEER, Envelope, Message
from chervilstep.node import Node, new_node
from chervilstep.queries.choice import choose_upstream
from chervilstep.services import Service, Upstream
from chervilstep.settings import Settings
from chervilstep.snapshot import Priority, Route, Snapshot, ZoneState
from chervilstep.types import Deadline, Verdict, new_deadline

#: An attempt with the upstreams that its ticket was sent to before.
Job: TypeAlias = tuple[str, Attempt, frozenset[str]]

MEAN_SERVICE_SECONDS = 0.010
ATTEMPTS_PER_TICKET = 3
ATTEMPT_SECONDS = 1.0
TIMEOUT_SECONDS = 2.0
REPORT_PERIOD_SECONDS = 0.2
REPORT_SECONDS = 1.0
STRAGGLER_SECONDS = 2.0
ZONES = ('akl', 'ham', 'tga', 'wlg')
IN_SERVICE = dict.fromkeys(ZONES, ZoneState.IN_SERVICE)
OUT = ZoneState.WITHDRAWN
LOST_ZONE = 'tga'
FAULT_SECONDS = 2.0
COLD_SECONDS = 3.0
SERVICE = 'results'
OK = Answer(200, 'OK', (), b'')
#: The periodic commands that bear on the choice of upstream.
TICK_NAMES = ('flush-news', 'judge-overdue', 'review-upstreams')


class Options:
    """What one run is made of; times are in seconds."""

    __slots__ = (
        'delay',
        'duration',
        'fault',
        'instances',
        'load',
        'policy',
        'queue_limit',
        'seed',
        'servers',
        'sigma',
        'skew',
        'slow',
        'stale',
        'stragglers',
        'warmup',
    )

    def __init__(self, policy: str = 'home-slots', load: float = 0.7) -> None:
        """Creates the options of a fleet of today's size."""
        self.policy = policy
        self.load = load
        self.instances = 17
        self.servers = 14
        self.seed = 1
        self.duration = 20.0
        self.warmup = 4.0
        # Spread of the lognormal service times; 0 makes them exponential.
        self.sigma = 0.5
        self.delay = 0.001
        self.queue_limit = 6
        self.stale = (0.1, 1.0)
        self.stragglers = 0
        # 'zone' takes one out and returns it cold; 'cold' says nothing.
        self.fault = ''
        # How many times slower a straggler is.
        self.slow = 10.0
        # The exponent of the Zipf law by which calls spread over instances.
        self.skew = 0.0


class Server:
    """One upstream: ``slots`` at once, a short queue, and shedding."""

    __slots__ = (
        'busy',
        'cold_until',
        'name',
        'queue',
        'room',
        'served',
        'shed',
        'slots',
        'slow',
        'worst_when_cold',
    )

    def __init__(self, name: str, slots: int, queue_limit: int) -> None:
        """Creates a warm server."""
        self.name = name
        self.slots = slots
        self.room = slots + queue_limit
        self.queue: deque[Job] = deque()
        self.busy = 0
        self.slow = 1.0
        self.cold_until = 0.0
        self.worst_when_cold = 0
        self.served = 0
        self.shed = 0

    @property
    def in_flight(self) -> int:
        """Requests that run or wait here."""
        return self.busy + len(self.queue)


class Fleet:
    """Nodes and servers that share one virtual clock."""

    def __init__(self, options: Options) -> None:
        """Creates a fleet whose upstreams nobody knows yet."""
        load_capabilities()
        self.options = options
        self.rng = random.Random(options.seed)
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[..., None], Any]] = []
        self.order = itertools.count()
        self.latencies: list[float] = []
        self.results: Counter[str] = Counter()
        self.messages: Counter[str] = Counter()
        self.servers: dict[str, Server] = {}
        for index in range(options.servers):
            name = f'{SERVICE}-{index + 1}'
            self.servers[name] = Server(name, 3, options.queue_limit)
        self.upstreams = tuple(
            Upstream(name, '', ZONES[index % len(ZONES)], slots=3)
            for index, name in enumerate(self.servers)
        )
        self.route = new_route()
        self.service = Service(SERVICE, self.upstreams, options.policy)
        self.nodes = self._new_nodes()
        self.queues: dict[str, deque[tuple[Ticket, frozenset[str], int]]] = {
            name: deque() for name in self.nodes
        }
        self.publish(IN_SERVICE)
        for name in self.nodes:
            for tick in TICK_NAMES:
                self.tick(name, TICKS.find(tick))

    def publish(self, zones: Mapping[str, ZoneState]) -> None:
        """Puts a configuration in force on every node."""
        snapshot = Snapshot(zones, [self.service], [self.route], [])
        for node in self.nodes.values():
            node.configuration.publish(snapshot)

    def at(
        self, when: float, function: Callable[..., None], *values: Any
    ) -> None:
        """Schedules a call of ``function``."""
        heapq.heappush(self.heap, (when, next(self.order), function, values))

    def run(self) -> None:
        """Runs until the virtual duration is over."""
        for name, weight in self._weights().items():
            self.at(0, self.arrive, name, weight)
        for server in self.servers.values():
            self.at(0, self.report, server)
        if self.options.stragglers:
            self.at(self.options.warmup, self.straggle, 0)
        fault = self.options.warmup + FAULT_SECONDS
        if self.options.fault == 'zone':
            self.at(fault, self.publish, {**IN_SERVICE, LOST_ZONE: OUT})
            self.at(fault + FAULT_SECONDS, self.publish, IN_SERVICE)
            self.at(fault + FAULT_SECONDS, self.turn_cold)
        if self.options.fault == 'cold':
            self.at(fault, self.turn_cold)
        while self.heap and self.heap[0][0] < self.options.duration:
            self.now, _, function, values = heapq.heappop(self.heap)
            function(*values)

    def rate(self) -> float:
        """Calls a second at the load of this run."""
        slots = sum(server.slots for server in self.servers.values())
        return self.options.load * slots / MEAN_SERVICE_SECONDS

    def tick(self, name: str, tick: Tick) -> None:
        """Runs a periodic command of one node, and schedules the next."""
        tick.command(self.nodes[name], self.now)
        self.settle(name)
        wait = tick.period_seconds * self.rng.uniform(0.9, 1.1)
        self.at(self.now + wait, self.tick, name, tick)

    def arrive(self, name: str, weight: float) -> None:
        """Lets one call arrive and schedules the next one."""
        wait = self.rng.expovariate(self.rate() * weight)
        self.at(self.now + wait, self.arrive, name, weight)
        call = Call(
            'GET', '/results/1', (), b'', key_digest=None, deadline=None
        )
        deadline = new_deadline(self.now, TIMEOUT_SECONDS)
        ticket = Ticket(call, self.route, None, deadline, self.now)
        query_slow_start(self.nodes[name], ticket, self.now)
        self.queues[name].append((ticket, frozenset(), 1))
        self.settle(name)

    def settle(self, name: str) -> None:
        """Sends what can be sent: requests that wait, and messages."""
        node = self.nodes[name]
        queue = self.queues[name]
        while queue:
            ticket, tried, number = queue[0]
            if ticket.deadline.has_passed(self.now):
                queue.popleft()
                self.finish(ticket, 'queue-timeout')
                continue
            upstream = choose_upstream(node, self.service, tried, self.now)
            if upstream is None:
                break
            queue.popleft()
            self.start(name, ticket, upstream, tried, number)
        letters = node.outbox.envelopes
        node.outbox.clear()
        for letter in letters:
            self.send(name, letter)

    def send(self, name: str, letter: Envelope) -> None:
        """Delivers a message after the delay."""
        recipients = [letter.recipient]
        if letter.recipient == EVERY_PEER:
            recipients = [other for other in self.nodes if other != name]
        for recipient in recipients:
            message = letter.message
            self.messages[message.kind] += 1
            arrival = self.now + self.options.delay
            self.at(arrival, self.deliver, recipient, name, message)

    def deliver(self, name: str, sender: str, message: Message) -> None:
        """Hands a message to its handler."""
        handler = HANDLERS.find(message.kind)
        handler(self.nodes[name], sender, message, self.now)
        self.settle(name)

    def start(
        self,
        name: str,
        ticket: Ticket,
        upstream: Upstream,
        tried: frozenset[str],
        number: int,
    ) -> None:
        """Starts an attempt."""
        deadline = new_deadline(self.now, ATTEMPT_SECONDS)
        attempt = Attempt(ticket, upstream, number, self.now, deadline)
        for step in ATTEMPT_START_HOOKS:
            step(self.nodes[name], attempt)
        job = (name, attempt, tried)
        self.at(self.now + self.options.delay, self.reach, job)

    def reach(self, job: Job) -> None:
        """Lets a request reach its server."""
        server = self.servers[job[1].upstream.name]
        if server.in_flight >= server.room:
            server.shed += 1
            arrival = self.now + self.options.delay
            self.at(arrival, self.end, job, Ending.SHED)
            return
        server.queue.append(job)
        if self.now < server.cold_until:
            server.worst_when_cold = max(
                server.worst_when_cold, server.in_flight
            )
        self.serve(server)

    def serve(self, server: Server) -> None:
        """Starts what a server has free slots for."""
        while server.queue and server.busy < server.slots:
            server.busy += 1
            end = self.now + self.service_seconds(server)
            self.at(end, self.served, server, server.queue.popleft())

    def service_seconds(self, server: Server) -> float:
        """Draws a service time; a cold server collapses under more than one."""
        sigma = self.options.sigma
        seconds = self.rng.expovariate(1)
        if sigma:
            seconds = math.exp(self.rng.gauss(0, sigma) - sigma * sigma / 2)
        if self.now < server.cold_until:
            seconds *= 3 * server.busy**2
        return MEAN_SERVICE_SECONDS * server.slow * seconds

    def served(self, server: Server, job: Job) -> None:
        """Ends a request at its server."""
        server.busy -= 1
        server.served += 1
        arrival = self.now + self.options.delay
        self.at(arrival, self.end, job, Ending.ANSWERED)
        self.serve(server)

    def end(self, job: Job, ending: Ending) -> None:
        """Tells the node how the attempt ended."""
        name, attempt, tried = job
        answered = ending is Ending.ANSWERED
        verdict = Verdict.RAN if answered else Verdict.NOT_RUN
        outcome = Outcome(ending, verdict, self.now, OK if answered else None)
        for step in ATTEMPT_END_HOOKS:
            step(self.nodes[name], attempt, outcome)
        ticket = attempt.ticket
        if answered:
            self.finish(ticket, 'answered')
        elif attempt.number >= ATTEMPTS_PER_TICKET:
            self.finish(ticket, 'shed')
        else:
            tried |= {attempt.upstream.name}
            self.queues[name].appendleft((ticket, tried, attempt.number + 1))
        self.settle(name)

    def finish(self, ticket: Ticket, result: str) -> None:
        """Notes the result of one ticket."""
        if self.now >= self.options.warmup:
            self.results[result] += 1
        if ticket.arrived_at >= self.options.warmup and result == 'answered':
            self.latencies.append(self.now - ticket.arrived_at)

    def report(self, server: Server) -> None:
        """Gives every node a report that is as old as the options say."""
        age = self.rng.uniform(*self.options.stale)
        self.at(self.now + age, self.hear, server.name, server.in_flight)
        self.at(self.now + REPORT_PERIOD_SECONDS, self.report, server)

    def hear(self, name: str, in_flight: int) -> None:
        """Hands a report to every node."""
        report = InFlightReport(
            in_flight, new_deadline(self.now, REPORT_SECONDS)
        )
        for node in self.nodes.values():
            node.loads.upstream_load(name).record_report(report)

    def straggle(self, index: int) -> None:
        """Makes one server slow for a while, another one each time."""
        servers = list(self.servers.values())
        server = servers[(index * 5) % len(servers)]
        server.slow = self.options.slow
        self.at(self.now + STRAGGLER_SECONDS, self.recover, server)
        self.at(self.now + 2 * STRAGGLER_SECONDS, self.straggle, index + 1)

    def recover(self, server: Server) -> None:
        """Ends the slowness of a server."""
        server.slow = 1

    def turn_cold(self) -> None:
        """Makes the servers of one zone cold for a while."""
        for upstream in self.upstreams:
            if upstream.zone == LOST_ZONE:
                server = self.servers[upstream.name]
                server.cold_until = self.now + COLD_SECONDS

    def _new_nodes(self) -> dict[str, Node]:
        listed = [
            Instance(f'entry-{index + 1}', ZONES[index % len(ZONES)], '', '')
            for index in range(self.options.instances)
        ]
        seed = self.options.seed * 1000
        return {
            instance.name: new_listed_node(instance, listed, seed + index)
            for index, instance in enumerate(listed)
        }

    def _weights(self) -> dict[str, float]:
        raw = {
            name: (index + 1) ** -self.options.skew
            for index, name in enumerate(self.nodes)
        }
        return {
            name: weight / sum(raw.values()) for name, weight in raw.items()
        }


def new_route() -> Route:
    """Creates the open route to the service of the model."""
    return Route(
        SERVICE,
        f'/{SERVICE}/',
        SERVICE,
        methods=('GET',),
        idempotent=('GET',),
        customers=(),
        is_open=True,
        priority=Priority.NORMAL,
        timeout_seconds=TIMEOUT_SECONDS,
    )


def new_listed_node(
    instance: Instance, listed: Iterable[Instance], seed: int
) -> Node:
    """Creates a node that opens no address and hears every other one."""
    settings = Settings(
        name=instance.name,
        zone=instance.zone,
        entry_address='',
        peer_address='',
        admin_address='',
        configuration_source='',
        peer_secret='',
    )
    node = new_node(settings, seed)
    for each in listed:
        node.members.set_record(
            MemberRecord(each, 1, MemberState.ALIVE, Deadline(math.inf))
        )
    return node
