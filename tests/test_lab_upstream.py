"""Tests of the commands and queries of the upstream stand-in."""

import statistics

import pytest

from lab.commands.faults import FAULTS
from lab.queries.capacity import capacity, service_seconds, state_name
from tests.lab_builders import NOW, a_server


def test_warm_server_has_capacity_of_all_slots():
    assert capacity(a_server(slots=3), NOW) == 3


def test_capacity_grows_over_a_cold_start():
    server = a_server(slots=3, cold_seconds=4)
    FAULTS.find('cold')(server, '', NOW)
    grown = [capacity(server, NOW + seconds) for seconds in (0, 2, 4)]
    assert grown == [1, 2, 3]


def test_overload_slows_down_cold_server():
    server = a_server()
    warm = service_seconds(server, 'a', NOW)
    FAULTS.find('cold')(server, '', NOW)
    server.acquire_slot()
    cold = service_seconds(server, 'a', NOW)
    server.acquire_slot()
    assert warm < cold < service_seconds(server, 'a', NOW)


def test_service_times_have_given_mean_and_long_tail():
    server = a_server(mean_seconds=0.1)
    drawn = [
        service_seconds(server, str(number), NOW) for number in range(5000)
    ]
    assert statistics.mean(drawn) == pytest.approx(0.1, rel=0.05)
    assert max(drawn) > 0.5


def test_service_time_is_equal_on_every_server():
    first, second = a_server('strike-1'), a_server('strike-2')
    assert service_seconds(first, 'a', NOW) == service_seconds(second, 'a', NOW)


def test_recover_ends_lasting_faults():
    server = a_server()
    for fault in ('straggle', 'drain', 'fail-fast'):
        FAULTS.find(fault)(server, '', NOW)
    assert state_name(server, NOW) == 'draining'
    FAULTS.find('recover')(server, '', NOW)
    assert (server.slowdown, server.is_failing) == (1, False)
    assert state_name(server, NOW) == 'serving'
