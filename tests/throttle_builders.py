"""Builders of instances and fleets that know the limits of upstreams."""

from chervilstep.calls import Ending, Outcome
from chervilstep.commands.queueing import enqueue, remove
from chervilstep.commands.throttling import (
    record_answered_limit,
    spend_limit_token,
)
from chervilstep.queries import throttling
from chervilstep.queries.throttling import may_send_within_limit
from chervilstep.queues import Waiter
from chervilstep.reports import new_stated_limit
from chervilstep.snapshot import Priority
from chervilstep.types import Verdict
from tests.builders import (
    a_node,
    a_route,
    a_snapshot,
    an_attempt,
    an_upstream,
    set_instances,
    some_instances,
)
from tests.dispatch_builders import a_progress, a_timed_ticket
from tests.virtual_builders import LIMIT_TICKS, PEER_TICKS, VirtualFleet

UPSTREAM = an_upstream()
#: The agreed window, and the excess over the limit within it.
WINDOW_SECONDS = 4
EXCESS_FACTOR = 1.5
EXCESS_CALLS = 5
#: All instances must keep to a limit this long after it was first stated.
SPREAD_SECONDS = 0.5
#: How often calls are sent in virtual time.
STEP_SECONDS = 0.02


def state_limit(
    node,
    stated,
    requested_at,
    received_at,
    upstream=UPSTREAM,
    ending=Ending.ANSWERED,
):
    """Ends an attempt whose answer states a limit."""
    attempt = an_attempt(upstream=upstream, now=requested_at)
    outcome = Outcome(ending, Verdict.RAN, received_at, stated_limit=stated)
    record_answered_limit(node, attempt, outcome)


def known_limit(node, upstream=UPSTREAM):
    return throttling.known_limit(node, upstream.name)


def allowed_in_window(limit):
    return EXCESS_FACTOR * limit * WINDOW_SECONDS + EXCESS_CALLS


class SharingFleet:
    """Instances that list each other and know the limit of an upstream."""

    def __init__(self, size, limit):
        instances = some_instances(size)
        self.nodes = []
        for instance in instances:
            node = a_node(name=instance.name)
            set_instances(node, instances)
            state_limit(node, new_stated_limit(limit), -1, 0)
            self.nodes.append(node)

    def press(self, seconds):
        """Sends from each instance whenever allowed; returns the instants."""
        sent = []
        for step in range(int(seconds / STEP_SECONDS)):
            now = step * STEP_SECONDS
            sent += [now for node in self.nodes if send_call(node, now)]
        return sent


def send_call(node, now):
    """Sends a call to the upstream if its limit allows that."""
    if not may_send_within_limit(node, UPSTREAM, now):
        return False
    spend_limit_token(node, an_attempt(upstream=UPSTREAM, now=now))
    return True


def a_limited_fleet(size, limit, seed=1):
    """Returns a fleet in which one instance has just heard of a limit."""
    fleet = VirtualFleet(
        size, a_snapshot(), seed, ticks=(*PEER_TICKS, *LIMIT_TICKS)
    )
    fleet.run(3)
    receive_limit(fleet, fleet.names[0], new_stated_limit(limit))
    fleet.run(0.5)
    return fleet


def receive_limit(fleet, name, stated):
    """Makes an instance hear of a limit in the answer to a request."""
    state_limit(fleet.nodes[name], stated, fleet.now - 0.01, fleet.now)


def press(fleet, seconds):
    """Sends from each instance whenever allowed; returns the instants."""
    sent = []
    end = fleet.now + seconds
    while fleet.now < end:
        sent += [
            fleet.now
            for node in fleet.nodes.values()
            if send_call(node, fleet.now)
        ]
        fleet.run(STEP_SECONDS)
    return sent


def wait_in_queue(node, now, seconds=2, priority=Priority.NORMAL):
    """Adds a call to the queue of the service; returns the waiter."""
    ticket = a_timed_ticket(
        route=a_route(priority=priority), now=now, seconds=seconds
    )
    waiter = Waiter(a_progress(ticket), now)
    enqueue(node, waiter)
    return waiter


def send_pending(fleet, pending):
    """Sends the calls that wait; returns the instants at which they were."""
    sent = []
    for node, waiter in tuple(pending):
        is_sent = send_call(node, fleet.now)
        if is_sent or waiter.deadline.has_passed(fleet.now):
            pending.remove((node, waiter))
            remove(node, waiter)
        if is_sent:
            sent.append(fleet.now)
    return sent


def a_fully_limited_node(limit, size=14):
    """Returns a node of a fleet; all upstreams of the service have a limit."""
    node = SharingFleet(size, limit).nodes[0]
    for upstream in node.snapshot.services['strike'].upstreams:
        state_limit(node, new_stated_limit(limit), -1, 0, upstream)
    return node
