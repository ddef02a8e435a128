"""Tests of the probes and of their budget for the fleet."""

import asyncio
import time

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from tornado import httpserver, testing, web

from chervilstep.adapters.prober import new_prober, read_in_flight
from chervilstep.commands.probes import (
    PROBE_PERIOD_SECONDS,
    RESULT_SECONDS,
    end_probe,
    plan_probes,
    start_probe,
)
from chervilstep.commands.review import review_upstreams
from chervilstep.queries.probes import probes_due
from chervilstep.services import Upstream, UpstreamState
from chervilstep.snapshot import ZoneState
from tests.builders import a_service, a_snapshot, an_upstream, set_instances
from tests.load_builders import (
    ENTRY_NAMES,
    a_fleet,
    a_node_of_fleet,
    a_shared_service,
    an_instance,
    deliver,
    deliver_all,
    envelopes_from,
    some_upstreams,
)

#: What sums of floating-point steps may be off by.
ROUNDING = 1e-9


def plan(nodes, now):
    for node in nodes:
        review_upstreams(node, now)
        plan_probes(node, now)


def test_each_upstream_has_one_prober():
    service = a_shared_service(8, policy='two-choices')
    fleet = a_fleet(service)
    plan(fleet, 0)
    due = [each.name for node in fleet for each in probes_due(node, 1)]
    assert sorted(due) == sorted(each.name for each in service.upstreams)


def test_nothing_is_probed_for_a_policy_without_reports():
    fleet = a_fleet(a_shared_service(policy='home-slots'))
    plan(fleet, 0)
    assert not any(probes_due(node, 10) for node in fleet)


def test_leaving_and_withdrawn_upstreams_are_not_probed_at_once():
    service = a_service(
        upstreams=[an_upstream('a'), an_upstream('b', zone='ham')],
        policy='two-choices',
    )
    node = a_node_of_fleet(service, names=('entry-1',))
    plan([node], 0)
    assert len(probes_due(node, 2)) == 2
    left = a_service(
        upstreams=[
            an_upstream('a', state=UpstreamState.LEAVING),
            an_upstream('b', zone='ham'),
        ],
        policy='two-choices',
    )
    zones = {'akl': ZoneState.IN_SERVICE, 'ham': ZoneState.WITHDRAWN}
    node.configuration.publish(a_snapshot(zones=zones, services=[left]))
    assert not probes_due(node, 2)


def test_a_result_reaches_peers_and_is_believed_until_its_deadline():
    service = a_shared_service(policy='two-choices')
    fleet = a_fleet(service)
    plan(fleet, 0)
    end_probe(fleet[0], 'strike-1', 3, 1)
    deliver_all(fleet, 1)
    for node in fleet:
        report = node.loads.upstream_load('strike-1').report
        assert report.in_flight == 3
        assert report.valid_until.at == 1 + RESULT_SECONDS


@pytest.mark.parametrize(
    'body',
    [b'', b'[]', b'{}', b'{"in_flight": -1}', b'{"in_flight": "3"}', b'\xff'],
)
def test_a_load_report_that_makes_no_sense_is_refused(body):
    with pytest.raises(ValueError, match='.'):
        read_in_flight(body)


class LoadHandler(web.RequestHandler):
    def get(self):
        self.finish({'in_flight': 2, 'slots': 3, 'state': 'warm'})


def test_the_prober_asks_upstreams_and_survives_their_faults():
    async def run():
        server = httpserver.HTTPServer(
            web.Application([('/load', LoadHandler)])
        )
        socket, port = testing.bind_unused_port()
        closed, closed_port = testing.bind_unused_port()
        closed.close()
        server.add_socket(socket)
        upstreams = [
            Upstream('a', f'127.0.0.1:{port}', 'akl', 3),
            Upstream('b', f'127.0.0.1:{closed_port}', 'akl', 3),
        ]
        service = a_service(upstreams=upstreams, policy='two-choices')
        node = a_node_of_fleet(service, names=('entry-1',))
        plan([node], time.monotonic() - PROBE_PERIOD_SECONDS)
        task = asyncio.create_task(new_prober(node, time.monotonic).run())
        while node.counters.total_of('probes_failed') == 0 or (
            node.loads.upstream_load('a').report is None
        ):
            await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        server.stop()
        return node

    node = asyncio.run(asyncio.wait_for(run(), 10))
    assert node.loads.upstream_load('a').report.in_flight == 2
    assert node.counters.total_of('probes_sent') == 2


class ProbeMachine(RuleBasedStateMachine):
    """Instances whose lists differ, and messages that are lost.

    No upstream is probed more often in one period than there are lists in
    use among the instances in that period; with one list, once.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.service = a_shared_service(6, policy='two-choices')
        self.fleet = a_fleet(self.service)
        self.sent = []
        self.lists = [(0.0, frozenset(ENTRY_NAMES))]
        self.revision = 1
        plan(self.fleet, 0)

    @rule(
        seconds=st.sampled_from([0.05, 0.3, 1]),
        lost=st.booleans(),
    )
    def probe(self, seconds, lost):
        self.now += seconds
        for node in self.fleet:
            plan([node], self.now)
            for upstream in probes_due(node, self.now):
                self.sent.append((self.now, upstream.name))
                start_probe(node, upstream.name, self.now)
                end_probe(node, upstream.name, 1, self.now)
            for recipient, message in envelopes_from(self.fleet, node):
                if not lost:
                    deliver(node, recipient, message, self.now)

    @rule(
        index=st.integers(0, 3),
        names=st.sets(st.sampled_from(ENTRY_NAMES), min_size=1),
    )
    def relist(self, index, names):
        node = self.fleet[index]
        self.revision += 1
        set_instances(node, [an_instance(name) for name in names])
        self.lists.append((self.now, frozenset(names | {node.settings.name})))

    @invariant()
    def keeps_to_the_budget(self):
        # Sums of steps differ from the period by rounding.
        since = self.now - PROBE_PERIOD_SECONDS + ROUNDING
        recent = [name for at, name in self.sent if at > since]
        # Lists replaced before the window may still be in use in it.
        bound = len({names for _, names in self.lists})
        for upstream in some_upstreams(6):
            assert recent.count(upstream.name) <= min(bound, len(self.fleet))


ProbeMachine.TestCase.settings = settings(
    max_examples=40, stateful_step_count=30, deadline=None, derandomize=True
)
TestProbeBudget = ProbeMachine.TestCase


def test_one_list_means_one_probe_a_period():
    fleet = a_fleet(a_shared_service(6, policy='two-choices'))
    sent = []
    for step in range(400):
        now = step * 0.05
        plan(fleet, now)
        for node in fleet:
            node.outbox.clear()
            for upstream in probes_due(node, now):
                start_probe(node, upstream.name, now)
                sent.append((now, upstream.name))
    for upstream in some_upstreams(6):
        times = [at for at, name in sent if name == upstream.name]
        assert len(times) >= 18
        gaps = [later - at for at, later in zip(times, times[1:], strict=False)]
        assert min(gaps) >= PROBE_PERIOD_SECONDS - ROUNDING


def test_a_new_prober_waits_for_a_whole_period():
    service = a_shared_service(6, policy='two-choices')
    fleet = a_fleet(service)
    plan(fleet, 0)
    for node in fleet:
        set_instances(node, [an_instance('entry-1')])
    plan(fleet, 5)
    taken = {each.name for each in service.upstreams} - {
        each.name for each in probes_due(fleet[0], 5)
    }
    assert taken
    assert not taken & {each.name for each in probes_due(fleet[0], 5.9)}
    assert taken <= {each.name for each in probes_due(fleet[0], 6)}
