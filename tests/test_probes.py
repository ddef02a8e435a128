"""Tests of load probes and of their budget for the whole fleet."""

import asyncio
import time

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from tornado import httpserver, testing, web

from chervilstep.adapters.prober import new_prober, parse_in_flight
from chervilstep.commands.probes import (
    PROBE_PERIOD_SECONDS,
    RESULT_TTL_SECONDS,
    assign_probes,
    record_probe_result,
    record_probe_sent,
)
from chervilstep.commands.review import review_upstreams
from chervilstep.exceptions import PeerError
from chervilstep.probe_messages import ProbeResult
from chervilstep.queries.probes import probes_due
from chervilstep.services import Upstream, UpstreamState
from chervilstep.snapshot import ZoneState
from tests.answer_builders import (
    INVALID_STATUSES,
    MALFORMED_HEADS,
    a_framed_answer,
    a_raw_answer,
)
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
from tests.wire_builders import a_raw_upstream

#: The rounding error of sums of floating-point steps.
ROUNDING = 1e-9


def review_and_assign(nodes, now):
    for node in nodes:
        review_upstreams(node, now)
        assign_probes(node, now)


def test_each_upstream_has_one_prober():
    service = a_shared_service(8, policy='two-choices')
    fleet = a_fleet(service)
    review_and_assign(fleet, 0)
    due = [each.name for node in fleet for each in probes_due(node, 1)]
    assert sorted(due) == sorted(each.name for each in service.upstreams)


def test_policy_without_reports_needs_no_probes():
    fleet = a_fleet(a_shared_service(policy='home-slots'))
    review_and_assign(fleet, 0)
    assert not any(probes_due(node, 10) for node in fleet)


def test_leaving_and_withdrawn_upstreams_are_not_probed():
    service = a_service(
        upstreams=[an_upstream('a'), an_upstream('b', zone='ham')],
        policy='two-choices',
    )
    node = a_node_of_fleet(service, names=('entry-1',))
    review_and_assign([node], 0)
    assert len(probes_due(node, 2)) == 2
    changed = a_service(
        upstreams=[
            an_upstream('a', state=UpstreamState.LEAVING),
            an_upstream('b', zone='ham'),
        ],
        policy='two-choices',
    )
    zones = {'akl': ZoneState.IN_SERVICE, 'ham': ZoneState.WITHDRAWN}
    node.configuration.publish(a_snapshot(zones=zones, services=[changed]))
    assert not probes_due(node, 2)


def test_result_reaches_peers_with_its_deadline():
    service = a_shared_service(policy='two-choices')
    fleet = a_fleet(service)
    review_and_assign(fleet, 0)
    record_probe_result(fleet[0], 'strike-1', 3, 1)
    deliver_all(fleet, 1)
    for node in fleet:
        report = node.loads.upstream_load('strike-1').report
        assert report.in_flight == 3
        assert report.valid_until.at == 1 + RESULT_TTL_SECONDS


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[]',
        b'{}',
        b'{"in_flight": -1}',
        b'{"in_flight": "3"}',
        b'{"in_flight": 1e9}',
        b'{"in_flight": true}',
        b'{"in_flight": 10000000000}',
        b'\xff',
    ],
)
def test_invalid_load_report_is_rejected(body):
    with pytest.raises(ValueError, match='.'):
        parse_in_flight(body)


class LoadHandler(web.RequestHandler):
    def get(self):
        self.finish({'in_flight': 2, 'slots': 3, 'state': 'warm'})


def test_prober_reads_loads_and_counts_failures():
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
        review_and_assign([node], time.monotonic() - PROBE_PERIOD_SECONDS)
        task = asyncio.create_task(new_prober(node, time.monotonic).run())
        while node.counters.total_over_labels('probes_failed') == 0 or (
            node.loads.upstream_load('a').report is None
        ):
            await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        server.stop()
        return node

    node = asyncio.run(asyncio.wait_for(run(), 10))
    assert node.loads.upstream_load('a').report.in_flight == 2
    assert node.counters.total_over_labels('probes_sent') == 2


A_REPORT = b'{"in_flight": 2}'
BROKEN_REPORTS = {
    **{
        status.decode(): a_raw_answer(status, body=A_REPORT)
        for status in INVALID_STATUSES
    },
    'malformed head': MALFORMED_HEADS['name: blank within'],
    'cut': a_framed_answer(b'Content-Length: 99', body=A_REPORT),
    'two lengths': a_framed_answer(
        b'Content-Length: 16', b'Content-Length: 15', body=A_REPORT
    ),
    'number beyond the range': a_raw_answer(body=b'{"in_flight": 10000000000}'),
}


@pytest.mark.parametrize('kind', BROKEN_REPORTS)
def test_broken_answer_to_a_probe_is_a_failure(kind):
    """Guards against a load that only the prober itself believed."""

    async def scenario():
        answer = BROKEN_REPORTS[kind]
        async with a_raw_upstream(answer, closes=True) as (_, upstream):
            service = a_service(upstreams=[upstream], policy='two-choices')
            node = a_node_of_fleet(service, names=('entry-1',))
            review_and_assign([node], time.monotonic() - PROBE_PERIOD_SECONDS)
            task = asyncio.create_task(new_prober(node, time.monotonic).run())
            async with asyncio.timeout(10):
                while not (
                    node.counters.total_over_labels('probes_failed')
                    or node.loads.upstream_load(upstream.name).report
                ):
                    await asyncio.sleep(0.01)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        assert node.loads.upstream_load(upstream.name).report is None

    asyncio.run(scenario())


class ProbeMachine(RuleBasedStateMachine):
    """A fleet with different member lists and lost messages.

    In one period, an upstream is probed at most once for each member list
    that is in use among the instances in that period.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.service = a_shared_service(6, policy='two-choices')
        self.fleet = a_fleet(self.service)
        self.sent = []
        self.lists = [(0.0, frozenset(ENTRY_NAMES))]
        self.revision = 1
        review_and_assign(self.fleet, 0)

    @rule(
        seconds=st.sampled_from([0.05, 0.3, 1]),
        lost=st.booleans(),
    )
    def probe(self, seconds, lost):
        self.now += seconds
        for node in self.fleet:
            review_and_assign([node], self.now)
            for upstream in probes_due(node, self.now):
                self.sent.append((self.now, upstream.name))
                record_probe_sent(node, upstream.name, self.now)
                record_probe_result(node, upstream.name, 1, self.now)
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
    def stays_within_the_budget(self):
        # Sums of steps differ from the period by a rounding error.
        since = self.now - PROBE_PERIOD_SECONDS + ROUNDING
        recent = [name for at, name in self.sent if at > since]
        # Lists replaced before this period may still be in use in it.
        bound = len({names for _, names in self.lists})
        for upstream in some_upstreams(6):
            assert recent.count(upstream.name) <= min(bound, len(self.fleet))


ProbeMachine.TestCase.settings = settings(
    max_examples=40, stateful_step_count=30, deadline=None, derandomize=True
)
TestProbeBudget = ProbeMachine.TestCase


def test_one_member_list_yields_one_probe_per_period():
    fleet = a_fleet(a_shared_service(6, policy='two-choices'))
    sent = []
    for step in range(400):
        now = step * 0.05
        review_and_assign(fleet, now)
        for node in fleet:
            node.outbox.clear()
            for upstream in probes_due(node, now):
                record_probe_sent(node, upstream.name, now)
                sent.append((now, upstream.name))
    for upstream in some_upstreams(6):
        times = [at for at, name in sent if name == upstream.name]
        assert len(times) >= 18
        gaps = [later - at for at, later in zip(times, times[1:], strict=False)]
        assert min(gaps) >= PROBE_PERIOD_SECONDS - ROUNDING


def test_new_prober_waits_for_a_whole_period():
    service = a_shared_service(6, policy='two-choices')
    fleet = a_fleet(service)
    review_and_assign(fleet, 0)
    for node in fleet:
        set_instances(node, [an_instance('entry-1')])
    review_and_assign(fleet, 5)
    taken_over = {each.name for each in service.upstreams} - {
        each.name for each in probes_due(fleet[0], 5)
    }
    assert taken_over
    assert not taken_over & {each.name for each in probes_due(fleet[0], 5.9)}
    assert taken_over <= {each.name for each in probes_due(fleet[0], 6)}


@pytest.mark.parametrize(
    ('upstream', 'in_flight'),
    [(1, 1), ('strike-1', None), ('strike-1', -1), ('strike-1', 1.5)],
)
def test_malformed_result_of_a_peer_raises_peer_error(upstream, in_flight):
    with pytest.raises(PeerError):
        ProbeResult(upstream, in_flight)
