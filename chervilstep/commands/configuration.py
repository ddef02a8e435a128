"""Takes in sections of the operators' document."""

from collections.abc import Iterable
from typing import Final, TypeAlias

from chervilstep.configuration import Fault, Section
from chervilstep.exceptions import ItemError, SectionError
from chervilstep.hooks import ITEM_READERS, PUBLISHERS
from chervilstep.node import Node
from chervilstep.queries.composition import compose
from chervilstep.queries.document import parse_section
from chervilstep.queries.revisions import awaits_sections, is_newer
from chervilstep.queries.tables import NAME_PATTERN
from chervilstep.replica import StoredItem
from chervilstep.types import Instant, new_deadline

#: A section's name, its revision and its text, or None for a deletion.
Offer: TypeAlias = tuple[str, int, str | None]

#: The first part of the keys under which a store holds sections.
SECTIONS: Final = 'sections'
ACCEPTED: Final = 'sections_accepted'
REFUSED: Final = 'sections_refused'
OUTDATED: Final = 'sections_outdated'
#: How long a start waits for a peer's text of a section that is broken: some
#: questions to peers, and well below what callers wait for an instance.
AWAIT_SECONDS: Final = 2.0


@ITEM_READERS.register(SECTIONS)
def read_section(node: Node, item: StoredItem, now: Instant) -> None:
    """Takes in a section that a store holds.

    Raises:
        ItemError: The value is not text.
    """
    text = None
    if item.value is not None:
        text = _text_of(item.value)
    name = item.key.partition('/')[2]
    take_section(node, name, item.revision, text, now)


def take_section(
    node: Node, name: str, revision: int, text: str | None, now: Instant
) -> None:
    """Accepts one section that is sound and newer than the accepted one.

    A text of None deletes the section. A refused text leaves the last
    accepted one in force. Revisions never go back, whoever offers them.
    """
    configuration = node.configuration
    if not is_newer(configuration, name, revision):
        node.counters.add(OUTDATED)
        return
    try:
        section = _new_section(name, revision, text)
    except SectionError as error:
        configuration.refuse(name, Fault(revision, str(error)))
        configuration.await_texts(new_deadline(now, AWAIT_SECONDS))
        node.counters.add(REFUSED)
        faults = str(error).splitlines()
        node.events.add(
            'section_refused', section=name, revision=revision, faults=faults
        )
        return
    configuration.accept(section)
    node.counters.add(ACCEPTED)
    node.events.add('section_accepted', section=name, revision=revision)


@PUBLISHERS.register(rank=10)
def publish_sections(node: Node, now: Instant) -> None:
    """Puts the accepted sections in force as one snapshot."""
    configuration = node.configuration
    if not configuration.has_news or awaits_sections(configuration, now):
        return
    contents = {
        name: section.content
        for name, section in configuration.sections.items()
    }
    composition = compose(contents)
    configuration.publish(composition.snapshot, composition.conflicts)


def offer_sections(node: Node, offers: Iterable[Offer], now: Instant) -> None:
    """Takes in sections and puts what is accepted in force."""
    for name, revision, text in offers:
        take_section(node, name, revision, text, now)
    publish_sections(node, now)


def _new_section(name: str, revision: int, text: str | None) -> Section:
    if not NAME_PATTERN.fullmatch(name):
        raise SectionError(f'{name!r} is not a name for a section')
    if text is None:
        return Section(name, revision, None)
    return Section(name, revision, text, parse_section(text))


def _text_of(content: bytes) -> str:
    try:
        return content.decode()
    except UnicodeDecodeError as fault:
        raise ItemError(f'a section is not UTF-8: {fault}') from fault
