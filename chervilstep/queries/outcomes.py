"""Queries on what the end of an attempt says of its upstream."""

from typing import Final

from chervilstep.calls import Ending, Outcome

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


def is_failure(outcome: Outcome) -> bool:
    """Whether the attempt failed through its upstream, or the way there."""
    if outcome.ending in FAILURES:
        return True
    answer = outcome.answer
    return answer is not None and answer.status >= SERVER_ERROR


def is_good_answer(outcome: Outcome) -> bool:
    """Whether the upstream answered and did not blame itself."""
    return outcome.ending is Ending.ANSWERED and not is_failure(outcome)
