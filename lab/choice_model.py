"""Simulates the choice of upstreams in virtual time.

Real nodes run the real queries and commands. Upstreams are M/G/c servers with
a short queue, and messages take a fixed delay. Connections, queues other than
first come, first served, and retry budgets are not modelled.
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

#: The node that sent the request, the attempt and the upstreams tried before.
ServerJob: TypeAlias = tuple[str, Attempt, frozenset[str]]

MEAN_SERVICE_SECONDS = 0.010
ATTEMPTS_PER_TICKET = 3
ATTEMPT_TIMEOUT_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 2.0
REPORT_PERIOD_SECONDS = 0.2
REPORT_VALID_SECONDS = 1.0
STRAGGLER_SECONDS = 2.0
ZONES = ('akl', 'ham', 'tga', 'wlg')
IN_SERVICE = dict.fromkeys(ZONES, ZoneState.IN_SERVICE)
WITHDRAWN = ZoneState.WITHDRAWN
FAULT_ZONE = 'tga'
FAULT_SECONDS = 2.0
COLD_SECONDS = 3.0
SERVICE = 'results'
OK = Answer(200, 'OK', (), b'')
#: The periodic commands that affect the choice of upstream.
TICK_NAMES = ('flush-news', 'judge-overdue', 'review-upstreams')


class Options:
    """The parameters of one run; times are in seconds."""

    __slots__ = (
        'delay_seconds',
        'duration_seconds',
        'fault',
        'instances',
        'load',
        'policy',
        'queue_limit',
        'seed',
        'servers',
        'sigma',
        'zipf_exponent',
        'straggler_factor',
        'report_ages',
        'stragglers',
        'warmup_seconds',
    )

    def __init__(self, policy: str = 'home-slots', load: float = 0.7) -> None:
        """Creates options with the present production size of the fleet."""
        self.policy = policy
        self.load = load
        self.instances = 17
        self.servers = 14
        self.seed = 1
        self.duration_seconds = 20.0
        self.warmup_seconds = 4.0
        # Sigma of the lognormal service times; 0 makes them exponential.
        self.sigma = 0.5
        self.delay_seconds = 0.001
        self.queue_limit = 6
        self.report_ages = (0.1, 1.0)
        self.stragglers = 0
        # 'zone' withdraws a zone and restores it cold; 'cold' makes the
        # servers of a zone cold without a notice.
        self.fault = ''
        # The factor on the service times of a straggler.
        self.straggler_factor = 10.0
        # The exponent of the Zipf distribution of calls over instances.
        self.zipf_exponent = 0.0


class Server:
    """An upstream with ``slots`` workers and a short queue.

    Requests that exceed both are shed.
    """

    __slots__ = (
        'busy_slots',
        'cold_until',
        'name',
        'queue',
        'max_in_flight',
        'served_count',
        'shed_count',
        'slots',
        'slowdown',
        'max_cold_in_flight',
    )

    def __init__(self, name: str, slots: int, queue_limit: int) -> None:
        """Creates a warm and idle server."""
        self.name = name
        self.slots = slots
        self.max_in_flight = slots + queue_limit
        self.queue: deque[ServerJob] = deque()
        self.busy_slots = 0
        self.slowdown = 1.0
        self.cold_until = 0.0
        self.max_cold_in_flight = 0
        self.served_count = 0
        self.shed_count = 0

    @property
    def in_flight(self) -> int:
        """The number of running and queued requests."""
        return self.busy_slots + len(self.queue)


class Fleet:
    """Nodes and servers that share one virtual clock."""

    def __init__(self, options: Options) -> None:
        """Creates a fleet whose nodes have no load reports yet."""
        load_capabilities()
        self.options = options
        self.rng = random.Random(options.seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[..., None], Any]] = []
        self.sequence = itertools.count()
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
                self.run_tick(name, TICKS.find(tick))

    def publish(self, zones: Mapping[str, ZoneState]) -> None:
        """Publishes a configuration on every node."""
        snapshot = Snapshot(zones, [self.service], [self.route], [])
        for node in self.nodes.values():
            node.configuration.publish(snapshot)

    def schedule(
        self, due_at: float, function: Callable[..., None], *values: Any
    ) -> None:
        """Schedules ``function(*values)`` for the time ``due_at``."""
        heapq.heappush(
            self.events, (due_at, next(self.sequence), function, values)
        )

    def run(self) -> None:
        """Runs until the virtual duration has passed."""
        for name, weight in self._weights().items():
            self.schedule(0, self.add_call, name, weight)
        for server in self.servers.values():
            self.schedule(0, self.report_load, server)
        if self.options.stragglers:
            self.schedule(self.options.warmup_seconds, self.slow_next_server, 0)
        fault_at = self.options.warmup_seconds + FAULT_SECONDS
        if self.options.fault == 'zone':
            self.schedule(
                fault_at, self.publish, {**IN_SERVICE, FAULT_ZONE: WITHDRAWN}
            )
            self.schedule(fault_at + FAULT_SECONDS, self.publish, IN_SERVICE)
            self.schedule(fault_at + FAULT_SECONDS, self.make_zone_cold)
        if self.options.fault == 'cold':
            self.schedule(fault_at, self.make_zone_cold)
        while self.events and self.events[0][0] < self.options.duration_seconds:
            self.now, _, function, values = heapq.heappop(self.events)
            function(*values)

    def calls_per_second(self) -> float:
        """Returns the calls per second at the load of this run."""
        slots = sum(server.slots for server in self.servers.values())
        return self.options.load * slots / MEAN_SERVICE_SECONDS

    def run_tick(self, name: str, tick: Tick) -> None:
        """Runs a periodic command of one node and schedules its next run."""
        tick.command(self.nodes[name], self.now)
        self.send_pending(name)
        wait = tick.period_seconds * self.rng.uniform(0.9, 1.1)
        self.schedule(self.now + wait, self.run_tick, name, tick)

    def add_call(self, name: str, weight: float) -> None:
        """Adds a call to the queue of a node and schedules the next one."""
        wait = self.rng.expovariate(self.calls_per_second() * weight)
        self.schedule(self.now + wait, self.add_call, name, weight)
        call = Call(
            'GET', '/results/1', (), b'', key_digest=None, deadline=None
        )
        deadline = new_deadline(self.now, CALL_TIMEOUT_SECONDS)
        ticket = Ticket(call, self.route, None, deadline, self.now)
        query_slow_start(self.nodes[name], ticket, self.now)
        self.queues[name].append((ticket, frozenset(), 1))
        self.send_pending(name)

    def send_pending(self, name: str) -> None:
        """Starts attempts for queued tickets, and sends pending messages."""
        node = self.nodes[name]
        queue = self.queues[name]
        while queue:
            ticket, tried, number = queue[0]
            if ticket.deadline.has_passed(self.now):
                queue.popleft()
                self.record_result(ticket, 'queue-timeout')
                continue
            upstream = choose_upstream(node, self.service, tried, self.now)
            if upstream is None:
                break
            queue.popleft()
            self.start_attempt(name, ticket, upstream, tried, number)
        envelopes = node.outbox.envelopes
        node.outbox.clear()
        for envelope in envelopes:
            self.send(name, envelope)

    def send(self, name: str, envelope: Envelope) -> None:
        """Sends a message, which arrives after the delay."""
        recipients = [envelope.recipient]
        if envelope.recipient == EVERY_PEER:
            recipients = [other for other in self.nodes if other != name]
        for recipient in recipients:
            message = envelope.message
            self.messages[message.kind] += 1
            arrival = self.now + self.options.delay_seconds
            self.schedule(arrival, self.deliver, recipient, name, message)

    def deliver(self, name: str, sender: str, message: Message) -> None:
        """Passes a message to its handler."""
        handler = HANDLERS.find(message.kind)
        handler(self.nodes[name], sender, message, self.now)
        self.send_pending(name)

    def start_attempt(
        self,
        name: str,
        ticket: Ticket,
        upstream: Upstream,
        tried: frozenset[str],
        number: int,
    ) -> None:
        """Starts an attempt and sends its request."""
        deadline = new_deadline(self.now, ATTEMPT_TIMEOUT_SECONDS)
        attempt = Attempt(ticket, upstream, number, self.now, deadline)
        for hook in ATTEMPT_START_HOOKS:
            hook(self.nodes[name], attempt)
        job = (name, attempt, tried)
        self.schedule(
            self.now + self.options.delay_seconds, self.reach_server, job
        )

    def reach_server(self, job: ServerJob) -> None:
        """Queues a request at its server, or sheds it."""
        server = self.servers[job[1].upstream.name]
        if server.in_flight >= server.max_in_flight:
            server.shed_count += 1
            arrival = self.now + self.options.delay_seconds
            self.schedule(arrival, self.end_attempt, job, Ending.SHED)
            return
        server.queue.append(job)
        if self.now < server.cold_until:
            server.max_cold_in_flight = max(
                server.max_cold_in_flight, server.in_flight
            )
        self.start_requests(server)

    def start_requests(self, server: Server) -> None:
        """Starts queued requests while the server has free slots."""
        while server.queue and server.busy_slots < server.slots:
            server.busy_slots += 1
            end = self.now + self.service_seconds(server)
            self.schedule(
                end, self.finish_request, server, server.queue.popleft()
            )

    def service_seconds(self, server: Server) -> float:
        """Draws a service time.

        On a cold server, service times grow with the square of the busy slots.
        """
        sigma = self.options.sigma
        seconds = self.rng.expovariate(1)
        if sigma:
            seconds = math.exp(self.rng.gauss(0, sigma) - sigma * sigma / 2)
        if self.now < server.cold_until:
            seconds *= 3 * server.busy_slots**2
        return MEAN_SERVICE_SECONDS * server.slowdown * seconds

    def finish_request(self, server: Server, job: ServerJob) -> None:
        """Sends the answer to a request and frees its slot."""
        server.busy_slots -= 1
        server.served_count += 1
        arrival = self.now + self.options.delay_seconds
        self.schedule(arrival, self.end_attempt, job, Ending.ANSWERED)
        self.start_requests(server)

    def end_attempt(self, job: ServerJob, ending: Ending) -> None:
        """Records the end of an attempt, and retries a shed request."""
        name, attempt, tried = job
        answered = ending is Ending.ANSWERED
        verdict = Verdict.RAN if answered else Verdict.NOT_RUN
        outcome = Outcome(ending, verdict, self.now, OK if answered else None)
        for hook in ATTEMPT_END_HOOKS:
            hook(self.nodes[name], attempt, outcome)
        ticket = attempt.ticket
        if answered:
            self.record_result(ticket, 'answered')
        elif attempt.number >= ATTEMPTS_PER_TICKET:
            self.record_result(ticket, 'shed')
        else:
            tried |= {attempt.upstream.name}
            self.queues[name].appendleft((ticket, tried, attempt.number + 1))
        self.send_pending(name)

    def record_result(self, ticket: Ticket, result: str) -> None:
        """Records the result of one ticket, except during the warm-up."""
        if self.now >= self.options.warmup_seconds:
            self.results[result] += 1
        if (
            ticket.arrived_at >= self.options.warmup_seconds
            and result == 'answered'
        ):
            self.latencies.append(self.now - ticket.arrived_at)

    def report_load(self, server: Server) -> None:
        """Sends a load report of a random age within ``report_ages``."""
        age = self.rng.uniform(*self.options.report_ages)
        self.schedule(
            self.now + age, self.deliver_report, server.name, server.in_flight
        )
        self.schedule(
            self.now + REPORT_PERIOD_SECONDS, self.report_load, server
        )

    def deliver_report(self, name: str, in_flight: int) -> None:
        """Records a load report on every node."""
        report = InFlightReport(
            in_flight, new_deadline(self.now, REPORT_VALID_SECONDS)
        )
        for node in self.nodes.values():
            node.loads.upstream_load(name).record_report(report)

    def slow_next_server(self, index: int) -> None:
        """Slows one server for a while, a different one each time."""
        servers = list(self.servers.values())
        server = servers[(index * 5) % len(servers)]
        server.slowdown = self.options.straggler_factor
        self.schedule(self.now + STRAGGLER_SECONDS, self.reset_speed, server)
        self.schedule(
            self.now + 2 * STRAGGLER_SECONDS, self.slow_next_server, index + 1
        )

    def reset_speed(self, server: Server) -> None:
        """Returns a server to its normal speed."""
        server.slowdown = 1

    def make_zone_cold(self) -> None:
        """Makes the servers of ``FAULT_ZONE`` cold for a while."""
        for upstream in self.upstreams:
            if upstream.zone == FAULT_ZONE:
                server = self.servers[upstream.name]
                server.cold_until = self.now + COLD_SECONDS

    def _new_nodes(self) -> dict[str, Node]:
        instances = [
            Instance(f'entry-{index + 1}', ZONES[index % len(ZONES)], '', '')
            for index in range(self.options.instances)
        ]
        seed = self.options.seed * 1000
        return {
            instance.name: new_member_node(instance, instances, seed + index)
            for index, instance in enumerate(instances)
        }

    def _weights(self) -> dict[str, float]:
        weights = {
            name: (index + 1) ** -self.options.zipf_exponent
            for index, name in enumerate(self.nodes)
        }
        return {
            name: weight / sum(weights.values())
            for name, weight in weights.items()
        }


def new_route() -> Route:
    """Creates an open route to the service of the model."""
    return Route(
        SERVICE,
        f'/{SERVICE}/',
        SERVICE,
        methods=('GET',),
        idempotent=('GET',),
        customers=(),
        is_open=True,
        priority=Priority.NORMAL,
        timeout_seconds=CALL_TIMEOUT_SECONDS,
    )


def new_member_node(
    instance: Instance, instances: Iterable[Instance], seed: int
) -> Node:
    """Creates a node without sockets that lists all instances as alive."""
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
    for member in instances:
        node.members.set_record(
            MemberRecord(member, 1, MemberState.ALIVE, Deadline(math.inf))
        )
    return node
