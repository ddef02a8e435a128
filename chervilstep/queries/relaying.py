"""Decides who reads the platform, who asks whom, and what is confirmed.

A few instances watch the platform; the others learn from instances of a
lower rank, so that the load on the platform does not grow with the fleet and
no instance answers more than a few inquiries a second.
"""

import enum
import hashlib
from collections.abc import Iterable
from typing import Final, final

from chervilstep.node import Node
from chervilstep.relay import HOLD_SECONDS
from chervilstep.sync_messages import Vouchers
from chervilstep.types import Deadline, Instant

#: How many instances watch the platform's document at rest.
WATCHERS: Final = 3
#: The rank of an instance divided by the ranks that it may ask.
RANK_STEP: Final = 4
#: An instance reads the platform itself when less than this remains of the
#: last read that it knows of.
FALLBACK_SECONDS: Final = 2.5
#: A watcher asks for a quorum when less than this remains: by then the
#: platform has failed to answer for a few seconds.
QUORUM_SECONDS: Final = 5
#: How many peers are asked in a round to collect a quorum.
QUORUM_PEERS: Final = 4
#: Bounds what one answer tells of other instances.
MAX_VOUCHERS: Final = 1000
#: How many peers are told of a new revision.
NOTICE_PEERS: Final = 6


@final
class Duty(enum.Enum):
    """How an instance reads the platform's document."""

    WATCH = 'watch'
    POLL = 'poll'
    RELY = 'rely'


def duty_of(node: Node, now: Instant) -> Duty:
    """Returns how this instance reads the platform's document now."""
    if _rank_among(node, _candidates(node, now)) < WATCHERS:
        return Duty.WATCH
    if _is_in_grace(node, now):
        return Duty.RELY
    if platform_remaining_of(node, now) < FALLBACK_SECONDS:
        return Duty.POLL
    return Duty.RELY


def remaining_of(node: Node, now: Instant) -> float:
    """For how many seconds the configuration still counts as current."""
    until = node.configuration.confirmed_until
    return until.remaining(now) if until else 0


def platform_remaining_of(node: Node, now: Instant) -> float:
    """For how many seconds somebody's read of the platform is recent."""
    until = node.configuration.platform_until
    return until.remaining(now) if until else 0


def live_peers(node: Node, now: Instant) -> tuple[str, ...]:
    """The peers that are heard of, by rank."""
    alive = [
        name for name, view in node.members.views.items() if view.is_alive(now)
    ]
    return tuple(sorted(set(alive) - {node.members.self_name}, key=_rank_key))


def parents_of(node: Node, now: Instant) -> tuple[str, ...]:
    """The live peers that this instance learns from."""
    alive = live_peers(node, now)
    rank = _rank_among(node, alive)
    return alive[: max(WATCHERS, rank // RANK_STEP)]


def inquiry_recipients(node: Node, now: Instant) -> tuple[str, ...]:
    """The peers to ask in this round.

    One parent is enough while the platform's answers come down the ranks.
    """
    if needs_quorum(node, now):
        candidates, count = live_peers(node, now), QUORUM_PEERS
    else:
        candidates, count = parents_of(node, now), 1
    return tuple(node.rng.sample(candidates, min(count, len(candidates))))


def needs_quorum(node: Node, now: Instant) -> bool:
    """Whether the platform's answers fail to come."""
    if _rank_among(node, live_peers(node, now)) < WATCHERS:
        return remaining_of(node, now) < QUORUM_SECONDS
    return remaining_of(node, now) < FALLBACK_SECONDS


def vouchers_of(node: Node, now: Instant) -> Vouchers:
    """Who vouched to this instance, with the seconds that remain."""
    valid = [
        (name, until.remaining(now))
        for name, until in node.relay.vouched_until.items()
        if not until.has_passed(now)
    ]
    return tuple(valid[:MAX_VOUCHERS])


def notice_recipients(node: Node, now: Instant) -> tuple[str, ...]:
    """The peers to tell of a new revision."""
    alive = live_peers(node, now)
    return tuple(node.rng.sample(alive, min(NOTICE_PEERS, len(alive))))


def quorum_until(node: Node, now: Instant) -> Deadline | None:
    """Until when a majority of the listed instances has nothing else.

    Returns:
        The earliest of the majority's deadlines, this instance counting as
        one of them, or None without a majority.
    """
    listed = set(node.members.listed) | {node.members.self_name}
    vouchers = sorted(
        (
            until.at
            for name, until in node.relay.vouched_until.items()
            if name in listed and not until.has_passed(now)
        ),
        reverse=True,
    )
    needed = len(listed) // 2
    if not node.members.revision or len(vouchers) < needed:
        return None
    if not needed:
        return Deadline(now + HOLD_SECONDS)
    return Deadline(vouchers[needed - 1])


def is_alone(node: Node) -> bool:
    """Whether the list names no other instance."""
    members = node.members
    return bool(members.revision) and not (
        set(members.listed) - {members.self_name}
    )


def _candidates(node: Node, now: Instant) -> tuple[str, ...]:
    if _is_in_grace(node, now):
        return tuple(node.members.listed)
    return live_peers(node, now)


def _is_in_grace(node: Node, now: Instant) -> bool:
    until = node.relay.grace_until
    return until is None or not until.has_passed(now)


def _rank_among(node: Node, names: Iterable[str]) -> int:
    own = _rank_key(node.members.self_name)
    return sum(_rank_key(name) < own for name in names)


def _rank_key(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
