"""Commands that keep the loads of the upstreams up to date."""

from typing import Final

from chervilstep.board import UpstreamLoad
from chervilstep.calls import Attempt, Ending, Outcome
from chervilstep.hooks import ATTEMPT_ENDS, ATTEMPT_STARTS
from chervilstep.node import Node

#: The rank of the load among the commands that follow an attempt.
LOAD_RANK: Final = 10
#: Endings that speak against the upstream.
FAILURES: Final = frozenset(
    (
        Ending.CONNECT_FAILED,
        Ending.LOST_BEFORE_WRITE,
        Ending.LOST,
        Ending.TIMED_OUT,
        Ending.BAD_ANSWER,
    )
)
#: The lowest HTTP status that blames the upstream for an answer.
SERVER_ERROR: Final = 500


@ATTEMPT_STARTS.register(LOAD_RANK)
def start_load(node: Node, attempt: Attempt) -> None:
    """Counts the attempt as in flight."""
    node.board.load(attempt.upstream.name).start()
    node.board.turn()


@ATTEMPT_ENDS.register(LOAD_RANK)
def end_load(node: Node, attempt: Attempt, outcome: Outcome) -> None:
    """Takes in how the attempt ended."""
    load = node.board.load(attempt.upstream.name)
    load.end()
    if outcome.ending is Ending.SHED:
        load.shed()
    elif outcome.ending in FAILURES or _is_server_error(outcome):
        load.fail()
    elif outcome.ending is Ending.ANSWERED:
        _take_answer(load, attempt, outcome)


def _take_answer(
    load: UpstreamLoad, attempt: Attempt, outcome: Outcome
) -> None:
    load.answer(outcome.ended_at, outcome.ended_at - attempt.started_at)


def _is_server_error(outcome: Outcome) -> bool:
    answer = outcome.answer
    return answer is not None and answer.status >= SERVER_ERROR
