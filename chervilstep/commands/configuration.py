"""Applies sections of the operators' document."""

from collections.abc import Iterable
from typing import Final, TypeAlias

from chervilstep.configuration import Section, SectionFault
from chervilstep.exceptions import ItemError, SectionError
from chervilstep.hooks import ITEM_READERS, PUBLISHERS
from chervilstep.node import Node
from chervilstep.queries.composition import compose
from chervilstep.queries.document import parse_section
from chervilstep.queries.revisions import is_awaiting_sections, is_newer
from chervilstep.queries.tables import NAME_PATTERN
from chervilstep.replica import StoredItem
from chervilstep.revisions import Revision
from chervilstep.types import Instant, new_deadline

#: The name, the revision and the text of a section; None deletes it.
SectionRevision: TypeAlias = tuple[str, Revision, str | None]

#: The first segment of the keys of sections in a store.
SECTION_KEY_PREFIX: Final = 'sections'
ACCEPTED_COUNTER: Final = 'sections_accepted'
REFUSED_COUNTER: Final = 'sections_refused'
OUTDATED_COUNTER: Final = 'sections_outdated'
#: How long a starting instance waits for a peer's text of an invalid section.
#: The time allows for several queries to peers and is well below the time that
#: callers wait for an instance.
SECTION_TIMEOUT_SECONDS: Final = 2.0


@ITEM_READERS.register(SECTION_KEY_PREFIX)
def apply_stored_section(node: Node, item: StoredItem, now: Instant) -> None:
    """Applies a section from a store.

    Raises:
        ItemError: The value is not UTF-8 text.
    """
    text = None
    if item.value is not None:
        text = _decode_text(item.value)
    name = item.key.partition('/')[2]
    apply_section(node, name, item.revision, text, now)


def apply_section(
    node: Node, name: str, revision: Revision, text: str | None, now: Instant
) -> None:
    """Accepts a section if it is valid and newer than the accepted one.

    A text of None deletes the section. When a text is refused, the last
    accepted one stays in force. An older revision never replaces a newer one,
    whatever its source.
    """
    configuration = node.configuration
    if not is_newer(configuration, name, revision):
        node.counters.add(OUTDATED_COUNTER)
        return
    try:
        section = _new_section(name, revision, text)
    except SectionError as error:
        configuration.record_fault(name, SectionFault(revision, str(error)))
        configuration.start_section_wait(
            new_deadline(now, SECTION_TIMEOUT_SECONDS)
        )
        node.counters.add(REFUSED_COUNTER)
        faults = str(error).splitlines()
        node.events.add(
            'section_refused',
            section=name,
            revision=revision.number,
            faults=faults,
        )
        return
    configuration.accept(section)
    node.counters.add(ACCEPTED_COUNTER)
    node.events.add('section_accepted', section=name, revision=revision.number)


@PUBLISHERS.register(rank=10)
def publish_sections(node: Node, now: Instant) -> None:
    """Publishes the accepted sections as one snapshot."""
    configuration = node.configuration
    if not configuration.has_changes or is_awaiting_sections(
        configuration, now
    ):
        return
    contents = {
        name: section.content
        for name, section in configuration.sections.items()
    }
    composition = compose(contents)
    configuration.publish(composition.snapshot, composition.conflicts)


def apply_sections(
    node: Node, revisions: Iterable[SectionRevision], now: Instant
) -> None:
    """Applies sections and publishes the accepted ones."""
    for name, revision, text in revisions:
        apply_section(node, name, revision, text, now)
    publish_sections(node, now)


def _new_section(name: str, revision: Revision, text: str | None) -> Section:
    if not NAME_PATTERN.fullmatch(name):
        raise SectionError(f'{name!r} is not a valid name of a section')
    if text is None:
        return Section(name, revision, None)
    return Section(name, revision, text, parse_section(text))


def _decode_text(value: bytes) -> str:
    try:
        return value.decode()
    except UnicodeDecodeError as fault:
        raise ItemError(f'the section is not valid UTF-8: {fault}') from fault
