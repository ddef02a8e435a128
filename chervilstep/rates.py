"""Token buckets of the customers, shared by all instances of the fleet."""

from collections import deque
from collections.abc import Iterator, Mapping
from typing import Final, final

from chervilstep.types import Deadline, Instant

#: The time constant of the moving average of a demand.
DEMAND_DECAY_SECONDS: Final = 1.0
#: Demands are computed as if two reports were at least this far apart, since
#: a shorter interval says little about a demand.
MIN_REPORT_SECONDS: Final = 0.05
#: How often usage is reported to the peers of the same zone.
REPORT_PERIOD_SECONDS: Final = 0.25
#: A source of demand is silent when its last report is older than this.
REPORT_TIMEOUT_SECONDS: Final = 1.25
#: How many past demands are stored: as many as there are reports until a
#: source counts as silent.
MAX_PAST_DEMANDS: Final = (
    int(REPORT_TIMEOUT_SECONDS / REPORT_PERIOD_SECONDS) + 1
)
#: A demand is ignored when the last report of it is older than this.
PEER_DEMAND_TTL_SECONDS: Final = 30.0


@final
class PeerDemand:
    """The calls per second of one customer that a source reported.

    A source is a peer of the same zone, or another zone.
    """

    __slots__ = (
        '_calls_per_second',
        '_expiry',
        '_received_at',
        '_report_deadline',
    )

    def __init__(self, calls_per_second: float, received_at: Instant) -> None:
        """Creates a demand whose report arrived at ``received_at``."""
        self._calls_per_second = calls_per_second
        self._received_at = received_at
        self._report_deadline = Deadline(received_at + REPORT_TIMEOUT_SECONDS)
        self._expiry = Deadline(received_at + PEER_DEMAND_TTL_SECONDS)

    @property
    def calls_per_second(self) -> float:
        """The demand that the source reported."""
        return self._calls_per_second

    def unreported_seconds(self, now: Instant) -> float:
        """The seconds since the last report; zero once the source is silent."""
        if self._report_deadline.has_passed(now):
            return 0
        return max(0, now - self._received_at)

    def is_silent(self, now: Instant) -> bool:
        """Whether the source had a demand and its reports have stopped."""
        if not self._calls_per_second or self._expiry.has_passed(now):
            return False
        return self._report_deadline.has_passed(now)


@final
class ReportCoverage:
    """The number of instances, and of those that do not report usage."""

    __slots__ = ('_known', '_silent')

    def __init__(self, known: int, silent: int) -> None:
        """Creates the counts; ``known`` includes this instance."""
        self._known = known
        self._silent = silent

    @property
    def known(self) -> int:
        """The number of instances that may spend tokens."""
        return self._known

    @property
    def silent(self) -> int:
        """The number of instances that may spend tokens without reporting."""
        return self._silent

    @property
    def reporting(self) -> int:
        """The number of instances that report; this one always counts."""
        return max(1, self._known - self._silent)


@final
class RateBucket:
    """One customer's token bucket, as estimated by this instance.

    ``tokens`` estimates how many tokens are left after the calls of the whole
    fleet. ``share_tokens`` are the tokens from this instance's share of the
    rate, which it may spend even when ``tokens`` is low.
    """

    __slots__ = (
        '_admitted',
        '_arrived',
        '_demand',
        '_past_demands',
        '_peer_demands',
        '_previously_admitted',
        '_reported_at',
        '_share_tokens',
        '_tokens',
        '_updated_at',
    )

    def __init__(self, tokens: float, now: Instant) -> None:
        """Creates a bucket of ``tokens``, without a share or a demand."""
        self._tokens = tokens
        self._share_tokens = float(0)
        self._updated_at = now
        self._admitted = 0
        self._previously_admitted = 0
        self._arrived = 0
        self._demand = float(0)
        self._past_demands: deque[float] = deque(maxlen=MAX_PAST_DEMANDS)
        self._peer_demands: dict[str, PeerDemand] = {}
        self._reported_at = now

    @property
    def tokens(self) -> float:
        """The fleet's tokens at ``updated_at``; negative after an excess."""
        return self._tokens

    @property
    def share_tokens(self) -> float:
        """The tokens that only this instance may spend, at ``updated_at``."""
        return self._share_tokens

    @property
    def updated_at(self) -> Instant:
        """When the tokens were updated."""
        return self._updated_at

    @property
    def admitted(self) -> int:
        """The number of calls admitted here since the last report."""
        return self._admitted

    @property
    def recently_admitted(self) -> int:
        """The number of calls admitted here since the report before last."""
        return self._admitted + self._previously_admitted

    @property
    def demand(self) -> float:
        """The calls per second that arrive at this instance."""
        return self._demand

    @property
    def min_recent_demand(self) -> float:
        """The lowest demand of about the last ``REPORT_TIMEOUT_SECONDS``.

        An instance that is cut off detects this only after that time. Until
        then a growing demand must not increase the instance's share.
        """
        return min(self._demand, *self._past_demands, self._demand)

    @property
    def peer_demands(self) -> Mapping[str, PeerDemand]:
        """The reported demands by the name of the source."""
        return self._peer_demands

    def update(self, tokens: float, share_tokens: float, now: Instant) -> None:
        """Replaces the tokens by the numbers at ``now``."""
        self._tokens = tokens
        self._share_tokens = share_tokens
        self._updated_at = now

    def record_arrival(self) -> None:
        """Counts a call that arrived here, admitted or refused."""
        self._arrived += 1

    def record_admission(self, share_tokens: float) -> None:
        """Deducts one fleet token, and ``share_tokens`` from the share."""
        self._tokens -= 1
        self._share_tokens -= share_tokens
        self._admitted += 1

    def deduct(self, tokens: float) -> None:
        """Deducts tokens that were spent elsewhere."""
        self._tokens -= tokens

    def record_peer_demand(self, source: str, demand: PeerDemand) -> None:
        """Replaces the demand that a source reported."""
        self._peer_demands[source] = demand

    def start_report(self, now: Instant) -> None:
        """Updates the demand and starts counting for the next report."""
        seconds = max(MIN_REPORT_SECONDS, now - self._reported_at)
        self._reported_at = now
        self._past_demands.append(self._demand)
        weight = min(1, seconds / DEMAND_DECAY_SECONDS)
        self._demand += weight * (self._arrived / seconds - self._demand)
        self._arrived = 0
        self._previously_admitted = self._admitted
        self._admitted = 0


@final
class RateTable:
    """The buckets of all customers that called this instance or a peer."""

    __slots__ = (
        '_buckets',
        '_reported_customers',
        '_silent_by_zone',
        '_zone_spending',
    )

    def __init__(self) -> None:
        """Creates an empty table."""
        self._buckets: dict[str, RateBucket] = {}
        self._zone_spending: dict[str, int] = {}
        self._reported_customers: frozenset[str] = frozenset()
        self._silent_by_zone: dict[str, int] = {}

    def __iter__(self) -> Iterator[tuple[str, RateBucket]]:
        """Iterates over the customers and their buckets."""
        return iter(self._buckets.items())

    @property
    def buckets(self) -> Mapping[str, RateBucket]:
        """The buckets by customer."""
        return self._buckets

    @property
    def zone_spending(self) -> Mapping[str, int]:
        """The tokens spent in this zone since the last report to other zones."""
        return dict(self._zone_spending)

    def record_zone_spending(self, customer: str, tokens: int) -> None:
        """Adds tokens that were spent in this zone."""
        if tokens:
            spent = self._zone_spending.get(customer, 0)
            self._zone_spending[customer] = spent + tokens

    @property
    def reported_customers(self) -> frozenset[str]:
        """The customers with a demand in the last report to other zones."""
        return self._reported_customers

    @property
    def silent_by_zone(self) -> Mapping[str, int]:
        """The number of silent instances that each other zone reported."""
        return self._silent_by_zone

    def record_silent(self, zone: str, instances: int) -> None:
        """Records how many silent instances another zone reported."""
        self._silent_by_zone[zone] = instances

    def start_zone_report(self, customers: frozenset[str]) -> None:
        """Starts the next report to other zones.

        ``customers`` are those with a demand in the report just sent.
        """
        self._zone_spending = {}
        self._reported_customers = customers

    def create_if_missing(
        self, customer: str, tokens: float, now: Instant
    ) -> None:
        """Creates a bucket for the customer, unless there is one."""
        if customer not in self._buckets:
            self._buckets[customer] = RateBucket(tokens, now)

    def retain(self, customers: frozenset[str]) -> None:
        """Removes the buckets of customers that are not in ``customers``."""
        for name in tuple(self._buckets):
            if name not in customers:
                self._buckets.pop(name)
