"""The state of one upstream stand-in."""

import collections
from typing import final

from chervilstep.types import Instant


@final
class Traits:
    """What stays the same over the life of an upstream stand-in."""

    __slots__ = (
        '_cold_seconds',
        '_mean_seconds',
        '_name',
        '_probe_seconds',
        '_queue_limit',
        '_report_lag_seconds',
        '_seed',
        '_slots',
    )

    def __init__(
        self,
        name: str,
        *,
        slots: int = 3,
        queue_limit: int = 3,
        mean_seconds: float = 0.02,
        cold_seconds: float = 5,
        probe_seconds: float = 0,
        report_lag_seconds: float = 0.2,
        seed: int = 1,
    ) -> None:
        """Creates traits; a probe holds a slot for ``probe_seconds``."""
        self._name = name
        self._slots = slots
        self._queue_limit = queue_limit
        self._mean_seconds = mean_seconds
        self._cold_seconds = cold_seconds
        self._probe_seconds = probe_seconds
        self._report_lag_seconds = report_lag_seconds
        self._seed = seed

    @property
    def name(self) -> str:
        """The name in the operators' document."""
        return self._name

    @property
    def slots(self) -> int:
        """How many requests run at once."""
        return self._slots

    @property
    def queue_limit(self) -> int:
        """How many requests wait before others are shed."""
        return self._queue_limit

    @property
    def mean_seconds(self) -> float:
        """The mean service time of a warm upstream."""
        return self._mean_seconds

    @property
    def cold_seconds(self) -> float:
        """How long a cold start takes."""
        return self._cold_seconds

    @property
    def probe_seconds(self) -> float:
        """How long one load report holds a slot."""
        return self._probe_seconds

    @property
    def report_lag_seconds(self) -> float:
        """How old a load report may be."""
        return self._report_lag_seconds

    @property
    def seed(self) -> int:
        """Fixes the service time of each request."""
        return self._seed


@final
class Server:
    """What an upstream stand-in does now, and what it has counted."""

    __slots__ = (
        '_counts',
        '_crash_marker',
        '_down_until',
        '_in_flight',
        '_is_draining',
        '_is_failing',
        '_report_until',
        '_reported_in_flight',
        '_runs',
        '_silent_before',
        '_slowdown',
        '_traits',
        '_warm_at',
    )

    def __init__(self, traits: Traits) -> None:
        """Starts warm and idle."""
        self._traits = traits
        self._counts: collections.Counter[str] = collections.Counter()
        self._runs: collections.Counter[str] = collections.Counter()
        self._in_flight = 0
        self._reported_in_flight = 0
        self._report_until = float('-inf')
        self._warm_at = float('-inf')
        self._silent_before = float('-inf')
        self._down_until = float('-inf')
        self._slowdown = float(1)
        self._crash_marker = ''
        self._is_draining = False
        self._is_failing = False

    @property
    def traits(self) -> Traits:
        """What never changes."""
        return self._traits

    @property
    def counts(self) -> collections.Counter[str]:
        """How often each thing happened."""
        return self._counts

    @property
    def runs(self) -> collections.Counter[str]:
        """How often each request was started, by its id."""
        return self._runs

    @property
    def in_flight(self) -> int:
        """The slots in use."""
        return self._in_flight

    @property
    def reported_in_flight(self) -> int:
        """The slots in use that the load report tells of."""
        return self._reported_in_flight

    @property
    def report_until(self) -> Instant:
        """Until when the load report is repeated unchanged."""
        return self._report_until

    @property
    def warm_at(self) -> Instant:
        """When the cold start ends."""
        return self._warm_at

    @property
    def silent_before(self) -> Instant:
        """Connections opened before this instant swallow everything."""
        return self._silent_before

    @property
    def down_until(self) -> Instant:
        """Until when nothing listens after a crash."""
        return self._down_until

    @property
    def slowdown(self) -> float:
        """The factor on every service time."""
        return self._slowdown

    @property
    def crash_marker(self) -> str:
        """A request whose target contains this text crashes the upstream."""
        return self._crash_marker

    @property
    def is_draining(self) -> bool:
        """Whether new requests are shed while present ones finish."""
        return self._is_draining

    @property
    def is_failing(self) -> bool:
        """Whether every request fails at once with status 500."""
        return self._is_failing

    def count(self, what: str) -> None:
        """Counts something that happened."""
        self._counts[what] += 1

    def run(self, request_id: str) -> None:
        """Counts the start of a request."""
        self._runs[request_id] += 1

    def occupy(self) -> None:
        """Takes a slot."""
        self._in_flight += 1

    def release(self) -> None:
        """Gives a slot back."""
        self._in_flight -= 1

    def report(self, until: Instant) -> None:
        """Fixes what the load report says until then."""
        self._reported_in_flight = self._in_flight
        self._report_until = until

    def chill(self, warm_at: Instant) -> None:
        """Starts a cold start that ends at ``warm_at``."""
        self._warm_at = warm_at

    def silence(self, before: Instant) -> None:
        """Makes every connection opened before then swallow everything."""
        self._silent_before = before

    def go_down(self, until: Instant) -> None:
        """Stops listening until then."""
        self._down_until = until

    def slow_down(self, factor: float) -> None:
        """Multiplies every service time by ``factor``."""
        self._slowdown = factor

    def crash_on(self, marker: str) -> None:
        """Crashes on requests whose target contains ``marker``."""
        self._crash_marker = marker

    def drain(self, *, is_draining: bool) -> None:
        """Starts or ends draining."""
        self._is_draining = is_draining

    def fail(self, *, is_failing: bool) -> None:
        """Starts or ends failing fast."""
        self._is_failing = is_failing

    def forget_runs(self) -> None:
        """Forgets the requests that were counted."""
        self._runs.clear()
