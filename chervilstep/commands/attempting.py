"""Runs the hooks of tickets, refusals and attempts."""

from chervilstep.calls import Attempt, Call, Outcome, Ticket
from chervilstep.hooks import (
    ATTEMPT_END_HOOKS,
    ATTEMPT_START_HOOKS,
    CHARGES,
    REFUSAL_HOOKS,
)
from chervilstep.node import Node
from chervilstep.progress import Progress
from chervilstep.refusals import Refusal
from chervilstep.types import Instant


def charge_ticket(node: Node, ticket: Ticket, now: Instant) -> None:
    """Charges a ticket after every check has passed."""
    for command in CHARGES:
        command(node, ticket, now)


def refuse_call(node: Node, call: Call, refusal: Refusal, now: Instant) -> None:
    """Runs the hooks for a call that was refused before it could run."""
    for command in REFUSAL_HOOKS:
        command(node, call, refusal, now)


def start_attempt(node: Node, progress: Progress, attempt: Attempt) -> None:
    """Records an attempt that is about to be sent and runs its hooks."""
    progress.record_start(attempt)
    for command in ATTEMPT_START_HOOKS:
        command(node, attempt)


def end_attempt(
    node: Node, progress: Progress, attempt: Attempt, outcome: Outcome
) -> None:
    """Records the outcome of an attempt and runs its hooks."""
    progress.record_end(outcome)
    for command in ATTEMPT_END_HOOKS:
        command(node, attempt, outcome)
