"""Queries on what a stopping instance can still serve."""

from typing import Final

from chervilstep.calls import Ticket
from chervilstep.hooks import CHECKS
from chervilstep.node import Node
from chervilstep.refusals import LEAVING, Refusal
from chervilstep.types import Deadline, Instant

#: After the checks of access, whose refusals do not depend on the instance.
SHUTDOWN_RANK: Final = 30


def outlasts_shutdown(node: Node, deadline: Deadline) -> bool:
    """Whether a call with this deadline could be cut by a planned stop."""
    answers_until = node.members.shutdown.answers_until
    return answers_until is not None and deadline.at > answers_until.at


@CHECKS.register(SHUTDOWN_RANK)
def check_shutdown(node: Node, ticket: Ticket, now: Instant) -> Refusal | None:
    """Refuses a call that might not be answered before the process ends.

    Another instance can run it at once. A call that is accepted is never cut.
    """
    return LEAVING if outlasts_shutdown(node, ticket.deadline) else None
