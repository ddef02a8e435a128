"""Fetches the last valid text of a section whose newest text is invalid."""

from typing import Final, final

from chervilstep.commands.configuration import (
    apply_sections,
    publish_sections,
)
from chervilstep.fields import require_type
from chervilstep.hooks import HANDLERS, MESSAGES, every
from chervilstep.messages import Message
from chervilstep.node import Node
from chervilstep.queries.gossip import connected_peers
from chervilstep.queries.revisions import missing_sections
from chervilstep.revisions import (
    Revision,
    RevisionPair,
    require_revision_pair,
)
from chervilstep.types import Instant

#: How often an instance queries another peer for a missing section.
QUERY_PERIOD_SECONDS: Final = 0.25


@final
@MESSAGES.register('section-ask')
class SectionQuery(Message):
    """A query for the accepted text of a section."""

    __slots__ = ('_name',)

    kind = 'section-ask'
    fields = ('name',)

    def __init__(self, name: str) -> None:
        """Creates a query for the section ``name``."""
        self._name = require_type(name, str)

    @property
    def name(self) -> str:
        """The name of the section."""
        return self._name


@final
@MESSAGES.register('section-text')
class SectionText(Message):
    """The accepted text of a section."""

    __slots__ = ('_name', '_revision', '_text')

    kind = 'section-text'
    fields = ('name', 'revision', 'text')

    def __init__(self, name: str, revision: RevisionPair, text: str) -> None:
        """Creates an answer with a text and its revision."""
        self._name = require_type(name, str)
        self._revision = require_revision_pair(revision)
        self._text = require_type(text, str)

    @property
    def name(self) -> str:
        """The name of the section."""
        return self._name

    @property
    def revision(self) -> RevisionPair:
        """The store's revision of the text."""
        return self._revision

    @property
    def text(self) -> str:
        """The text in TOML."""
        return self._text


@every(QUERY_PERIOD_SECONDS, 'section-ask')
def query_missing_sections(node: Node, now: Instant) -> None:
    """Queries a peer for each section for which no valid text is known.

    When the wait is over, the accepted sections are published without the
    missing ones.
    """
    publish_sections(node, now)
    connected = connected_peers(node)
    if not connected:
        return
    for name in missing_sections(node.configuration):
        node.outbox.put(node.rng.choice(connected), SectionQuery(name))


@HANDLERS.register('section-ask')
def handle_section_query(
    node: Node, peer: str, message: Message, now: Instant
) -> None:
    """Answers with the accepted text, if there is one."""
    assert isinstance(message, SectionQuery)
    section = node.configuration.sections.get(message.name)
    if section is not None and section.text is not None:
        reply = SectionText(section.name, section.revision.pair, section.text)
        node.outbox.put(peer, reply)


@HANDLERS.register('section-text')
def handle_section_text(
    node: Node, peer: str, message: Message, now: Instant
) -> None:
    """Applies a peer's accepted text until a newer one is valid."""
    assert isinstance(message, SectionText)
    if message.name in missing_sections(node.configuration):
        revision = Revision(*message.revision)
        apply_sections(node, [(message.name, revision, message.text)], now)
