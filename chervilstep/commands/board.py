"""Commands that keep the loads of the upstreams up to date."""

from typing import Final

from chervilstep.calls import Attempt, Ending, Outcome
from chervilstep.hooks import ATTEMPT_END_HOOKS, ATTEMPT_START_HOOKS
from chervilstep.node import Node
from chervilstep.queries.homes import own_slots
from chervilstep.queries.outcomes import is_failure
from chervilstep.queries.warmth import is_service_full
from chervilstep.services import Service
from chervilstep.types import Instant, new_deadline

#: The rank of the load among the commands that follow an attempt.
LOAD_RANK: Final = 10
#: Requests in flight that a service is allowed before anything is known.
FIRST_LIMIT: Final = 8
HIGHEST_LIMIT: Final = 1000
#: What a full window of answers adds to the limit.
RAISING_STEP: Final = 1
#: What the limit shrinks to when an upstream sheds, as in TCP's AIMD.
LOWERING_FACTOR: Final = 0.9
#: Sheds that come within this time count as one.
LOWERING_PERIOD_SECONDS: Final = 0.02


@ATTEMPT_START_HOOKS.register(LOAD_RANK)
def start_load(node: Node, attempt: Attempt) -> None:
    """Counts the attempt as in flight."""
    board = node.board
    board.turn()
    board.load(attempt.upstream.name).start(attempt, board.turns)
    board.service(attempt.ticket.route.service, FIRST_LIMIT).start()


@ATTEMPT_END_HOOKS.register(LOAD_RANK)
def end_load(node: Node, attempt: Attempt, outcome: Outcome) -> None:
    """Takes in how the attempt ended."""
    now = outcome.ended_at
    load = node.board.load(attempt.upstream.name)
    load.end(attempt)
    service = node.board.service(attempt.ticket.route.service, FIRST_LIMIT)
    service.end()
    if outcome.ending is Ending.SHED:
        load.shed(attempt.started_at, now)
        _shrink(node, attempt.ticket.route.service, now)
    elif is_failure(outcome):
        load.fail()
    elif outcome.ending is Ending.ANSWERED:
        load.answer(now, now - attempt.started_at)
        if service.in_flight + 1 >= service.limit:
            service.raise_limit(RAISING_STEP / service.limit, HIGHEST_LIMIT)


def shrink_limit(node: Node, service: Service, now: Instant) -> None:
    """Allows a service fewer requests in flight, as TCP does on a loss.

    The limit stays at the own share of the slots at least: when every
    instance keeps to that, no upstream is overloaded.
    """
    share = sum(len(each) for each in own_slots(node, service, now).values())
    again = new_deadline(now, LOWERING_PERIOD_SECONDS)
    load = node.board.service(service.name, FIRST_LIMIT)
    load.lower_limit(LOWERING_FACTOR, max(1, share), again, now)


def _shrink(node: Node, name: str, now: Instant) -> None:
    service = node.snapshot.services.get(name)
    if service is not None and is_service_full(node, service, now):
        shrink_limit(node, service, now)
