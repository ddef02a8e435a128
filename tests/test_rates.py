"""Tests of distributed rate limits in a fleet with virtual time."""

from typing import Any

import pytest

from chervilstep import refusals
from chervilstep.commands.rates import (
    Usage,
    ZoneUsage,
    charge_rate,
    handle_usage,
)
from chervilstep.exceptions import PeerError
from chervilstep.queries.rates import check_rate, describe_rates
from chervilstep.queries.retry_after import retry_after_seconds
from tests.builders import (
    KEY,
    a_call,
    a_customer,
    a_node,
    a_snapshot,
    a_ticket,
)
from tests.virtual_builders import (
    VirtualFleet,
    admitted_by_bucket,
    most_in_window,
)

RATE = 40
BURST = 40
#: The default allowances: the window and the tolerated excess.
WINDOW_SECONDS = 5
EXCESS_FRACTION = 0.25
EXCESS_CALLS = 20


def a_limited_fleet(size=14, rate=RATE, burst=BURST, seed=1):
    customer = a_customer(rate=rate, burst=burst)
    fleet = VirtualFleet(size, a_snapshot(customers=[customer]), seed)
    fleet.run(3)
    return fleet


def send_calls(fleet, calls_per_second, seconds, names=None):
    """Sends calls at random instances; returns the number of refused calls."""
    refused = 0
    for _ in range(int(calls_per_second * seconds)):
        name = fleet.rng.choice(names or sorted(fleet.nodes))
        refused += not fleet.call(name, KEY)
        fleet.run(fleet.rng.expovariate(calls_per_second))
    return refused


def max_admitted(rate=RATE, burst=BURST):
    return (rate * WINDOW_SECONDS + burst) * (
        1 + EXCESS_FRACTION
    ) + EXCESS_CALLS


def most_admitted(fleet):
    return most_in_window(fleet.admitted['fletcher'], WINDOW_SECONDS)


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('load', [1.5, 3, 7.5])
@pytest.mark.parametrize('size', [3, 14, 19])
def test_admitted_calls_stay_within_the_excess(size, load, seed):
    fleet = a_limited_fleet(size, seed=seed)
    send_calls(fleet, 0.6 * RATE, 5)
    send_calls(fleet, load * RATE, 12)
    assert most_admitted(fleet) <= max_admitted()
    assert most_admitted(fleet) >= RATE * WINDOW_SECONDS * 0.85


@pytest.mark.parametrize('seed', range(3))
def test_calls_within_the_rate_are_not_refused(seed):
    fleet = a_limited_fleet(seed=seed)
    refused = send_calls(fleet, 0.62 * RATE, 30)
    assert refused <= 0.002 * 0.62 * RATE * 30


@pytest.mark.parametrize('seed', range(6))
def test_small_burst_at_idle_instance_passes(seed):
    """A few calls at once by chance don't imply a surge at the whole fleet."""
    fleet = a_limited_fleet(seed=seed)
    send_calls(fleet, 0.3 * RATE, 5, names=fleet.names[:-1])
    fleet.run(1)
    assert all(fleet.call(fleet.names[-1], KEY) for _ in range(6))


@pytest.mark.parametrize('load', [1.5, 3, 7.5])
@pytest.mark.parametrize('uneven', [0, 1.5])
def test_surge_is_admitted_up_to_the_bucket(load, uneven):
    """Shares that refill too slowly leave tokens that no instance may spend."""
    fleet = a_limited_fleet(rate=3 * RATE, burst=3 * BURST)
    send_calls(fleet, 0.2 * RATE, 4)
    weights = [(index + 1) ** -uneven for index in range(len(fleet.names))]
    instants = []
    admitted_count = 0
    for _ in range(int(load * 3 * RATE * 6)):
        (name,) = fleet.rng.choices(fleet.names, weights)
        instants.append(fleet.now)
        admitted_count += fleet.call(name, KEY)
        fleet.run(fleet.rng.expovariate(load * 3 * RATE))
    exact = admitted_by_bucket(instants, 3 * RATE, 3 * BURST)
    assert admitted_count >= 0.96 * exact
    assert most_admitted(fleet) <= max_admitted(3 * RATE, 3 * BURST)


def refused_after_a_start(load, seed=1):
    """Returns how many calls of 4 s a fleet refuses that has just started."""
    fleet = a_limited_fleet(seed=seed)
    for name in fleet.names:
        fleet.kill(name)
    for name in fleet.names:
        fleet.start(name)
    return send_calls(fleet, load * RATE, 4)


@pytest.mark.parametrize('load', [0.62, 1.5 * 0.62])
def test_nothing_is_refused_right_after_a_start(load):
    assert refused_after_a_start(load) == 0


@pytest.mark.parametrize('seed', [2, 15])
def test_nothing_is_refused_right_after_a_start_by_other_draws(seed):
    assert refused_after_a_start(1.5 * 0.62, seed) == 0


@pytest.mark.parametrize('lost', [1, 5])
@pytest.mark.parametrize('load', [1.5, 5])
@pytest.mark.parametrize('seed', range(1, 4))
def test_partition_stays_within_the_excess(lost, load, seed):
    fleet = a_limited_fleet(seed=seed)
    send_calls(fleet, 0.6 * RATE, 4)
    for name in fleet.names[:lost]:
        fleet.isolate(name)
    send_calls(fleet, load * RATE, 15)
    assert most_admitted(fleet) <= max_admitted()


@pytest.mark.parametrize('lost', [1, 5])
def test_survivors_take_over_share_of_the_dead(lost):
    fleet = a_limited_fleet()
    send_calls(fleet, 0.6 * RATE, 4)
    for name in fleet.names[:lost]:
        fleet.kill(name)
    refused = send_calls(fleet, 0.6 * RATE, 20)
    assert refused <= 0.02 * 0.6 * RATE * 20


def test_lowered_rate_applies_within_a_window():
    fleet = a_limited_fleet()
    send_calls(fleet, 0.6 * RATE, 5)
    low_rate = RATE / 5
    lowered = a_snapshot(customers=[a_customer(rate=low_rate, burst=low_rate)])
    for node in fleet.nodes.values():
        node.configuration.publish(lowered)
    send_calls(fleet, 0.6 * RATE, WINDOW_SECONDS)
    fleet.admitted.clear()
    send_calls(fleet, 0.6 * RATE, 20)
    assert most_admitted(fleet) <= max_admitted(low_rate, low_rate)


def test_customer_without_a_limit_is_never_refused():
    node = a_node(a_snapshot(customers=[a_customer(rate=0, burst=0)]))
    ticket = a_ticket(customer=node.snapshot.customers['fletcher'])
    for _ in range(1000):
        assert check_rate(node, ticket, 0) is None
        charge_rate(node, ticket, 0)


def test_retry_after_covers_time_until_token():
    node = a_node()
    ticket = a_ticket()
    while check_rate(node, ticket, 0) is None:
        charge_rate(node, ticket, 0)
    retry_after = retry_after_seconds(node, a_call(), refusals.RATE_EXCEEDED, 0)
    rate = node.snapshot.customers['fletcher'].rate
    assert retry_after is not None
    assert 1 / rate <= retry_after <= 5


@pytest.mark.parametrize(
    'entry',
    [None, (1,), (-1, 0), ('1', 0), (1, 'x'), (1, -1), (True, 1), (10**12, 1)]
    + [(1, float('inf')), (1, float('nan')), (float('inf'), 1)],
)
def test_invalid_usage_entry_raises_peer_error(entry):
    with pytest.raises(PeerError):
        handle_usage(a_node(), 'entry-2', Usage({'fletcher': entry}), 0)


def test_usage_of_unknown_customer_is_ignored():
    node = a_node()
    handle_usage(node, 'entry-2', Usage({'nobody': (1, 1)}), 0)
    assert not node.rates.buckets


def test_own_zone_is_not_a_source_of_demand():
    fleet = a_limited_fleet(4)
    send_calls(fleet, RATE / 2, 4)
    name = fleet.names[0]
    sources = fleet.nodes[name].rates.buckets['fletcher'].peer_demands
    assert f'zone/{fleet.instance_zone(name)}' not in sources
    assert ZoneUsage('akl', 0, {}).zone == 'akl'


def test_status_shows_tokens_and_demand():
    fleet = a_limited_fleet(2)
    send_calls(fleet, RATE / 2, 3)
    node = fleet.nodes[fleet.names[0]]
    status: Any = describe_rates(node, fleet.now)
    assert status['fletcher']['demand'] > 0
