"""Keeps the configuration equal to the peers' and confirms that it is."""

from typing import Final

from chervilstep.commands.transfers import request_revisions
from chervilstep.hooks import HANDLERS, every
from chervilstep.messages import Message
from chervilstep.node import Node
from chervilstep.queries.relaying import (
    inquiry_recipients,
    is_alone,
    needs_quorum,
    platform_remaining_of,
    quorum_until,
    remaining_of,
    vouchers_of,
)
from chervilstep.queries.revisions import highest_revision
from chervilstep.relay import (
    GRACE_SECONDS,
    HOLD_SECONDS,
    INTRODUCTION_SECONDS,
)
from chervilstep.sync_messages import ConfigInquiry, ConfigSummary
from chervilstep.types import Deadline, Instant, new_deadline

INQUIRY_PERIOD_SECONDS: Final = 1.0


@every(INQUIRY_PERIOD_SECONDS, 'config-inquiries')
def inquire(node: Node, now: Instant) -> None:
    """Asks some peers whether they know of the same sections.

    A copy of the platform's store has no sections to ask for.
    """
    if node.replica.is_followed:
        return
    relay = node.relay
    if relay.introduce_by is None:
        relay.start(
            new_deadline(now, INTRODUCTION_SECONDS),
            new_deadline(now, GRACE_SECONDS),
        )
    relay.forget_expired(now)
    if is_alone(node):
        confirm_by_quorum(node, now)
    for peer in inquiry_recipients(node, now):
        relay.ask(peer, now)
        inquiry = ConfigInquiry(relay.last_number, needs_quorum(node, now))
        node.outbox.put(peer, inquiry)


@HANDLERS.register(ConfigInquiry.kind)
def answer_inquiry(
    node: Node, peer: str, message: Message, now: Instant
) -> None:
    """Tells a peer what this instance knows."""
    assert isinstance(message, ConfigInquiry)
    summary = ConfigSummary(
        message.number,
        node.configuration.fingerprint,
        remaining_of(node, now),
        platform_remaining_of(node, now),
        node.relay.is_introduced,
        highest_revision(node.configuration),
        vouchers_of(node, now) if message.wants_vouchers else (),
    )
    node.outbox.put(peer, summary)


@HANDLERS.register(ConfigSummary.kind)
def take_summary(node: Node, peer: str, message: Message, now: Instant) -> None:
    """Takes in a peer's answer to the newest inquiry.

    What the peer says counts from the instant at which it was asked: the
    answer may have waited for long, here or on its way.
    """
    assert isinstance(message, ConfigSummary)
    inquiry = node.relay.inquiries.get(peer)
    if inquiry is None or inquiry.number != message.number:
        return
    node.relay.close(peer)
    node.configuration.see(message.seen_revision)
    if message.fingerprint == node.configuration.fingerprint:
        _agree(node, peer, message, inquiry.sent_at, now)
    else:
        node.relay.distrust(peer)
        request_revisions(node, peer, None)


def _agree(
    node: Node,
    peer: str,
    message: ConfigSummary,
    sent_at: Instant,
    now: Instant,
) -> None:
    """Takes in the answer of a peer that has the same sections."""
    _take_vouchers(node, peer, message, sent_at)
    if message.is_introduced and message.fingerprint:
        node.relay.introduce()
    read_until = _deadline(sent_at, message.platform_remaining)
    node.configuration.note_read(read_until)
    confirm(node, _deadline(sent_at, message.remaining), now)
    confirm_by_quorum(node, now)


def _take_vouchers(
    node: Node, peer: str, message: ConfigSummary, sent_at: Instant
) -> None:
    """Notes who has nothing else than this instance.

    The peer has equal sections now, so whoever vouched to it before knew of
    nothing else either.
    """
    node.relay.vouch(peer, new_deadline(sent_at, HOLD_SECONDS))
    for name, seconds in message.vouchers:
        if name != node.members.self_name:
            node.relay.vouch(name, _deadline(sent_at, seconds))


def _deadline(sent_at: Instant, seconds: float) -> Deadline:
    return new_deadline(sent_at, min(seconds, HOLD_SECONDS))


def confirm_by_quorum(node: Node, now: Instant) -> None:
    """Confirms the configuration if a majority has nothing else."""
    until = quorum_until(node, now)
    if until is not None and node.configuration.sections:
        node.relay.introduce()
        confirm(node, until, now)


def confirm(node: Node, until: Deadline, now: Instant) -> None:
    """Extends the time for which the configuration counts as current.

    Before this instance has caught up with the fleet nothing confirms it: a
    stale replica of the platform could otherwise bring back old sections.
    """
    relay = node.relay
    waited = relay.introduce_by and relay.introduce_by.has_passed(now)
    if relay.is_introduced or waited:
        node.configuration.confirm(until)
