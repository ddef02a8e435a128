"""Golden files of simulated fleets that select upstreams.

A virtual clock makes the sessions deterministic.
"""

from chervilstep.calls import Ending
from chervilstep.commands.slowstart import eject_overdue
from chervilstep.queries.choice import choose_upstream
from chervilstep.queries.slowstart import total_open_slots
from chervilstep.slowstart import WARM_SLOTS
from chervilstep.snapshot import ZoneState
from tests.load_builders import (
    a_fleet,
    a_node_of_fleet,
    a_shared_service,
    deliver_all,
    end_attempt,
    make_warm,
    review,
    start_attempt,
)

NO_UPSTREAMS: frozenset[str] = frozenset()


class Session:
    """A fleet whose upstreams answer after times set by the test."""

    def __init__(self, count=4):
        self.service = a_shared_service(count)
        self.fleet = a_fleet(self.service)
        self.now = 0.0
        self.seconds = {
            upstream.name: 0.01 for upstream in self.service.upstreams
        }
        self.failing = set()
        self.lines = []

    def make_warm(self):
        for node in self.fleet:
            make_warm(node, self.service)
        review(self.fleet, self.now)

    def run(self, rounds):
        """Makes two calls per instance in each round; logs a line per round."""
        for _ in range(rounds):
            review(self.fleet, self.now)
            chosen = [self.run_calls(node) for node in self.fleet]
            deliver_all(self.fleet, self.now)
            self.lines.append(f'{self.now:5.2f}s {self.open_slots()} {chosen}')
            self.now += 0.1

    def run_calls(self, node):
        attempts = []
        for _ in range(2):
            upstream = choose_upstream(
                node, self.service, NO_UPSTREAMS, self.now
            )
            if upstream is not None:
                attempts.append(start_attempt(node, upstream, self.now))
        for attempt in attempts:
            name = attempt.upstream.name
            is_failing = name in self.failing
            ending = Ending.CONNECT_FAILED if is_failing else Ending.ANSWERED
            end_attempt(node, attempt, self.now + self.seconds[name], ending)
        eject_overdue(node, self.now)
        return ' '.join(each.upstream.name[-1] for each in attempts)

    def open_slots(self):
        node = self.fleet[0]
        open_slots = [
            total_open_slots(node, each, self.now)
            for each in self.service.upstreams
        ]
        return ' '.join(
            'W' if each >= WARM_SLOTS else str(each) for each in open_slots
        )

    def publish(self, zones):
        for node in self.fleet:
            other = a_node_of_fleet(self.service, zones=zones)
            node.configuration.publish(other.snapshot)

    def text(self):
        return '\n'.join(self.lines)


def test_a_fleet_warms_up_from_nothing(snapshot):
    session = Session()
    session.run(40)
    assert session.text() == snapshot


def test_a_straggler_is_left_and_tried_again(snapshot):
    session = Session()
    session.make_warm()
    session.run(3)
    session.seconds['strike-2'] = 0.2
    session.run(20)
    session.seconds['strike-2'] = 0.01
    session.run(40)
    assert session.text() == snapshot


def test_an_upstream_that_fails_fast_does_not_attract_calls(snapshot):
    session = Session()
    session.make_warm()
    session.failing.add('strike-3')
    session.seconds['strike-3'] = 0.001
    session.run(20)
    assert session.text() == snapshot


def test_a_zone_leaves_and_returns_cold(snapshot):
    session = Session()
    session.make_warm()
    session.run(2)
    session.publish({'akl': ZoneState.WITHDRAWN})
    session.run(2)
    session.publish({'akl': ZoneState.IN_SERVICE})
    session.run(30)
    assert session.text() == snapshot
