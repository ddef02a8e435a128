"""Commands that record the loads of upstreams and services."""

from typing import Final

from chervilstep.calls import Attempt, Ending, Outcome
from chervilstep.hooks import ATTEMPT_END_HOOKS, ATTEMPT_START_HOOKS, every
from chervilstep.node import Node
from chervilstep.queries.assignment import own_slot_count
from chervilstep.queries.health import configured_upstreams
from chervilstep.queries.outcomes import is_failure
from chervilstep.queries.slowstart import is_service_full
from chervilstep.services import Service
from chervilstep.types import Instant, new_deadline

#: The rank of these commands among those of an attempt.
LOAD_RANK: Final = 10
#: The initial limit of requests in flight of a service.
INITIAL_LIMIT: Final = 8
MAX_LIMIT: Final = 1000
#: The increase of the limit for a full window of answers.
LIMIT_INCREASE: Final = 1
#: The factor of the multiplicative decrease when requests are shed, as in the
#: AIMD of TCP.
LIMIT_DECREASE_FACTOR: Final = 0.9
#: Requests that are shed within this time cause only one decrease.
DECREASE_PERIOD_SECONDS: Final = 0.02
EXPIRY_PERIOD_SECONDS: Final = 5.0


@every(EXPIRY_PERIOD_SECONDS, 'load-expiry')
def remove_old_loads(node: Node, now: Instant) -> None:
    """Removes the loads of upstreams that are no longer configured."""
    node.loads.retain(configured_upstreams(node))


@ATTEMPT_START_HOOKS.register(LOAD_RANK)
def record_attempt_start(node: Node, attempt: Attempt) -> None:
    """Counts an attempt as in flight."""
    loads = node.loads
    loads.count_attempt()
    loads.upstream_load(attempt.upstream.name).start_attempt(
        attempt, loads.attempts_started
    )
    loads.service_load(
        attempt.ticket.route.service, INITIAL_LIMIT
    ).start_attempt()


@ATTEMPT_END_HOOKS.register(LOAD_RANK)
def record_attempt_end(node: Node, attempt: Attempt, outcome: Outcome) -> None:
    """Updates the loads with the outcome of an attempt."""
    now = outcome.ended_at
    load = node.loads.upstream_load(attempt.upstream.name)
    load.end_attempt(attempt)
    service = node.loads.service_load(
        attempt.ticket.route.service, INITIAL_LIMIT
    )
    service.end_attempt()
    if outcome.ending is Ending.SHED:
        load.record_shed(attempt.started_at, now)
        _lower_limit_if_full(node, attempt.ticket.route.service, now)
    elif is_failure(outcome):
        load.record_failure()
    elif outcome.ending is Ending.ANSWERED:
        load.record_answer(now, now - attempt.started_at)
        if service.in_flight + 1 >= service.limit:
            service.raise_limit(LIMIT_INCREASE / service.limit, MAX_LIMIT)


def lower_service_limit(node: Node, service: Service, now: Instant) -> None:
    """Lowers the limit of a service, as TCP does on a loss.

    The limit does not fall below the number of assigned slots: while every
    instance stays within its assigned slots, no upstream is overloaded.
    """
    assigned = sum(
        own_slot_count(node, service, upstream, now)
        for upstream in service.upstreams
    )
    next_decrease = new_deadline(now, DECREASE_PERIOD_SECONDS)
    load = node.loads.service_load(service.name, INITIAL_LIMIT)
    load.lower_limit(
        LIMIT_DECREASE_FACTOR, max(1, assigned), next_decrease, now
    )


def _lower_limit_if_full(node: Node, service_name: str, now: Instant) -> None:
    service = node.snapshot.services.get(service_name)
    if service is not None and is_service_full(node, service, now):
        lower_service_limit(node, service, now)
