"""Counts the attempts in flight at each upstream."""

from chervilstep.calls import Attempt, Ending, Outcome
from chervilstep.hooks import ATTEMPT_ENDS, ATTEMPT_STARTS
from chervilstep.node import Node


@ATTEMPT_STARTS.register(rank=0)
def count_start(node: Node, attempt: Attempt) -> None:
    """Counts an attempt that takes a slot."""
    node.board.load(attempt.upstream.name).start()


@ATTEMPT_ENDS.register(rank=0)
def count_end(node: Node, attempt: Attempt, outcome: Outcome) -> None:
    """Counts an attempt that freed its slot."""
    is_answered = outcome.ending is Ending.ANSWERED
    answered_at = outcome.ended_at if is_answered else None
    node.board.load(attempt.upstream.name).end(answered_at)
