"""Queries that classify the outcome of an attempt."""

from typing import Final

from chervilstep.calls import Ending, Outcome

#: Endings that count as failures of the upstream or its connection.
FAILURE_ENDINGS: Final = frozenset(
    (
        Ending.CONNECT_FAILED,
        Ending.LOST_BEFORE_WRITE,
        Ending.LOST,
        Ending.TIMED_OUT,
        Ending.BAD_ANSWER,
    )
)
#: The lowest HTTP status of a server error.
MIN_SERVER_ERROR_STATUS: Final = 500


def is_failure(outcome: Outcome) -> bool:
    """Whether the attempt failed at its upstream or on the way there."""
    if outcome.ending in FAILURE_ENDINGS:
        return True
    answer = outcome.answer
    return answer is not None and answer.status >= MIN_SERVER_ERROR_STATUS


def is_good_answer(outcome: Outcome) -> bool:
    """Whether the upstream answered without a server error."""
    return outcome.ending is Ending.ANSWERED and not is_failure(outcome)
