"""Spends customers' tokens, and tells peers how many were spent."""

from typing import Final, final

from chervilstep.calls import Call, Ticket
from chervilstep.exceptions import PeerError
from chervilstep.hooks import CHARGES, HANDLERS, MESSAGES, REFUSED_CALLS, every
from chervilstep.messages import EVERY_PEER, Message
from chervilstep.node import Node
from chervilstep.queries import rates as queries
from chervilstep.rates import PEER_DEMAND_SECONDS, Account, PeerDemand
from chervilstep.refusals import RATE_EXCEEDED, Refusal
from chervilstep.snapshot import Customer
from chervilstep.types import Instant, new_deadline

CHARGE_RANK: Final = 80
#: How often peers are told; what they admit meanwhile is the excess.
REPORT_SECONDS: Final = 0.25
#: How often peers hear of customers that are far from their limits.
CALM_SECONDS: Final = 1.0
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
        self._customers = customers

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
    is_shared = queries.is_shared(node, customer, account, now)
    account.ask()
    account.admit(0 if is_shared else 1)


@REFUSED_CALLS.register(CHARGE_RANK)
def note_demand(node: Node, call: Call, refusal: Refusal, now: Instant) -> None:
    """Counts a call that found no token here."""
    if refusal is not RATE_EXCEEDED or call.key_digest is None:
        return
    customer = node.snapshot.customer_by_digest(call.key_digest)
    if customer is not None:
        _count(node, customer, now).ask()


@every(REPORT_SECONDS, 'usage')
def report_usage(node: Node, now: Instant) -> None:
    """Tells every peer what was spent here.

    Customers with plenty of tokens left are reported less often.
    """
    node.rates.keep(frozenset(node.snapshot.customers))
    report = {}
    for name, account in node.rates:
        customer = node.snapshot.customers[name]
        seconds = now - account.reported_at
        if seconds < CALM_SECONDS and queries.is_shared(
            node, customer, account, now
        ):
            continue
        admitted = account.admitted
        was_wanted = account.demand >= LEAST_DEMAND
        account.report(now)
        if admitted or was_wanted:
            report[name] = (admitted, round(account.demand, 1))
    if report:
        node.outbox.put(EVERY_PEER, Usage(report))


@HANDLERS.register('usage')
def take_usage(node: Node, peer: str, message: Message, now: Instant) -> None:
    """Takes in what a peer spent."""
    assert isinstance(message, Usage)
    believed_until = new_deadline(now, PEER_DEMAND_SECONDS)
    for name, entry in message.customers.items():
        customer = node.snapshot.customers.get(name)
        if customer is None:
            continue
        tokens, demand = _numbers(entry)
        account = _count(node, customer, now)
        account.debit(tokens)
        account.hear(peer, PeerDemand(demand, believed_until))


def _count(node: Node, customer: Customer, now: Instant) -> Account:
    """Brings the account of a customer up to date."""
    node.rates.open(customer.name, customer.burst, now)
    account = node.rates.accounts[customer.name]
    account.count(
        queries.level(node, customer, account, now),
        queries.part(node, customer, account, now),
        now,
    )
    return account


def _numbers(entry: object) -> tuple[float, float]:
    if not isinstance(entry, (list, tuple)) or len(entry) != 2:
        raise PeerError('a report of usage is not a pair')
    tokens, demand = entry
    if not isinstance(tokens, int) or not isinstance(demand, (int, float)):
        raise PeerError('a report of usage is not of numbers')
    if tokens < 0 or demand < 0:
        raise PeerError('a report of usage is negative')
    return tokens, demand
