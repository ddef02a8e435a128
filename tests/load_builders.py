"""Builders of fleets that share upstreams, on a virtual clock."""

from chervilstep.calls import Ending
from chervilstep.commands.loads import record_attempt_end, record_attempt_start
from chervilstep.commands.review import review_upstreams
from chervilstep.commands.slowstart import update_slow_start
from chervilstep.hooks import HANDLERS
from chervilstep.members import Instance
from chervilstep.messages import EVERY_PEER
from chervilstep.slowstart import WARM_SLOTS, SlowStart
from chervilstep.types import Deadline
from tests.builders import (
    a_node,
    a_route,
    a_service,
    a_snapshot,
    a_ticket,
    an_attempt,
    an_outcome,
    an_upstream,
    set_instances,
)

FOREVER = Deadline(float('inf'))
ENTRY_NAMES = ('entry-1', 'entry-2', 'entry-3', 'entry-4')


def some_upstreams(count=4, **changes):
    return [
        an_upstream(f'strike-{index}', port=9000 + index, **changes)
        for index in range(1, count + 1)
    ]


def a_shared_service(count=4, policy='home-slots'):
    return a_service(upstreams=some_upstreams(count), policy=policy)


def an_instance(name):
    return Instance(name, 'akl', '', '')


def a_node_of_fleet(service, name='entry-1', names=ENTRY_NAMES, zones=None):
    """Returns a node that lists all instances in ``names``."""
    node = a_node(a_snapshot(zones=zones, services=[service]), name=name)
    set_instances(node, [an_instance(each) for each in names])
    return node


def a_fleet(service, names=ENTRY_NAMES):
    return [a_node_of_fleet(service, name, names) for name in names]


def make_warm(node, service, latency=0.01, now=0):
    """Marks all upstreams as warm, with the given typical latency."""
    load = node.loads.service_load(service.name, 8)
    for upstream in service.upstreams:
        node.slow_start.put(
            upstream.name, SlowStart(0, WARM_SLOTS, valid_until=FOREVER)
        )
        node.loads.upstream_load(upstream.name).record_answer(now, latency)
    load.update_latency(latency)


def start_attempt(node, upstream, now=0):
    """Starts an attempt at ``upstream``."""
    attempt = an_attempt(a_ticket(route=a_route(), now=now), upstream, now=now)
    record_attempt_start(node, attempt)
    return attempt


def end_attempt(node, attempt, now, ending=Ending.ANSWERED):
    """Ends an attempt and updates the state of its upstream."""
    outcome = an_outcome(ending, ended_at=now)
    record_attempt_end(node, attempt, outcome)
    update_slow_start(node, attempt, outcome)


def run_attempt(node, upstream, now, seconds=0.01, ending=Ending.ANSWERED):
    """Runs an attempt that takes ``seconds`` and ends at ``now``."""
    end_attempt(node, start_attempt(node, upstream, now - seconds), now, ending)


def envelopes_from(nodes, sender):
    """Empties the outbox of ``sender``; returns recipients and messages."""
    others = [node for node in nodes if node is not sender]
    envelopes = sender.outbox.envelopes
    sender.outbox.clear()
    return [
        (node, envelope.message)
        for envelope in envelopes
        for node in others
        if envelope.recipient in {EVERY_PEER, node.settings.name}
    ]


def deliver(sender, recipient, message, now):
    HANDLERS.find(message.kind)(recipient, sender.settings.name, message, now)


def deliver_all(nodes, now):
    """Delivers messages until every outbox is empty."""
    delivered = True
    while delivered:
        delivered = False
        for sender in nodes:
            for recipient, message in envelopes_from(nodes, sender):
                deliver(sender, recipient, message, now)
                delivered = True


def review(nodes, now):
    for node in nodes:
        review_upstreams(node, now)
