"""Fetches the last sound text of sections whose newest one is broken."""

from typing import Final, final

from chervilstep.commands.configuration import (
    offer_sections,
    publish_sections,
)
from chervilstep.fields import require_type
from chervilstep.hooks import HANDLERS, MESSAGES, every
from chervilstep.messages import Message
from chervilstep.node import Node
from chervilstep.queries.gossip import connected_peers
from chervilstep.queries.revisions import sections_lacking
from chervilstep.types import Instant

#: How often an instance that lacks a section asks another peer.
ASK_SECONDS: Final = 0.25


@final
@MESSAGES.register('section-ask')
class SectionAsk(Message):
    """Asks for the accepted text of a section."""

    __slots__ = ('_name',)

    kind = 'section-ask'
    fields = ('name',)

    def __init__(self, name: str) -> None:
        """Creates a question for the section ``name``."""
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

    def __init__(self, name: str, revision: int, text: str) -> None:
        """Creates an answer with the revision of the text."""
        self._name = require_type(name, str)
        self._revision = require_type(revision, int)
        self._text = require_type(text, str)

    @property
    def name(self) -> str:
        """The name of the section."""
        return self._name

    @property
    def revision(self) -> int:
        """The store's revision of the text."""
        return self._revision

    @property
    def text(self) -> str:
        """The text."""
        return self._text


@every(ASK_SECONDS, 'section-ask')
def ask_for_sections(node: Node, now: Instant) -> None:
    """Asks a peer for each section that was broken before it was known.

    What was accepted comes into force without it once the wait is over.
    """
    publish_sections(node, now)
    heard = connected_peers(node)
    if not heard:
        return
    for name in sections_lacking(node.configuration):
        node.outbox.put(node.rng.choice(heard), SectionAsk(name))


@HANDLERS.register('section-ask')
def answer_section_ask(
    node: Node, peer: str, message: Message, now: Instant
) -> None:
    """Sends the accepted text, if there is one."""
    assert isinstance(message, SectionAsk)
    section = node.configuration.sections.get(message.name)
    if section is not None and section.text is not None:
        text = SectionText(section.name, section.revision, section.text)
        node.outbox.put(peer, text)


@HANDLERS.register('section-text')
def take_section_text(
    node: Node, peer: str, message: Message, now: Instant
) -> None:
    """Puts a peer's accepted text in force until the newest one is mended."""
    assert isinstance(message, SectionText)
    if message.name in sections_lacking(node.configuration):
        offer = message.name, message.revision, message.text
        offer_sections(node, [offer], now)
