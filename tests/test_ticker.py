"""Tests of the wake-ups for periodic commands."""

import pytest

from chervilstep.adapters.ticker import WAKE_SECONDS, new_ticker
from chervilstep.hooks import TICKS, Tick
from chervilstep.registry import Registry, new_registry
from tests.builders import a_node


class Clock:
    """A clock that a test sets."""

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
    monkeypatch.setattr(type(ticker), '_sleep', lambda self: None)
    ticker.start()
    return ticker


def run_for(ticker, clock, seconds):
    until = clock.now + seconds
    while clock.now < until:
        clock.now += WAKE_SECONDS
        ticker.run_due()


def test_a_command_runs_about_once_a_period(monkeypatch, ticks):
    runs = []
    ticks.register('often')(Tick(0.5, lambda node, now: runs.append(now)))
    clock = Clock()
    ticker = a_ticker(monkeypatch, clock, a_node())
    run_for(ticker, clock, 100)
    assert 190 <= len(runs) <= 210


def test_a_pause_is_not_made_up_for(monkeypatch, ticks):
    runs = []
    ticks.register('often')(Tick(0.5, lambda node, now: runs.append(now)))
    clock = Clock()
    ticker = a_ticker(monkeypatch, clock, a_node())
    clock.now += 60
    ticker.run_due()
    ticker.run_due()
    assert len(runs) == 1


def test_a_faulty_command_stops_no_other(monkeypatch, ticks):
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
