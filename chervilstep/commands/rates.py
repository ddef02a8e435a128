"""Commands that take customers' tokens and exchange usage with peers."""

from typing import Final, final

from chervilstep.calls import Call, Ticket
from chervilstep.exceptions import PeerError
from chervilstep.fields import require_range, require_table, require_type
from chervilstep.hooks import CHARGES, HANDLERS, MESSAGES, REFUSAL_HOOKS, every
from chervilstep.messages import Message
from chervilstep.node import Node
from chervilstep.queries import rates as queries
from chervilstep.queries.fleet import reachable_zone_peers
from chervilstep.rates import REPORT_PERIOD_SECONDS, PeerDemand, RateBucket
from chervilstep.refusals import RATE_EXCEEDED, Refusal
from chervilstep.snapshot import Customer
from chervilstep.types import Instant

CHARGE_RANK: Final = 80
#: How often zones report to each other. Traffic between zones is billed, so
#: this is less often than within a zone.
ZONE_REPORT_PERIOD_SECONDS: Final = 0.5
#: A demand of fewer calls per second counts as none.
MIN_REPORTED_DEMAND: Final = 0.05
#: The most tokens or calls per second that a peer may report, and the most
#: silent instances.
MAX_REPORTED_CALLS: Final = 10**9


@MESSAGES.register('usage')
@final
class Usage(Message):
    """A report of spent tokens and demands to the peers of the zone."""

    __slots__ = ('_customers',)

    kind = 'usage'
    fields = ('customers',)

    def __init__(self, customers: dict[str, tuple[int, float]]) -> None:
        """Creates a report of spent tokens and calls per second by customer."""
        self._customers = require_table(customers)

    @property
    def customers(self) -> dict[str, tuple[int, float]]:
        """The tokens spent since the last report, and calls per second."""
        return self._customers


@MESSAGES.register('zone-usage')
@final
class ZoneUsage(Message):
    """A report of the tokens that one zone has spent to the other zones."""

    __slots__ = ('_customers', '_silent', '_zone')

    kind = 'zone-usage'
    fields = ('zone', 'silent', 'customers')

    def __init__(
        self, zone: str, silent: int, customers: dict[str, tuple[int, float]]
    ) -> None:
        """Creates a report of spent tokens and calls per second by customer."""
        self._zone = require_type(zone, str)
        self._silent = require_range(
            require_type(silent, int), MAX_REPORTED_CALLS
        )
        self._customers = require_table(customers)

    @property
    def zone(self) -> str:
        """The zone that the report describes."""
        return self._zone

    @property
    def silent(self) -> int:
        """The number of the zone's instances that are silent to the sender."""
        return self._silent

    @property
    def customers(self) -> dict[str, tuple[int, float]]:
        """The tokens spent since the last report, and calls per second."""
        return self._customers


@CHARGES.register(CHARGE_RANK)
def charge_rate(node: Node, ticket: Ticket, now: Instant) -> None:
    """Takes one token from the bucket of the ticket's customer."""
    customer = ticket.customer
    if customer is None or not customer.rate:
        return
    bucket = _update_bucket(node, customer, now)
    coverage = queries.report_coverage(node, bucket, now)
    is_shared = queries.is_burst_shared(customer, bucket, coverage, now)
    bucket.record_arrival()
    bucket.record_admission(0 if is_shared else 1)


@REFUSAL_HOOKS.register(CHARGE_RANK)
def record_refused_demand(
    node: Node, call: Call, refusal: Refusal, now: Instant
) -> None:
    """Counts a call that was refused for lack of tokens as demand."""
    if refusal is not RATE_EXCEEDED or call.key_digest is None:
        return
    customer = node.snapshot.customer_by_digest(call.key_digest)
    if customer is not None:
        _update_bucket(node, customer, now).record_arrival()


@every(REPORT_PERIOD_SECONDS, 'usage')
def report_usage(node: Node, now: Instant) -> None:
    """Reports the tokens spent here to the peers of the same zone."""
    node.rates.retain(frozenset(node.snapshot.customers))
    report = {}
    for name, bucket in node.rates:
        admitted = bucket.admitted
        had_demand = bucket.demand >= MIN_REPORTED_DEMAND
        bucket.start_report(now)
        node.rates.record_zone_spending(name, admitted)
        if admitted or had_demand:
            report[name] = (admitted, round(bucket.demand, 1))
    if report:
        message = Usage(report)
        for peer in reachable_zone_peers(node):
            node.outbox.put(peer, message)


@every(ZONE_REPORT_PERIOD_SECONDS, 'zone-usage')
def report_zone_usage(node: Node, now: Instant) -> None:
    """Reports this zone's usage to the representatives of other zones."""
    report = _zone_report(node, now)
    with_demand = frozenset(
        customer for customer, entry in report.items() if entry[1]
    )
    node.rates.start_zone_report(with_demand)
    silent = len(queries.silent_peers(node, None, now))
    message = ZoneUsage(node.settings.zone, silent, report)
    for peer in queries.other_representatives(node):
        node.outbox.put(peer, message)


@HANDLERS.register('usage')
def handle_usage(node: Node, peer: str, message: Message, now: Instant) -> None:
    """Records the tokens that a peer of the same zone has spent."""
    assert isinstance(message, Usage)
    _record_usage(node, peer, message.customers, now)
    for name, entry in message.customers.items():
        if name in node.rates.buckets:
            node.rates.record_zone_spending(name, _parse_entry(entry)[0])


@HANDLERS.register('zone-usage')
def handle_zone_usage(
    node: Node, peer: str, message: Message, now: Instant
) -> None:
    """Records the usage of another zone and relays the report to peers."""
    assert isinstance(message, ZoneUsage)
    if message.zone == node.settings.zone:
        return
    node.rates.record_silent(message.zone, message.silent)
    _record_usage(
        node, queries.zone_source(message.zone), message.customers, now
    )
    sender = node.members.active.get(peer)
    if sender is not None and sender.zone == message.zone:
        for zone_peer in reachable_zone_peers(node):
            node.outbox.put(zone_peer, message)


def _zone_report(node: Node, now: Instant) -> dict[str, tuple[int, float]]:
    spending = node.rates.zone_spending
    report = {}
    for name, bucket in node.rates:
        demand = round(queries.zone_demand(node, bucket, now), 1)
        tokens = spending.get(name, 0)
        # A demand that has ended is reported once more, as zero.
        if tokens or demand or name in node.rates.reported_customers:
            report[name] = (tokens, demand)
    return report


def _record_usage(
    node: Node,
    source: str,
    customers: dict[str, tuple[int, float]],
    now: Instant,
) -> None:
    for name, entry in customers.items():
        customer = node.snapshot.customers.get(name)
        if customer is None:
            continue
        tokens, demand = _parse_entry(entry)
        bucket = _update_bucket(node, customer, now)
        bucket.deduct(tokens)
        bucket.record_peer_demand(source, PeerDemand(demand, now))


def _update_bucket(node: Node, customer: Customer, now: Instant) -> RateBucket:
    """Updates the bucket of a customer to ``now`` and returns it."""
    node.rates.create_if_missing(customer.name, customer.burst, now)
    bucket = node.rates.buckets[customer.name]
    coverage = queries.report_coverage(node, bucket, now)
    bucket.update(
        queries.fleet_tokens(customer, bucket, coverage, now),
        queries.share_tokens(node, customer, bucket, coverage, now),
        now,
    )
    return bucket


def _parse_entry(entry: object) -> tuple[int, float]:
    if not isinstance(entry, (list, tuple)) or len(entry) != 2:
        raise PeerError('usage entry is not a pair of tokens and demand')
    tokens, demand = entry
    return (
        require_range(require_type(tokens, int), MAX_REPORTED_CALLS),
        require_range(demand, MAX_REPORTED_CALLS),
    )
