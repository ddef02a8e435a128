"""Draws what the customers send during a turn."""

import itertools
import random
from collections.abc import Callable, Iterator
from typing import Final, TypeAlias, final

from chervilstep.registry import Registry, new_registry
from chervilstep.snapshot import Route
from lab.arrivals import Arrival
from lab.caller import Request
from lab.documents import Limit
from lab.plans import Plan
from lab.queries.capacity import TURN_MARK

#: Callers of one customer; the k-th sends 1/k as much as the first.
CALLERS: Final = 6
#: How far each customer's rate lies above what it means to send, usually.
HEADROOM: Final = 1.5
#: The burst in seconds of the rate.
BURST_SECONDS: Final = 0.5
SMALLEST_BURST: Final = 5
#: The name under which calls of open routes are counted.
ANYONE: Final = ''
#: Joins the names of faults that come together.
TOGETHER: Final = '+'
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
        """Creates a turn of ``rate`` requests a second over all customers."""
        self._plan = plan
        self._name = name
        self._rate = rate
        self._seconds = seconds
        self._seed = seed
        self._fault = fault

    @property
    def plan(self) -> Plan:
        """What is deployed."""
        return self._plan

    @property
    def name(self) -> str:
        """The name, which starts every request id of the turn."""
        return self._name

    @property
    def rate(self) -> float:
        """Requests a second over all customers."""
        return self._rate

    @property
    def seconds(self) -> float:
        """How long requests are sent."""
        return self._seconds

    @property
    def seed(self) -> int:
        """Fixes every draw."""
        return self._seed

    @property
    def faults(self) -> tuple[str, ...]:
        """The faults that come together; some of them add requests."""
        return tuple(self._fault.split(TOGETHER))


#: Draws the arrivals that a fault adds to a turn.
Demand: TypeAlias = Callable[[Turn, random.Random], Iterator[Arrival]]
DEMANDS: Final[Registry[Demand]] = new_registry('demand')


def offered_rates(plan: Plan, rate: float) -> dict[tuple[str, str], float]:
    """The requests a second by route and customer.

    Each service gets load in proportion to its slots, and on each route the
    customers share it in proportion to their rates in the document.
    """
    rates: dict[tuple[str, str], float] = {}
    for route in plan.snapshot.routes:
        upstreams = plan.snapshot.services[route.service].upstreams
        slots = sum(upstream.slots for upstream in upstreams)
        weights = _weights(plan, route)
        total = sum(weights.values())
        for customer, weight in weights.items():
            share = slots / plan.slots * weight / total
            rates[route.name, customer] = rate * share
    return rates


def limits_of(
    plan: Plan, rate: float, headroom: float = HEADROOM
) -> dict[str, Limit]:
    """The limits under which every customer may send what it means to."""
    sums: dict[str, float] = {}
    for (_, customer), offered in offered_rates(plan, rate).items():
        if customer != ANYONE:
            sums[customer] = sums.get(customer, 0) + offered * headroom
    return {
        customer: Limit(allowed, max(SMALLEST_BURST, allowed * BURST_SECONDS))
        for customer, allowed in sums.items()
    }


def arrivals_of(turn: Turn) -> list[Arrival]:
    """Every arrival of the turn, the earliest first."""
    rates = offered_rates(turn.plan, turn.rate)
    routes = {route.name: route for route in turn.plan.snapshot.routes}
    arrivals: list[Arrival] = []
    for (route, customer), rate in rates.items():
        rng = random.Random(f'{turn.seed} {route} {customer}')
        arrivals += _poisson(turn, rng, routes[route], customer, rate)
    for fault in turn.faults:
        if fault in DEMANDS.names:
            rng = random.Random(f'{turn.seed} {fault}')
            arrivals += DEMANDS.find(fault)(turn, rng)
    return sorted(arrivals, key=lambda arrival: arrival.at)


@DEMANDS.register('surge')
def surge(turn: Turn, rng: random.Random) -> Iterator[Arrival]:
    """The largest customer sends several times its rate for a while."""
    limits = limits_of(turn.plan, turn.rate)
    customer = max(limits, key=lambda name: limits[name].rate)
    route = _route_of(turn.plan, customer)
    extra = limits[customer].rate * (SURGE_FACTOR - 1 / HEADROOM)
    for arrival in _poisson(turn, rng, route, customer, extra, 'surge'):
        if 0.3 <= arrival.at / turn.seconds < 0.7:
            yield arrival


@DEMANDS.register(POISON)
def poison(turn: Turn, rng: random.Random) -> Iterator[Arrival]:
    """One customer sends one crashing request again and again."""
    customer = min(limits_of(turn.plan, turn.rate))
    route = _route_of(turn.plan, customer)
    method = min(route.methods - {'HEAD'})
    steps = int(turn.seconds / _POISON_PERIOD_SECONDS)
    for step in range(steps // 5, steps):
        request = Request(
            f'{turn.name}{TURN_MARK}{POISON}-{step}',
            customer,
            method,
            f'{route.path}{POISON}',
        )
        yield Arrival(
            step * _POISON_PERIOD_SECONDS,
            step % CALLERS,
            request,
            route=route.name,
            is_idempotent=route.is_idempotent(method),
        )


def _poisson(
    turn: Turn,
    rng: random.Random,
    route: Route,
    customer: str,
    rate: float,
    label: str = '',
) -> Iterator[Arrival]:
    methods = sorted(route.methods - {'HEAD'})
    weights = [1 / (index + 1) for index in range(CALLERS)]
    prefix = f'{turn.name}{TURN_MARK}{route.name}-{customer}{label}'
    at = rng.expovariate(rate)
    for number in itertools.count():
        if at >= turn.seconds:
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
            at,
            rng.choices(range(CALLERS), weights)[0],
            request,
            route=route.name,
            is_idempotent=route.is_idempotent(method),
        )
        at += rng.expovariate(rate)


def _weights(plan: Plan, route: Route) -> dict[str, float]:
    if route.is_open:
        return {ANYONE: 1}
    customers = plan.snapshot.customers
    return {name: customers[name].rate for name in sorted(route.customers)}


def _route_of(plan: Plan, customer: str) -> Route:
    return next(
        route for route in plan.snapshot.routes if customer in route.customers
    )
