"""Starts and ends attempts."""

from chervilstep.calls import Attempt, Call, Outcome, Ticket
from chervilstep.hooks import (
    ATTEMPT_ENDS,
    ATTEMPT_STARTS,
    CHARGES,
    REFUSED_CALLS,
)
from chervilstep.node import Node
from chervilstep.progress import Progress
from chervilstep.refusals import Refusal
from chervilstep.types import Instant


def charge(node: Node, ticket: Ticket, now: Instant) -> None:
    """Charges a ticket that every check let pass."""
    for command in CHARGES:
        command(node, ticket, now)


def refuse(node: Node, call: Call, refusal: Refusal, now: Instant) -> None:
    """Tells of a call that was refused before it could run."""
    for command in REFUSED_CALLS:
        command(node, call, refusal, now)


def start(node: Node, progress: Progress, attempt: Attempt) -> None:
    """Takes the slot of an attempt that is about to be sent."""
    progress.begin(attempt)
    for command in ATTEMPT_STARTS:
        command(node, attempt)


def end(
    node: Node, progress: Progress, attempt: Attempt, outcome: Outcome
) -> None:
    """Frees the slot of an attempt and takes in what it has shown."""
    progress.end(outcome)
    for command in ATTEMPT_ENDS:
        command(node, attempt, outcome)
