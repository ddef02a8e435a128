"""The whole state of one entry instance."""

import random
from typing import final

from chervilstep.burn import BurnLedger
from chervilstep.configuration import Configuration
from chervilstep.connections import ConnectionTrustTable
from chervilstep.counters import Counters
from chervilstep.estimates import LatencyEstimates
from chervilstep.events import Events
from chervilstep.health import HealthTable
from chervilstep.latencies import LatencyHistograms
from chervilstep.loads import LoadTable
from chervilstep.members import Members
from chervilstep.messages import Outbox
from chervilstep.probes import ProbeSchedule
from chervilstep.quarantine import Quarantine
from chervilstep.queues import QueueTable
from chervilstep.rates import RateTable
from chervilstep.replica import Replica
from chervilstep.retries import RetryBudget
from chervilstep.settings import Settings
from chervilstep.slowstart import SlowStartTable
from chervilstep.snapshot import Snapshot


@final
class Node:
    """Holds the parts of an instance's state; commands change them.

    One loop on one thread runs every command and query, so a query and the
    command that follows it without an await see the same state.
    """

    __slots__ = (
        '_loads',
        '_burn',
        '_configuration',
        '_counters',
        '_events',
        '_latency_histograms',
        '_members',
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
    )

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Creates the empty state of an instance with these settings."""
        self._settings = settings
        self._rng = rng
        self._configuration = Configuration()
        self._members = Members(settings.name)
        self._loads = LoadTable()
        self._slow_start = SlowStartTable()
        self._probe_schedule = ProbeSchedule()
        self._counters = Counters()
        self._burn = BurnLedger()
        self._latency_histograms = LatencyHistograms()
        self._outbox = Outbox()
        self._rates = RateTable()
        self._replica = Replica()
        self._health = HealthTable()
        self._events = Events()
        self._queues = QueueTable()
        self._latency_estimates = LatencyEstimates()
        self._quarantine = Quarantine()
        self._connection_trust = ConnectionTrustTable()
        self._retry_budget = RetryBudget()

    @property
    def settings(self) -> Settings:
        """The settings that the instance was started with."""
        return self._settings

    @property
    def rng(self) -> random.Random:
        """The source of random numbers, seeded in tests."""
        return self._rng

    def reconfigure(self, settings: Settings) -> None:
        """Replaces the settings after their file has changed."""
        self._settings = settings

    @property
    def configuration(self) -> Configuration:
        """The accepted sections."""
        return self._configuration

    @property
    def snapshot(self) -> Snapshot:
        """The configuration in force."""
        return self._configuration.snapshot

    @property
    def members(self) -> Members:
        """The other instances."""
        return self._members

    @property
    def loads(self) -> LoadTable:
        """The load of the upstreams."""
        return self._loads

    @property
    def slow_start(self) -> SlowStartTable:
        """How much work each upstream may get."""
        return self._slow_start

    @property
    def probe_schedule(self) -> ProbeSchedule:
        """The upstreams that this instance probes."""
        return self._probe_schedule

    @property
    def counters(self) -> Counters:
        """Counts of what happened."""
        return self._counters

    @property
    def burn(self) -> BurnLedger:
        """Counts of good and bad events for the service levels."""
        return self._burn

    @property
    def latency_histograms(self) -> LatencyHistograms:
        """How long answers take."""
        return self._latency_histograms

    @property
    def outbox(self) -> Outbox:
        """Messages for peers that were not sent yet."""
        return self._outbox

    @property
    def rates(self) -> RateTable:
        """The customers' tokens, as far as this instance can tell."""
        return self._rates

    @property
    def replica(self) -> Replica:
        """The copy of the platform's store."""
        return self._replica

    @property
    def events(self) -> Events:
        """What happened and was not logged yet."""
        return self._events

    @property
    def health(self) -> HealthTable:
        """The health and the load of upstreams that report it."""
        return self._health

    @property
    def retry_budget(self) -> RetryBudget:
        """The budget of retries and hedges."""
        return self._retry_budget

    @property
    def connection_trust(self) -> ConnectionTrustTable:
        """Which connections can be relied on."""
        return self._connection_trust

    @property
    def quarantine(self) -> Quarantine:
        """The requests that may crash upstreams."""
        return self._quarantine

    @property
    def latency_estimates(self) -> LatencyEstimates:
        """The tails of the services' latencies."""
        return self._latency_estimates

    @property
    def queues(self) -> QueueTable:
        """The calls that wait for an upstream."""
        return self._queues


def new_node(settings: Settings, seed: int | None = None) -> Node:
    """Creates the state of an instance; ``seed`` fixes its random numbers."""
    return Node(settings, random.Random(seed))
