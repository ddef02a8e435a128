"""Commands that count the broken answers of upstreams."""

from typing import Final

from chervilstep.calls import Attempt, Outcome
from chervilstep.hooks import ATTEMPT_END_HOOKS
from chervilstep.node import Node

#: After the line of the attempt, which has the fault itself.
BAD_ANSWER_RANK: Final = 6


@ATTEMPT_END_HOOKS.register(BAD_ANSWER_RANK)
def count_bad_answer(node: Node, attempt: Attempt, outcome: Outcome) -> None:
    """Counts an attempt whose answer was broken, by service."""
    if outcome.fault is not None:
        node.counters.add('bad_answers', service=attempt.ticket.route.service)
