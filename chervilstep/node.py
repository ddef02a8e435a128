"""The state of one entry instance."""

import random
from typing import final

from chervilstep.configuration import Configuration
from chervilstep.connections import ConnectionTrustTable
from chervilstep.counters import Counters
from chervilstep.estimates import LatencyEstimates
from chervilstep.events import EventBuffer
from chervilstep.health import HealthTable
from chervilstep.latencies import LatencyHistograms
from chervilstep.loads import LoadTable
from chervilstep.members import Members
from chervilstep.memory import ByteBudget
from chervilstep.messages import Outbox
from chervilstep.probes import ProbeSchedule
from chervilstep.quarantine import Quarantine
from chervilstep.queues import QueueTable
from chervilstep.rates import RateTable
from chervilstep.replica import Replica
from chervilstep.retries import RetryBudget
from chervilstep.settings import Settings
from chervilstep.slo import SloTable
from chervilstep.slowstart import SlowStartTable
from chervilstep.snapshot import Snapshot
from chervilstep.throttles import ThrottleTable


@final
class Node:
    """The root of an instance's state; only commands change it.

    One event loop on one thread runs all commands and queries, so a query
    and a command that follows it without an await see the same state.
    """

    __slots__ = (
        '_loads',
        '_slo',
        '_configuration',
        '_counters',
        '_events',
        '_latency_histograms',
        '_members',
        '_memory',
        '_outbox',
        '_connection_trust',
        '_probe_schedule',
        '_quarantine',
        '_rates',
        '_replica',
        '_retry_budget',
        '_rng',
        '_settings',
        '_latency_estimates',
        '_health',
        '_queues',
        '_slow_start',
        '_throttles',
    )

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Creates the initial state of an instance."""
        self._settings = settings
        self._rng = rng
        self._configuration = Configuration()
        self._members = Members(settings.name)
        self._memory = ByteBudget(settings.shares.body_bytes)
        self._loads = LoadTable()
        self._slow_start = SlowStartTable()
        self._probe_schedule = ProbeSchedule()
        self._counters = Counters()
        self._slo = SloTable()
        self._latency_histograms = LatencyHistograms()
        self._outbox = Outbox()
        self._rates = RateTable()
        self._replica = Replica()
        self._health = HealthTable()
        self._events = EventBuffer()
        self._queues = QueueTable()
        self._latency_estimates = LatencyEstimates()
        self._quarantine = Quarantine()
        self._connection_trust = ConnectionTrustTable()
        self._retry_budget = RetryBudget()
        self._throttles = ThrottleTable()

    @property
    def settings(self) -> Settings:
        """The current settings of the instance."""
        return self._settings

    @property
    def rng(self) -> random.Random:
        """The random number generator, seeded in tests."""
        return self._rng

    def replace_settings(self, settings: Settings) -> None:
        """Replaces the settings, such as after a change of their file."""
        self._settings = settings

    @property
    def configuration(self) -> Configuration:
        """The accepted sections of the configuration."""
        return self._configuration

    @property
    def snapshot(self) -> Snapshot:
        """The configuration in force."""
        return self._configuration.snapshot

    @property
    def members(self) -> Members:
        """The instances of the fleet."""
        return self._members

    @property
    def memory(self) -> ByteBudget:
        """The bytes that are held for requests and answers."""
        return self._memory

    @property
    def loads(self) -> LoadTable:
        """The load of each upstream and service."""
        return self._loads

    @property
    def slow_start(self) -> SlowStartTable:
        """The slow start of upstreams."""
        return self._slow_start

    @property
    def probe_schedule(self) -> ProbeSchedule:
        """The upstreams that this instance probes."""
        return self._probe_schedule

    @property
    def counters(self) -> Counters:
        """The event counters of the metrics."""
        return self._counters

    @property
    def slo(self) -> SloTable:
        """The counts of good and bad events for the burn rates of SLOs."""
        return self._slo

    @property
    def latency_histograms(self) -> LatencyHistograms:
        """The histograms of latencies."""
        return self._latency_histograms

    @property
    def outbox(self) -> Outbox:
        """The queue of messages to peers."""
        return self._outbox

    @property
    def rates(self) -> RateTable:
        """The token buckets of the customers, as known to this instance."""
        return self._rates

    @property
    def replica(self) -> Replica:
        """The local replica of the platform's store."""
        return self._replica

    @property
    def events(self) -> EventBuffer:
        """The buffer of events to log."""
        return self._events

    @property
    def health(self) -> HealthTable:
        """The health of upstreams."""
        return self._health

    @property
    def retry_budget(self) -> RetryBudget:
        """The budget of retries and hedges."""
        return self._retry_budget

    @property
    def connection_trust(self) -> ConnectionTrustTable:
        """The trust in connections to upstreams."""
        return self._connection_trust

    @property
    def quarantine(self) -> Quarantine:
        """The quarantine of requests that may crash upstreams."""
        return self._quarantine

    @property
    def latency_estimates(self) -> LatencyEstimates:
        """The mean and tail latencies of services."""
        return self._latency_estimates

    @property
    def throttles(self) -> ThrottleTable:
        """The limits that upstreams have stated."""
        return self._throttles

    @property
    def queues(self) -> QueueTable:
        """The queues of calls that wait for an upstream."""
        return self._queues


def new_node(settings: Settings, seed: int | None = None) -> Node:
    """Creates the state of an instance; ``seed`` seeds ``rng``."""
    return Node(settings, random.Random(seed))
