"""Takes in sections of the operators' document."""

from collections.abc import Iterable
from typing import Final, TypeAlias

from chervilstep.configuration import Configuration, Fault, Section
from chervilstep.exceptions import SectionError
from chervilstep.node import Node
from chervilstep.queries.composition import compose
from chervilstep.queries.document import parse_section
from chervilstep.queries.relaying import notice_recipients
from chervilstep.queries.revisions import fingerprint_of, is_newer
from chervilstep.queries.tables import NAME_PATTERN
from chervilstep.sync_messages import PAGE_ENTRIES, RevisionsNotice
from chervilstep.types import Instant

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
    Some peers are told of what was accepted.
    """
    accepted = []
    for name, revision, text in offers:
        if not is_newer(node.configuration, name, revision):
            node.counters.add(OUTDATED)
            continue
        _judge(node, name, revision, text)
        section = node.configuration.sections.get(name)
        if section is not None and section.revision == revision:
            accepted.append((name, revision))
    if accepted:
        _publish(node.configuration)
        _notify(node, accepted, now)


def _notify(node: Node, accepted: list[tuple[str, int]], now: Instant) -> None:
    newest = sorted(accepted, key=_revision_of, reverse=True)[:PAGE_ENTRIES]
    for peer in notice_recipients(node, now):
        node.outbox.put(peer, RevisionsNotice(tuple(newest)))


def _revision_of(entry: tuple[str, int]) -> int:
    return entry[1]


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
