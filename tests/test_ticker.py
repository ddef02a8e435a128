"""Tests of the ticker that runs periodic commands."""

import pytest

from chervilstep.adapters.ticker import WAKE_PERIOD_SECONDS, new_ticker
from chervilstep.hooks import TICKS, Tick
from chervilstep.registry import Registry, new_registry
from tests.builders import a_node


class Clock:
    """A clock that tests set."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def ticks(monkeypatch):
    registry: Registry[Tick] = new_registry('tick')
    monkeypatch.setattr('chervilstep.adapters.ticker.TICKS', registry)
    assert registry is not TICKS
    return registry


def a_ticker(monkeypatch, clock, node):
    ticker = new_ticker(node, clock)
    monkeypatch.setattr(type(ticker), '_schedule_wake', lambda self: None)
    ticker.start()
    return ticker


def run_for(ticker, clock, seconds):
    end = clock.now + seconds
    while clock.now < end:
        clock.now += WAKE_PERIOD_SECONDS
        ticker.run_due()


def test_command_runs_about_once_per_period(monkeypatch, ticks):
    runs = []
    ticks.register('often')(Tick(0.5, lambda node, now: runs.append(now)))
    clock = Clock()
    ticker = a_ticker(monkeypatch, clock, a_node())
    run_for(ticker, clock, 100)
    assert 190 <= len(runs) <= 210


def test_missed_runs_are_not_made_up(monkeypatch, ticks):
    runs = []
    ticks.register('often')(Tick(0.5, lambda node, now: runs.append(now)))
    clock = Clock()
    ticker = a_ticker(monkeypatch, clock, a_node())
    clock.now += 60
    ticker.run_due()
    ticker.run_due()
    assert len(runs) == 1


def test_failing_command_does_not_stop_others(monkeypatch, ticks):
    runs = []

    def fail(node, now):
        raise ValueError('broken')

    ticks.register('broken')(Tick(0.5, fail))
    ticks.register('sound')(Tick(0.5, lambda node, now: runs.append(now)))
    node = a_node()
    clock = Clock()
    ticker = a_ticker(monkeypatch, clock, node)
    run_for(ticker, clock, 5)
    assert len(runs) > 5
    assert node.counters.total('tick_faults', tick='broken') > 5
