"""Takes in sections of the operators' document."""

from collections.abc import Iterable
from typing import Final, TypeAlias

from chervilstep.configuration import Configuration, Fault, Section
from chervilstep.exceptions import SectionError
from chervilstep.node import Node
from chervilstep.queries.composition import compose
from chervilstep.queries.document import parse_section
from chervilstep.queries.revisions import fingerprint_of, is_newer
from chervilstep.queries.tables import NAME_PATTERN
from chervilstep.types import Deadline, Instant

#: A section's name, its revision and its text, or None for a deletion.
Offer: TypeAlias = tuple[str, int, str | None]

ACCEPTED: Final = 'sections_accepted'
REFUSED: Final = 'sections_refused'
OUTDATED: Final = 'sections_outdated'


def offer_section(
    node: Node, name: str, revision: int, text: str | None, now: Instant
) -> None:
    """Accepts one section, as ``offer_sections`` does."""
    offer_sections(node, [(name, revision, text)], now)


def offer_sections(node: Node, offers: Iterable[Offer], now: Instant) -> None:
    """Accepts each section that is sound and newer than the accepted one.

    A text of None deletes the section. A refused text leaves the last
    accepted one in force. Revisions never go back, whoever offers them.
    """
    before = node.counters.total(ACCEPTED)
    for name, revision, text in offers:
        if is_newer(node.configuration, name, revision):
            _judge(node, name, revision, text)
        else:
            node.counters.add(OUTDATED)
    if node.counters.total(ACCEPTED) > before:
        _publish(node.configuration)


def confirm(node: Node, until: Deadline) -> None:
    """Extends the time for which the configuration counts as current."""
    node.configuration.confirm(until)


def _new_section(name: str, revision: int, text: str | None) -> Section:
    if not NAME_PATTERN.fullmatch(name):
        raise SectionError(f'{name!r} is not a name for a section')
    if text is None:
        return Section(name, revision, None)
    return Section(name, revision, text, parse_section(text))


def _judge(node: Node, name: str, revision: int, text: str | None) -> None:
    try:
        section = _new_section(name, revision, text)
    except SectionError as error:
        node.configuration.refuse(name, Fault(revision, str(error)))
        node.counters.add(REFUSED)
        return
    node.configuration.accept(section)
    node.counters.add(ACCEPTED)


def _publish(configuration: Configuration) -> None:
    sections = configuration.sections
    composition = compose(
        {name: section.content for name, section in sections.items()}
    )
    configuration.publish(
        composition.snapshot,
        composition.conflicts,
        fingerprint_of(sections),
    )
