"""Distributed rate limiting: whether a customer's rate admits a call.

Every instance counts the calls of the whole fleet: those of its own zone from
reports of its peers, and those of each other zone from reports of one
instance there. While at least half of the burst is left, calls are admitted
wherever they arrive. Below that, each instance keeps to its share of the rate
in proportion to the demand that arrives there, as in the flow proportional
share of Raghavan et al., "Cloud Control with Distributed Rate Limiting" (2007).

An instance assumes that instances whose reports are missing spend their
share. Both sides of a partition together thus stay within the agreed excess
of the rate.
"""

from typing import Final

from chervilstep.calls import Ticket
from chervilstep.hooks import CHECKS, STATUS_ENTRIES
from chervilstep.node import Node
from chervilstep.queries.fleet import fleet_size
from chervilstep.queries.gossip import connected_peers
from chervilstep.rates import REPORT_PERIOD_SECONDS, RateBucket, ReportCoverage
from chervilstep.refusals import RATE_EXCEEDED, Refusal
from chervilstep.snapshot import Customer
from chervilstep.types import Instant

#: Runs after the checks of the key and the route, whose refusals do not count
#: against the rate.
RATE_RANK: Final = 80
#: Below this fraction of the burst, instances keep to their share.
SHARED_BURST_FRACTION: Final = 0.5
#: The fraction of the agreed excess that may be used up while reports are in
#: transit.
USED_EXCESS_FRACTION: Final = 0.6
#: The most tokens that a share accumulates, in seconds of its rate, but at
#: least ``MIN_SHARE_DEPTH`` tokens, since a caller often sends two calls at
#: the same time.
SHARE_DEPTH_SECONDS: Final = 0.5
MIN_SHARE_DEPTH: Final = 2
#: Calls per second that are added to the demand of every instance, so that a
#: new instance has a share before its first report.
BASE_DEMAND: Final = 0.2
#: The number of calls that may arrive together at one instance by chance, and
#: the fraction of the burst that all instances may spend on such calls before
#: they report.
CHANCE_CALLS: Final = 2
CHANCE_BURST_FRACTION: Final = 0.8
#: Reporting instances increase their shares by up to this factor to replace
#: silent ones; the agreed excess covers the surplus.
TAKEOVER_FACTOR: Final = 1.1
#: The prefix of the source names of zones.
_ZONE_PREFIX: Final = 'zone/'
#: The fraction by which shares refill faster while half of the burst is left.
SPARE_TOKENS_SPEEDUP: Final = 0.6
#: The fraction by which shares refill slower when the whole debt is used up.
DEBT_SLOWDOWN: Final = 0.5


@CHECKS.register(RATE_RANK)
def check_rate(node: Node, ticket: Ticket, now: Instant) -> Refusal | None:
    """Refuses a call whose customer has used up its rate."""
    customer = ticket.customer
    if customer is None or not customer.rate:
        return None
    bucket = node.rates.buckets.get(customer.name)
    if bucket is None:
        return None
    coverage = report_coverage(node, bucket, now)
    if is_burst_shared(customer, bucket, coverage, now):
        return None
    debt = allowed_debt(node, customer)
    if fleet_tokens(customer, bucket, coverage, now) <= -debt:
        return RATE_EXCEEDED
    if share_tokens(node, customer, bucket, coverage, now) < 1:
        return RATE_EXCEEDED
    return None


def report_coverage(
    node: Node, bucket: RateBucket, now: Instant
) -> ReportCoverage:
    """Returns how many instances report the usage of a customer."""
    return ReportCoverage(fleet_size(node), silent_count(node, bucket, now))


def is_burst_shared(
    customer: Customer,
    bucket: RateBucket,
    coverage: ReportCoverage,
    now: Instant,
) -> bool:
    """Whether enough tokens are left to admit calls wherever they arrive.

    Tokens that peers have spent since their last reports are estimated from
    their demand. If more calls arrive here than the demand explains, the same
    is assumed of the peers.
    """
    own = demand_fraction(bucket, coverage, now)
    # With little demand here, 1 / own can exceed the number of instances.
    others = min(1 / own, coverage.known) - 1
    unreported = unexpected_calls(customer, bucket, coverage) * others
    unreported += sum(
        demand.calls_per_second * demand.unreported_seconds(now)
        for demand in bucket.peer_demands.values()
    )
    tokens = fleet_tokens(customer, bucket, coverage, now) - unreported
    fraction = usable_fraction(coverage)
    reserve = customer.burst * (1 - fraction * (1 - SHARED_BURST_FRACTION))
    return tokens >= max(1, reserve)


def unexpected_calls(
    customer: Customer, bucket: RateBucket, coverage: ReportCoverage
) -> float:
    """Returns the recent calls beyond what demand and chance explain."""
    expected = bucket.demand * REPORT_PERIOD_SECONDS * 2
    by_burst = CHANCE_BURST_FRACTION * customer.burst / coverage.known
    chance = max(CHANCE_CALLS, by_burst)
    return max(0, bucket.recently_admitted - expected - chance)


def usable_fraction(coverage: ReportCoverage) -> float:
    """Returns the fraction of the rate that reporting instances may use.

    Silent instances may have failed, or be partitioned and spend their share.
    The fraction depends on the number of instances and not on their demand:
    a demand that grows on one side of a partition does not increase it.
    """
    return min(1, TAKEOVER_FACTOR * coverage.reporting / coverage.known)


def silent_count(node: Node, bucket: RateBucket, now: Instant) -> int:
    """Returns how many instances may spend tokens without reporting."""
    silent = len(silent_peers(node, bucket, now))
    for zone, instances in node.members.zones.items():
        if zone == node.settings.zone:
            continue
        size = len(instances)
        demand = bucket.peer_demands.get(zone_source(zone))
        if demand is not None and demand.is_silent(now):
            silent += size
        else:
            silent += min(size, node.rates.silent_by_zone.get(zone, 0))
    return silent


def silent_peers(
    node: Node, bucket: RateBucket | None, now: Instant
) -> frozenset[str]:
    """Returns the names of the silent instances of this zone."""
    return frozenset(
        name
        for name in node.members.zones.get(node.settings.zone, ())
        if name != node.members.self_name
        and _is_silent(node, bucket, name, now)
    )


def fleet_tokens(
    customer: Customer,
    bucket: RateBucket,
    coverage: ReportCoverage,
    now: Instant,
) -> float:
    """Returns the fleet's tokens of a customer at ``now``; may be negative."""
    elapsed = max(0, now - bucket.updated_at)
    refilled = elapsed * customer.rate * usable_fraction(coverage)
    return min(customer.burst, bucket.tokens + refilled)


def share_tokens(
    node: Node,
    customer: Customer,
    bucket: RateBucket,
    coverage: ReportCoverage,
    now: Instant,
) -> float:
    """Returns the tokens of this instance's share at ``now``."""
    rate = share_rate(node, customer, bucket, coverage, now)
    elapsed = max(0, now - bucket.updated_at)
    depth = max(MIN_SHARE_DEPTH, rate * SHARE_DEPTH_SECONDS)
    return min(depth, bucket.share_tokens + elapsed * rate)


def share_rate(
    node: Node,
    customer: Customer,
    bucket: RateBucket,
    coverage: ReportCoverage,
    now: Instant,
) -> float:
    """Returns the refill rate of this instance's share in tokens per second."""
    fraction = usable_fraction(coverage)
    share = demand_fraction(bucket, coverage, now)
    factor = _refill_factor(node, customer, bucket, is_complete=fraction >= 1)
    return customer.rate * factor * fraction * share


def _refill_factor(
    node: Node, customer: Customer, bucket: RateBucket, *, is_complete: bool
) -> float:
    """Returns the ratio of the shares' refill rate to the customer's rate.

    While nearly all instances report, shares refill faster, so that tokens
    outside any share are spent too. While the fleet's tokens are negative,
    shares refill slower, to repay the debt.
    """
    if bucket.tokens < 0:
        debt = min(1, -bucket.tokens / allowed_debt(node, customer))
        return 1 - debt * DEBT_SLOWDOWN
    if not is_complete or not customer.burst:
        return 1
    spare = min(1, bucket.tokens / (SHARED_BURST_FRACTION * customer.burst))
    return 1 + spare * SPARE_TOKENS_SPEEDUP


def demand_fraction(
    bucket: RateBucket, coverage: ReportCoverage, now: Instant
) -> float:
    """Returns this instance's fraction of the demand at reporting ones."""
    others = sum(
        demand.calls_per_second
        for demand in bucket.peer_demands.values()
        if not demand.is_silent(now)
    )
    own = bucket.min_recent_demand + BASE_DEMAND
    total = bucket.min_recent_demand + others + BASE_DEMAND * coverage.reporting
    return own / total


def zone_demand(node: Node, bucket: RateBucket, now: Instant) -> float:
    """Returns the calls per second that arrive in this instance's zone."""
    return bucket.demand + sum(
        demand.calls_per_second
        for source, demand in bucket.peer_demands.items()
        if not demand.is_silent(now) and not source.startswith(_ZONE_PREFIX)
    )


def zone_source(zone: str) -> str:
    """Returns the source name of the demand of another zone."""
    return f'{_ZONE_PREFIX}{zone}'


def other_representatives(node: Node) -> tuple[str, ...]:
    """Returns the representatives of the other zones.

    The result is empty if this instance does not represent its own zone. The
    instance with the lowest name represents its zone. While two instances
    of a zone both do so, usage is counted twice: customers seem to have fewer
    tokens, never more.
    """
    members = node.members
    reachable = frozenset(connected_peers(node))
    representatives: dict[str, str] = {}
    for name, instance in members.active.items():
        if name in reachable or name == members.self_name:
            lowest = representatives.get(instance.zone, name)
            representatives[instance.zone] = min(lowest, name)
    own = representatives.pop(node.settings.zone, None)
    if own != members.self_name:
        return ()
    return tuple(representatives.values())


def allowed_debt(node: Node, customer: Customer) -> float:
    """Returns how far below zero the fleet's tokens of a customer may go."""
    allowances = node.settings.allowances
    window = customer.rate * allowances.rate_window_seconds + customer.burst
    agreed = allowances.rate_excess * window + allowances.rate_excess_calls
    return agreed * USED_EXCESS_FRACTION


def _is_silent(
    node: Node, bucket: RateBucket | None, name: str, now: Instant
) -> bool:
    record = node.members.peers.get(name)
    if record is None or not record.is_connected:
        return True
    demand = bucket.peer_demands.get(name) if bucket else None
    return demand is not None and demand.is_silent(now)


@STATUS_ENTRIES.register('rates')
def describe_rates(node: Node, now: Instant) -> object:
    """Returns the tokens and the demand of each customer with calls."""
    customers = node.snapshot.customers
    return {
        name: _describe_customer(node, customers[name], bucket, now)
        for name, bucket in node.rates
        if name in customers
    }


def _describe_customer(
    node: Node, customer: Customer, bucket: RateBucket, now: Instant
) -> dict[str, float]:
    coverage = report_coverage(node, bucket, now)
    tokens = fleet_tokens(customer, bucket, coverage, now)
    share = share_tokens(node, customer, bucket, coverage, now)
    return {
        'tokens': round(tokens, 1),
        'part': round(share, 1),
        'demand': round(bucket.demand, 1),
    }
