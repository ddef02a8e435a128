"""Takes in what the platform's read-and-watch service answers."""

from collections.abc import Iterable
from typing import Final

from chervilstep.commands.configuration import offer_sections
from chervilstep.commands.relaying import confirm
from chervilstep.members import Instance
from chervilstep.node import Node
from chervilstep.queries.relaying import is_alone
from chervilstep.queries.revisions import highest_revision, missing_sections
from chervilstep.relay import HOLD_SECONDS
from chervilstep.types import Instant, new_deadline
from chervilstep.values import PlatformAnswer

STALE_ANSWERS: Final = 'platform_stale_answers'


def take_sections(
    node: Node, answer: PlatformAnswer, known_at: Instant, now: Instant
) -> None:
    """Takes in an answer on the document.

    ``known_at`` is an instant at which the answer was still true. An answer
    from a replica that lags behind this instance confirms nothing, and what
    it lacks was not deleted.
    """
    offers = [(item.name, item.revision, item.text) for item in answer.values]
    if answer.is_complete:
        offers.extend(
            (name, answer.revision, None)
            for name in missing_sections(node.configuration, answer)
        )
    offer_sections(node, offers, now)
    if answer.revision < highest_revision(node.configuration):
        node.counters.add(STALE_ANSWERS)
        return
    node.configuration.see(answer.revision)
    if is_alone(node):
        node.relay.introduce()
    until = new_deadline(known_at, HOLD_SECONDS)
    node.configuration.note_read(until)
    if node.configuration.sections:
        confirm(node, until, now)


def take_instances(
    node: Node,
    revision: int,
    instances: Iterable[Instance],
    *,
    gone: Iterable[str],
    is_complete: bool,
) -> None:
    """Takes in an answer on the entry instances; ``gone`` were deleted."""
    known = {} if is_complete else dict(node.members.listed)
    known.update({instance.name: instance for instance in instances})
    for name in gone:
        known.pop(name, None)
    node.members.replace(revision, known.values())
    node.configuration.see(revision)


def confirm_alone(node: Node, now: Instant) -> None:
    """Confirms the configuration of an instance that has no peers."""
    node.relay.introduce()
    confirm(node, new_deadline(now, HOLD_SECONDS), now)
