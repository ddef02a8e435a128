"""Measures the spread of the configuration in virtual time.

``SPREAD_SIZES=100,300 pytest -s tests/test_spread_figures.py`` prints the
figures of docs/DISTRIBUTION.md for other sizes of the fleet.
"""

import os

import pytest

from tests.document_builders import customer_text, sections
from tests.fleet_builders import Fleet

SIZES = [
    int(size) for size in os.environ.get('SPREAD_SIZES', '5,19').split(',')
]
REST_SECONDS = 30
RESTART_SECONDS = 20
OUTAGE_SECONDS = 20
#: The users' budget for control, and the share that this part may take.
BUDGET_BYTES = 5000
SHARE = 0.2


class Meter:
    """Counts what happens from its creation on."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.started = fleet.now
        self.calls = fleet.platform.calls
        self.bytes = fleet.bytes

    def calls_per_second(self):
        return (self.fleet.platform.calls - self.calls) / self.seconds()

    def bytes_per_node(self):
        return (self.fleet.bytes - self.bytes) / len(self.fleet.nodes)

    def seconds(self):
        return self.fleet.now - self.started


@pytest.mark.parametrize('size', SIZES)
def test_figures(size):
    fleet = Fleet(size)
    for name, text in sections().items():
        fleet.offer(name, text)
    fleet.run_until(fleet.all_current, 10)
    fleet.run(20)
    figures = [at_rest(fleet), change(fleet), restart(fleet), outage(fleet)]
    print(f'\n{size} instances: {"; ".join(figures)}')


def at_rest(fleet):
    meter = Meter(fleet)
    fleet.run(REST_SECONDS)
    rate = meter.bytes_per_node() / REST_SECONDS
    assert rate < BUDGET_BYTES * SHARE
    assert meter.calls_per_second() < 3 + len(fleet.nodes)
    return f'rest {meter.calls_per_second():.1f} calls/s, {rate:.0f} B/s each'


def change(fleet):
    meter = Meter(fleet)
    before = meter.bytes_per_node()
    revision = fleet.offer('customers', customer_text(keys=['new']))
    seconds = fleet.run_until(fleet.holds('customers', revision), 2)
    fleet.run(1)
    spent = meter.bytes_per_node() - before
    return f'change {seconds:.2f} s, {spent:.0f} B each in {meter.seconds()} s'


def restart(fleet):
    size = len(fleet.nodes)
    for name in tuple(fleet.nodes):
        fleet.kill(name, announce=False)
    for _ in range(size):
        fleet.start(announce=False)
    fleet.announce()
    meter = Meter(fleet)
    seconds = fleet.run_until(fleet.all_current, 8)
    first = round(meter.calls_per_second())
    later = peak_of(fleet, RESTART_SECONDS)
    assert max(first, later) < 10 + 2 * size
    return (
        f'restart of all: current after {seconds:.1f} s with {first} calls/s,'
        f' then at most {later} calls/s'
    )


def outage(fleet):
    fleet.platform.is_down = True
    meter = Meter(fleet)
    for _ in range(OUTAGE_SECONDS):
        fleet.run(1)
        assert fleet.all_current()
    rate = meter.bytes_per_node() / OUTAGE_SECONDS
    fleet.platform.is_down = False
    peak = peak_of(fleet, 6)
    assert fleet.all_current()
    return f'outage {rate:.0f} B/s each, at its end {peak} calls/s'


def peak_of(fleet, seconds):
    peak = 0
    for _ in range(seconds):
        meter = Meter(fleet)
        fleet.run(1)
        peak = max(peak, meter.calls_per_second())
    return round(peak)
