"""Whether a customer's rate lets a call pass.

Every instance counts the calls of the whole fleet: those of its own zone from
its peers' reports, those of other zones from one instance of each. While at least half of the burst is left, calls pass
wherever they arrive. Below that each instance keeps to its part of the rate,
in proportion to the demand that it sees, as in the flow proportional share of
Raghavan et al., "Cloud Control with Distributed Rate Limiting" (2007).

An instance that does not hear from some of the others counts on their part
being spent: both sides of a partition together stay within the agreed excess.
"""

from typing import Final

from chervilstep.calls import Ticket
from chervilstep.hooks import CHECKS, STATUS_PARTS
from chervilstep.node import Node
from chervilstep.queries.fleet import heard_fraction, known_size
from chervilstep.rates import Account
from chervilstep.refusals import RATE_EXCEEDED, Refusal
from chervilstep.snapshot import Customer
from chervilstep.types import Instant

#: After the checks of the key and the route, which cost the caller nothing.
RATE_RANK: Final = 80
#: The part of a burst below which instances keep to their own part.
SHARED_BURST: Final = 0.5
#: The part of the agreed excess that reports on their way may use up.
USED_EXCESS: Final = 0.6
#: The depth of the own part, in seconds of its rate, and at least in tokens:
#: two calls of a caller often come together.
PART_SECONDS: Final = 0.5
MIN_PART: Final = 2
#: A demand that everyone is taken to have, in calls a second, so that a new
#: instance has a part before its first report.
BASE_DEMAND: Final = 0.2
#: Stands before the names of zones among the sources of demand.
_ZONE_MARK: Final = 'zone/'
#: After an excess the own parts mint this much of the rate.
REPAYING: Final = 0.9


@CHECKS.register(RATE_RANK)
def check_rate(node: Node, ticket: Ticket, now: Instant) -> Refusal | None:
    """Refuses a call whose customer has used up its rate."""
    customer = ticket.customer
    if customer is None or not customer.rate:
        return None
    account = node.rates.accounts.get(customer.name)
    if account is None:
        return None
    if is_shared(node, customer, account, now):
        return None
    if level(node, customer, account, now) <= -excess(node, customer):
        return RATE_EXCEEDED
    if part(node, customer, account, now) < 1:
        return RATE_EXCEEDED
    return None


def is_shared(
    node: Node, customer: Customer, account: Account, now: Instant
) -> bool:
    """Whether so much is left that calls pass wherever they arrive.

    What peers have spent since their last reports is taken to be in
    proportion to what was spent here.
    """
    own = own_share(node, account, now)
    unheard = account.recent * (1 / own - 1)
    tokens = level(node, customer, account, now) - unheard
    fraction = heard_fraction(node)
    reserve = customer.burst * SHARED_BURST
    if fraction < 1:
        reserve = customer.burst * (1 - fraction * (1 - SHARED_BURST))
    return tokens >= max(1, reserve)


def level(
    node: Node, customer: Customer, account: Account, now: Instant
) -> float:
    """The customer's tokens in the whole fleet at ``now``."""
    elapsed = max(0, now - account.counted_at)
    minted = elapsed * customer.rate * heard_fraction(node)
    return min(customer.burst, account.level + minted)


def part(
    node: Node, customer: Customer, account: Account, now: Instant
) -> float:
    """The tokens at ``now`` that only this instance may spend."""
    rate = part_rate(node, customer, account, now)
    elapsed = max(0, now - account.counted_at)
    depth = max(MIN_PART, rate * PART_SECONDS)
    return min(depth, account.part + elapsed * rate)


def part_rate(
    node: Node, customer: Customer, account: Account, now: Instant
) -> float:
    """The tokens a second that this instance mints for itself."""
    repaying = REPAYING if account.level < 0 else 1
    return customer.rate * repaying * own_share(node, account, now)


def own_share(node: Node, account: Account, now: Instant) -> float:
    """The part of the customer's calls that arrive at this instance."""
    others = sum(
        demand.calls_a_second
        for demand in account.peers.values()
        if demand.is_believed(now)
    )
    own = account.demand + BASE_DEMAND
    whole = account.demand + others + BASE_DEMAND * known_size(node)
    return own / whole


def zone_demand(node: Node, account: Account, now: Instant) -> float:
    """The calls a second that arrive in this instance's zone."""
    return account.demand + sum(
        demand.calls_a_second
        for source, demand in account.peers.items()
        if demand.is_believed(now) and not source.startswith(_ZONE_MARK)
    )


def source_of(zone: str) -> str:
    """The name under which the demand of another zone is kept."""
    return f'{_ZONE_MARK}{zone}'


def other_speakers(node: Node) -> tuple[str, ...]:
    """The instances that hear for the other zones, if this speaks for its.

    The instance with the lowest name speaks for its zone. Two that both do
    so for a moment make the customers' tokens look fewer, never more.
    """
    members = node.members
    heard = {name for name, view in members.views.items() if view.is_heard}
    speakers: dict[str, str] = {}
    for name, instance in members.listed.items():
        if name in heard or name == members.self_name:
            first = speakers.get(instance.zone, name)
            speakers[instance.zone] = min(first, name)
    own = speakers.pop(node.settings.zone, None)
    if own != members.self_name:
        return ()
    return tuple(speakers.values())


def excess(node: Node, customer: Customer) -> float:
    """The tokens by which the fleet may be in debt before all is refused."""
    allowances = node.settings.allowances
    window = customer.rate * allowances.rate_window_seconds + customer.burst
    agreed = allowances.rate_excess * window + allowances.rate_excess_calls
    return agreed * USED_EXCESS


@STATUS_PARTS.register('rates')
def describe_rates(node: Node, now: Instant) -> object:
    """The tokens and the demand of each customer with calls."""
    customers = node.snapshot.customers
    return {
        name: {
            'tokens': round(level(node, customers[name], account, now), 1),
            'part': round(part(node, customers[name], account, now), 1),
            'demand': round(account.demand, 1),
        }
        for name, account in node.rates
        if name in customers
    }
