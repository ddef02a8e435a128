"""Fetches sections from peers and hands them on."""

import zlib
from collections.abc import Iterable
from typing import Final

from chervilstep.commands.configuration import offer_sections
from chervilstep.exceptions import PeerError
from chervilstep.hooks import HANDLERS, every
from chervilstep.messages import Message
from chervilstep.node import Node
from chervilstep.queries.document import MAX_SECTION_BYTES
from chervilstep.queries.revisions import (
    is_newer,
    newer_than_page,
    revisions_page,
)
from chervilstep.relay import TRANSFER_SECONDS, Transfer
from chervilstep.sync_messages import (
    PAGE_ENTRIES,
    Revisions,
    RevisionsNotice,
    RevisionsPage,
    RevisionsRequest,
    SectionPart,
    SectionRequest,
)
from chervilstep.types import Instant, new_deadline

#: Keeps a frame well below the limit of the streams between peers.
PART_BYTES: Final = 16 * 1024
#: How many sections are fetched at a time.
MAX_TRANSFERS: Final = 16
FLUSH_PERIOD_SECONDS: Final = 0.5


def request_revisions(node: Node, peer: str, below: int | None) -> None:
    """Asks a peer for the revisions that it accepted."""
    node.outbox.put(peer, RevisionsRequest(below))


@HANDLERS.register(RevisionsRequest.kind)
def list_revisions(
    node: Node, peer: str, message: Message, now: Instant
) -> None:
    """Answers with a page of the accepted revisions."""
    assert isinstance(message, RevisionsRequest)
    page = revisions_page(node.configuration, message.below, PAGE_ENTRIES)
    node.outbox.put(peer, page)


@HANDLERS.register(RevisionsPage.kind)
def compare_page(node: Node, peer: str, message: Message, now: Instant) -> None:
    """Fetches what the peer has newer, tells it of what it lacks.

    A page without a difference leads to the next one.
    """
    assert isinstance(message, RevisionsPage)
    fetched = _wanted(node, message.revisions)
    offered = newer_than_page(node.configuration, message)
    if offered:
        node.outbox.put(peer, RevisionsNotice(offered[:PAGE_ENTRIES]))
    if fetched:
        _fetch(node, peer, fetched, now)
    elif message.above and not offered:
        request_revisions(node, peer, message.above + 1)


@HANDLERS.register(RevisionsNotice.kind)
def take_notice(node: Node, peer: str, message: Message, now: Instant) -> None:
    """Fetches the revisions that a peer told of."""
    assert isinstance(message, RevisionsNotice)
    _fetch(node, peer, _wanted(node, message.revisions), now)


@HANDLERS.register(SectionRequest.kind)
def send_part(node: Node, peer: str, message: Message, now: Instant) -> None:
    """Sends a part of a section; a newer revision goes in its place."""
    assert isinstance(message, SectionRequest)
    section = node.configuration.sections.get(message.name)
    if section is None or section.revision < message.revision:
        return
    offset = message.offset if section.revision == message.revision else 0
    body = b''
    if section.text is not None:
        body = zlib.compress(section.text.encode())
    part = SectionPart(
        section.name,
        section.revision,
        offset,
        len(body),
        body[offset : offset + PART_BYTES],
    )
    node.outbox.put(peer, part)


@HANDLERS.register(SectionPart.kind)
def take_part(node: Node, peer: str, message: Message, now: Instant) -> None:
    """Takes in a part of a section and asks for the next one."""
    assert isinstance(message, SectionPart)
    transfer = node.relay.transfers.get(message.name)
    if transfer is None or transfer.peer != peer:
        return
    if transfer.revision < message.revision and not message.offset:
        transfer = _begin(node, peer, message.name, message.revision, now)
    if not _continues(transfer, message):
        return
    transfer.extend(message.data, new_deadline(now, TRANSFER_SECONDS))
    if len(transfer.body) < message.size:
        _request_part(node, transfer)
        return
    node.relay.drop(transfer.name)
    text = _decompressed(transfer.body) if message.size else None
    node.relay.arrive(transfer.name, transfer.revision, text)
    if not node.relay.transfers:
        flush_arrived(node, now)
        # There may have been more than fits into one round of transfers.
        request_revisions(node, peer, None)


@every(FLUSH_PERIOD_SECONDS, 'config-transfers')
def flush_arrived(node: Node, now: Instant) -> None:
    """Offers the fetched sections together; gives late transfers up."""
    for transfer in tuple(node.relay.transfers.values()):
        if transfer.deadline.has_passed(now):
            node.relay.drop(transfer.name)
    arrived = node.relay.arrived
    offers = [(section, *found) for section, found in arrived.items()]
    node.relay.clear_arrived()
    if offers:
        offer_sections(node, offers, now)


def _wanted(node: Node, revisions: Iterable[tuple[str, int]]) -> Revisions:
    return tuple(
        (name, revision)
        for name, revision in revisions
        if is_newer(node.configuration, name, revision)
    )


def _fetch(node: Node, peer: str, revisions: Revisions, now: Instant) -> None:
    for name, revision in revisions:
        running = node.relay.transfers.get(name)
        if running is not None and not running.deadline.has_passed(now):
            continue
        if running is None and len(node.relay.transfers) >= MAX_TRANSFERS:
            return
        _begin(node, peer, name, revision, now)
        _request_part(node, node.relay.transfers[name])


def _begin(
    node: Node, peer: str, name: str, revision: int, now: Instant
) -> Transfer:
    deadline = new_deadline(now, TRANSFER_SECONDS)
    transfer = Transfer(peer, name, revision, deadline)
    node.relay.begin(transfer)
    return transfer


def _request_part(node: Node, transfer: Transfer) -> None:
    request = SectionRequest(
        transfer.name, transfer.revision, len(transfer.body)
    )
    node.outbox.put(transfer.peer, request)


def _continues(transfer: Transfer, part: SectionPart) -> bool:
    if part.size > MAX_SECTION_BYTES + PART_BYTES:
        raise PeerError(f'section {part.name!r} is too large')
    return (
        part.revision == transfer.revision
        and part.offset == len(transfer.body)
        and bool(part.data) == bool(part.size)
    )


def _decompressed(body: bytes) -> str:
    decompressor = zlib.decompressobj()
    try:
        return decompressor.decompress(body, MAX_SECTION_BYTES + 1).decode()
    except (zlib.error, UnicodeDecodeError) as error:
        raise PeerError(f'a section cannot be read: {error}') from error
