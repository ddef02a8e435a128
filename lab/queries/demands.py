"""Draws the requests that the customers send during a turn."""

import itertools
import random
from collections.abc import Callable, Iterator
from typing import Final, TypeAlias, final

from chervilstep.registry import Registry, new_registry
from chervilstep.snapshot import Route
from lab.arrivals import Arrival
from lab.caller import Request
from lab.documents import RateLimit
from lab.plans import Plan
from lab.queries.capacity import TURN_SEPARATOR

#: The callers of one customer; the k-th sends 1/k as much as the first.
CALLERS_PER_CUSTOMER: Final = 6
#: The default ratio of each customer's rate to what it sends.
HEADROOM: Final = 1.5
#: The burst of a customer, as seconds of requests at its rate.
BURST_SECONDS: Final = 0.5
MIN_BURST: Final = 5
#: The customer name of calls to open routes.
ANONYMOUS: Final = ''
#: Joins the names of simultaneous faults.
FAULT_SEPARATOR: Final = '+'
SURGE_FACTOR: Final = 5
POISON: Final = 'poison'
_POISON_PERIOD_SECONDS: Final = 0.5


@final
class Turn:
    """The load of one turn."""

    __slots__ = ('_fault', '_name', '_plan', '_rate', '_seconds', '_seed')

    def __init__(
        self,
        plan: Plan,
        name: str,
        *,
        rate: float,
        seconds: float,
        seed: int,
        fault: str,
    ) -> None:
        """Creates a turn of ``rate`` requests per second over all customers."""
        self._plan = plan
        self._name = name
        self._rate = rate
        self._seconds = seconds
        self._seed = seed
        self._fault = fault

    @property
    def plan(self) -> Plan:
        """The deployment."""
        return self._plan

    @property
    def name(self) -> str:
        """The name of the turn, which is the prefix of its request ids."""
        return self._name

    @property
    def rate(self) -> float:
        """The requests per second over all customers."""
        return self._rate

    @property
    def seconds(self) -> float:
        """The seconds during which requests are sent."""
        return self._seconds

    @property
    def seed(self) -> int:
        """The seed of the arrivals."""
        return self._seed

    @property
    def faults(self) -> tuple[str, ...]:
        """The names of the simultaneous faults; some of them add requests."""
        return tuple(self._fault.split(FAULT_SEPARATOR))


#: Draws the arrivals that a fault adds to a turn.
Demand: TypeAlias = Callable[[Turn, random.Random], Iterator[Arrival]]
DEMANDS: Final[Registry[Demand]] = new_registry('demand')


def offered_rates(plan: Plan, rate: float) -> dict[tuple[str, str], float]:
    """Returns the requests per second by route and customer.

    Each service gets load in proportion to its slots. On each route the
    customers share the load in proportion to their rates in the document.
    """
    rates: dict[tuple[str, str], float] = {}
    for route in plan.snapshot.routes:
        upstreams = plan.snapshot.services[route.service].upstreams
        slots = sum(upstream.slots for upstream in upstreams)
        weights = _customer_weights(plan, route)
        total = sum(weights.values())
        for customer, weight in weights.items():
            share = slots / plan.slots * weight / total
            rates[route.name, customer] = rate * share
    return rates


def customer_limits(
    plan: Plan, rate: float, headroom: float = HEADROOM
) -> dict[str, RateLimit]:
    """Returns limits that admit what every customer sends, with headroom."""
    allowed_rates: dict[str, float] = {}
    for (_, customer), offered_rate in offered_rates(plan, rate).items():
        if customer != ANONYMOUS:
            allowed_rates[customer] = (
                allowed_rates.get(customer, 0) + offered_rate * headroom
            )
    return {
        customer: RateLimit(allowed, max(MIN_BURST, allowed * BURST_SECONDS))
        for customer, allowed in allowed_rates.items()
    }


def draw_arrivals(turn: Turn) -> list[Arrival]:
    """Returns every arrival of the turn in order of time."""
    rates = offered_rates(turn.plan, turn.rate)
    routes = {route.name: route for route in turn.plan.snapshot.routes}
    arrivals: list[Arrival] = []
    for (route, customer), rate in rates.items():
        rng = random.Random(f'{turn.seed} {route} {customer}')
        arrivals += _poisson_arrivals(turn, rng, routes[route], customer, rate)
    for fault in turn.faults:
        if fault in DEMANDS.names:
            rng = random.Random(f'{turn.seed} {fault}')
            arrivals += DEMANDS.find(fault)(turn, rng)
    return sorted(arrivals, key=lambda arrival: arrival.scheduled_at)


@DEMANDS.register('surge')
def surge_arrivals(turn: Turn, rng: random.Random) -> Iterator[Arrival]:
    """Yields the requests by which the largest customer exceeds its rate.

    Between 30 % and 70 % of the turn that customer sends several times its
    rate.
    """
    limits = customer_limits(turn.plan, turn.rate)
    customer = max(limits, key=lambda name: limits[name].rate)
    route = _first_route(turn.plan, customer)
    extra = limits[customer].rate * (SURGE_FACTOR - 1 / HEADROOM)
    for arrival in _poisson_arrivals(
        turn, rng, route, customer, extra, 'surge'
    ):
        if 0.3 <= arrival.scheduled_at / turn.seconds < 0.7:
            yield arrival


@DEMANDS.register(POISON)
def poison_arrivals(turn: Turn, rng: random.Random) -> Iterator[Arrival]:
    """Yields the poison request, which one customer sends periodically."""
    customer = min(customer_limits(turn.plan, turn.rate))
    route = _first_route(turn.plan, customer)
    method = min(route.methods - {'HEAD'})
    steps = int(turn.seconds / _POISON_PERIOD_SECONDS)
    for step in range(steps // 5, steps):
        request = Request(
            f'{turn.name}{TURN_SEPARATOR}{POISON}-{step}',
            customer,
            method,
            f'{route.path}{POISON}',
        )
        yield Arrival(
            step * _POISON_PERIOD_SECONDS,
            step % CALLERS_PER_CUSTOMER,
            request,
            route=route.name,
            is_idempotent=route.is_idempotent(method),
        )


def _poisson_arrivals(
    turn: Turn,
    rng: random.Random,
    route: Route,
    customer: str,
    rate: float,
    label: str = '',
) -> Iterator[Arrival]:
    methods = sorted(route.methods - {'HEAD'})
    weights = [1 / (index + 1) for index in range(CALLERS_PER_CUSTOMER)]
    prefix = f'{turn.name}{TURN_SEPARATOR}{route.name}-{customer}{label}'
    scheduled_at = rng.expovariate(rate)
    for number in itertools.count():
        if scheduled_at >= turn.seconds:
            return
        method = rng.choice(methods)
        body = f'{prefix}-{number}'.encode() if method == 'POST' else b''
        request = Request(
            f'{prefix}-{number}',
            customer,
            method,
            f'{route.path}{number}',
            body,
        )
        yield Arrival(
            scheduled_at,
            rng.choices(range(CALLERS_PER_CUSTOMER), weights)[0],
            request,
            route=route.name,
            is_idempotent=route.is_idempotent(method),
        )
        scheduled_at += rng.expovariate(rate)


def _customer_weights(plan: Plan, route: Route) -> dict[str, float]:
    if route.is_open:
        return {ANONYMOUS: 1}
    customers = plan.snapshot.customers
    return {name: customers[name].rate for name in sorted(route.customers)}


def _first_route(plan: Plan, customer: str) -> Route:
    return next(
        route for route in plan.snapshot.routes if customer in route.customers
    )
