"""Tests of the shares of limits, which bound the requests of a whole fleet."""

import asyncio

import pytest

from chervilstep.reports import new_stated_limit
from tests.calling_builders import StatingUpstream, a_calling_fleet, send_calls
from tests.throttle_builders import (
    SPREAD_SECONDS,
    WINDOW_SECONDS,
    SharingFleet,
    a_limited_fleet,
    allowed_in_window,
    press,
    receive_limit,
)
from tests.virtual_builders import most_in_window


@pytest.mark.parametrize('size', [1, 3, 14, 19, 60, 116])
@pytest.mark.parametrize('limit', [0, 0.3, 0.5, 1.2, 5, 50])
def test_shares_stay_within_the_limit(size, limit):
    sent = SharingFleet(size, limit).press(20)
    assert most_in_window(sent, WINDOW_SECONDS) <= allowed_in_window(limit)
    # The first tokens take up to 1 / limit to accumulate.
    assert len(sent) >= 0.9 * 20 * limit - 1
    assert sent


@pytest.mark.parametrize('size', [3, 14])
@pytest.mark.parametrize('limit', [0.5, 5])
def test_partition_stays_within_the_limit(size, limit):
    fleet = a_limited_fleet(size, limit)
    for name in fleet.names[: size // 3]:
        fleet.isolate(name)
    sent = press(fleet, 15)
    assert most_in_window(sent, WINDOW_SECONDS) <= allowed_in_window(limit)


@pytest.mark.parametrize('size', [3, 14])
@pytest.mark.parametrize('limit', [0.5, 5])
def test_restarts_stay_within_the_limit(size, limit):
    """A third of the instances is killed and started again, one by one."""
    fleet = a_limited_fleet(size, limit)
    sent = []
    for name in fleet.names[: max(1, size // 3)]:
        fleet.kill(name)
        sent += press(fleet, 0.5)
        fleet.start(name)
        receive_limit(fleet, name, new_stated_limit(limit))
        sent += press(fleet, 1)
    sent += press(fleet, 4)
    assert most_in_window(sent, WINDOW_SECONDS) <= allowed_in_window(limit)


@pytest.mark.parametrize('limit', [0.5, 5])
def test_planned_stops_stay_within_the_limit(limit):
    fleet = a_limited_fleet(14, limit)
    sent = []
    for name in fleet.names[:4]:
        fleet.leave(name)
        sent += press(fleet, 2)
        fleet.start(name)
    assert most_in_window(sent, WINDOW_SECONDS) <= allowed_in_window(limit)


def test_upstream_gets_no_more_than_its_stated_limit():
    async def scenario():
        limited, other = StatingUpstream(limit=1), StatingUpstream()
        async with a_calling_fleet(4, limited, other) as fleet:
            await send_calls(fleet, 60, SPREAD_SECONDS + 4.5)
        since = limited.arrived_at[0] + SPREAD_SECONDS
        counted = [at for at in limited.arrived_at if at >= since]
        assert most_in_window(counted, WINDOW_SECONDS) <= allowed_in_window(1)

    asyncio.run(scenario())
