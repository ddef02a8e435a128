"""Spends customers' tokens, and tells peers how many were spent."""

from typing import Final, final

from chervilstep.calls import Call, Ticket
from chervilstep.exceptions import PeerError
from chervilstep.fields import checked, checked_table
from chervilstep.hooks import CHARGES, HANDLERS, MESSAGES, REFUSAL_HOOKS, every
from chervilstep.messages import Message
from chervilstep.node import Node
from chervilstep.queries import rates as queries
from chervilstep.queries.fleet import zone_peers
from chervilstep.rates import REPORT_SECONDS, Account, PeerDemand
from chervilstep.refusals import RATE_EXCEEDED, Refusal
from chervilstep.snapshot import Customer
from chervilstep.types import Instant

CHARGE_RANK: Final = 80
#: How often zones tell each other; traffic between them is billed.
ZONE_REPORT_SECONDS: Final = 0.5
#: A demand below this is reported as none.
LEAST_DEMAND: Final = 0.05


@MESSAGES.register('usage')
@final
class Usage(Message):
    """The tokens spent since the last report, and the demand, by customer."""

    __slots__ = ('_customers',)

    kind = 'usage'
    fields = ('customers',)

    def __init__(self, customers: dict[str, tuple[int, float]]) -> None:
        """Creates a report of pairs of tokens and calls a second."""
        self._customers = checked_table(customers)

    @property
    def customers(self) -> dict[str, tuple[int, float]]:
        """Tokens spent and calls a second by customer."""
        return self._customers


@MESSAGES.register('zone-usage')
@final
class ZoneUsage(Message):
    """What all instances of one zone have spent, from one of them."""

    __slots__ = ('_customers', '_silent', '_zone')

    kind = 'zone-usage'
    fields = ('zone', 'silent', 'customers')

    def __init__(
        self, zone: str, silent: int, customers: dict[str, tuple[int, float]]
    ) -> None:
        """Creates a report of pairs of tokens and calls a second."""
        self._zone = checked(zone, str)
        self._silent = checked(silent, int)
        self._customers = checked_table(customers)

    @property
    def zone(self) -> str:
        """The zone that the report is of."""
        return self._zone

    @property
    def silent(self) -> int:
        """How many instances of the zone the sender does not hear from."""
        return self._silent

    @property
    def customers(self) -> dict[str, tuple[int, float]]:
        """Tokens spent and calls a second by customer."""
        return self._customers


@CHARGES.register(CHARGE_RANK)
def charge_rate(node: Node, ticket: Ticket, now: Instant) -> None:
    """Takes one token of the ticket's customer."""
    customer = ticket.customer
    if customer is None or not customer.rate:
        return
    account = _count(node, customer, now)
    hearing = queries.hearing_of(node, account, now)
    is_shared = queries.is_shared(customer, account, hearing, now)
    account.ask()
    account.admit(0 if is_shared else 1)


@REFUSAL_HOOKS.register(CHARGE_RANK)
def note_demand(node: Node, call: Call, refusal: Refusal, now: Instant) -> None:
    """Counts a call that found no token here."""
    if refusal is not RATE_EXCEEDED or call.key_digest is None:
        return
    customer = node.snapshot.customer_by_digest(call.key_digest)
    if customer is not None:
        _count(node, customer, now).ask()


@every(REPORT_SECONDS, 'usage')
def report_usage(node: Node, now: Instant) -> None:
    """Tells the peers of the own zone what was spent here."""
    node.rates.keep(frozenset(node.snapshot.customers))
    report = {}
    for name, account in node.rates:
        admitted = account.admitted
        was_wanted = account.demand >= LEAST_DEMAND
        account.report(now)
        node.rates.collect(name, admitted)
        if admitted or was_wanted:
            report[name] = (admitted, round(account.demand, 1))
    if report:
        message = Usage(report)
        for peer in zone_peers(node):
            node.outbox.put(peer, message)


@every(ZONE_REPORT_SECONDS, 'zone-usage')
def report_zone(node: Node, now: Instant) -> None:
    """Tells the speakers of other zones what was spent in this one."""
    report = _zone_report(node, now)
    wanted = frozenset(
        customer for customer, entry in report.items() if entry[1]
    )
    node.rates.clear_collected(wanted)
    silent = len(queries.silent_peers(node, None, now))
    message = ZoneUsage(node.settings.zone, silent, report)
    for peer in queries.other_speakers(node):
        node.outbox.put(peer, message)


@HANDLERS.register('usage')
def take_usage(node: Node, peer: str, message: Message, now: Instant) -> None:
    """Takes in what a peer of the own zone spent."""
    assert isinstance(message, Usage)
    _take(node, peer, message.customers, now)
    for name, entry in message.customers.items():
        if name in node.rates.accounts:
            node.rates.collect(name, _numbers(entry)[0])


@HANDLERS.register('zone-usage')
def take_zone_usage(
    node: Node, peer: str, message: Message, now: Instant
) -> None:
    """Takes in what another zone spent, and tells the own zone."""
    assert isinstance(message, ZoneUsage)
    if message.zone == node.settings.zone:
        return
    node.rates.note_silent(message.zone, message.silent)
    _take(node, queries.source_of(message.zone), message.customers, now)
    sender = node.members.listed.get(peer)
    if sender is not None and sender.zone == message.zone:
        for neighbour in zone_peers(node):
            node.outbox.put(neighbour, message)


def _zone_report(node: Node, now: Instant) -> dict[str, tuple[int, float]]:
    collected = node.rates.collected
    report = {}
    for name, account in node.rates:
        demand = round(queries.zone_demand(node, account, now), 1)
        tokens = collected.get(name, 0)
        # The end of a demand is told as well.
        if tokens or demand or name in node.rates.reported:
            report[name] = (tokens, demand)
    return report


def _take(
    node: Node,
    source: str,
    customers: dict[str, tuple[int, float]],
    now: Instant,
) -> None:
    for name, entry in customers.items():
        customer = node.snapshot.customers.get(name)
        if customer is None:
            continue
        tokens, demand = _numbers(entry)
        account = _count(node, customer, now)
        account.debit(tokens)
        account.hear(source, PeerDemand(demand, now))


def _count(node: Node, customer: Customer, now: Instant) -> Account:
    """Brings the account of a customer up to date."""
    node.rates.open(customer.name, customer.burst, now)
    account = node.rates.accounts[customer.name]
    hearing = queries.hearing_of(node, account, now)
    account.count(
        queries.level(customer, account, hearing, now),
        queries.part(node, customer, account, hearing, now),
        now,
    )
    return account


def _numbers(entry: object) -> tuple[int, float]:
    if not isinstance(entry, (list, tuple)) or len(entry) != 2:
        raise PeerError('a report of usage is not a pair')
    tokens, demand = entry
    if not isinstance(tokens, int) or not isinstance(demand, (int, float)):
        raise PeerError('a report of usage is not of numbers')
    if tokens < 0 or demand < 0:
        raise PeerError('a report of usage is negative')
    return tokens, demand
