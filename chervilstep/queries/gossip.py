"""Rules of the gossip protocol that maintains the membership.

The protocol follows SWIM (Das, Gupta and Motivala, 2002): an instance that
loses the connection to a peer announces the peer as suspect, and then as
dead unless the peer refutes that with a higher incarnation. Lost connections
and missing heartbeats take the place of SWIM's pings.
"""

from typing import Final, TypeAlias

import xxhash

from chervilstep.members import MemberRecord, MemberState
from chervilstep.node import Node
from chervilstep.types import Instant

#: How long one of the dead instances is dialled before the next one.
REDIAL_PERIOD_SECONDS: Final = 1.0

#: A member record as it is sent: name, zone, address, peer address,
#: incarnation, state, and the remaining seconds of the state (0 if alive).
MemberEntry: TypeAlias = tuple[object, ...]


def overrides_known_record(
    node: Node, received: MemberRecord, now: Instant
) -> bool:
    """Whether a received record replaces the known one.

    A peer with a valid heartbeat is never recorded as suspect or dead.
    """
    name = received.instance.name
    is_failure = received.state in {MemberState.SUSPECT, MemberState.DEAD}
    peer = node.members.peers.get(name)
    if is_failure and peer is not None and peer.is_alive(now):
        return False
    known = node.members.records.get(name)
    if known is None:
        return True
    return (received.incarnation, received.state) > (
        known.incarnation,
        known.state,
    )


def refuting_incarnation(node: Node, received: MemberRecord) -> int | None:
    """Returns the incarnation that refutes a received record of this instance.

    Returns None if there is nothing to refute. A record of the same
    incarnation that is not alive is refuted too, since it may describe an
    earlier process of this name.
    """
    own = node.members.records.get(node.members.self_name)
    if own is None or own.state is MemberState.LEFT:
        return None
    is_same = received.incarnation == own.incarnation
    if received.incarnation < own.incarnation:
        return None
    if is_same and received.state is MemberState.ALIVE:
        return None
    return received.incarnation + 1


def member_entries(node: Node, now: Instant) -> tuple[MemberEntry, ...]:
    """Returns all member records as entries of a message."""
    records = node.members.records.values()
    return tuple(member_entry(record, now) for record in records)


def membership_digest(node: Node) -> int:
    """Returns a digest that is equal for equal membership tables.

    The digest covers alive, suspect and dead members. Left ones are excluded,
    since the instances remove them at different times.
    """
    digest = xxhash.xxh64()
    for name, record in sorted(node.members.records.items(), key=_name_of):
        if record.state is not MemberState.LEFT:
            text = f'{name} {record.incarnation} {record.state:d};'
            digest.update(text.encode())
    return digest.intdigest()


def member_entry(record: MemberRecord, now: Instant) -> MemberEntry:
    """Returns a member record as an entry of a message."""
    instance = record.instance
    texts = (
        instance.name,
        instance.zone,
        instance.address,
        instance.peer_address,
    )
    remaining = float(0)
    if record.state is not MemberState.ALIVE:
        remaining = round(record.state_deadline.remaining(now), 2)
    return (*texts, record.incarnation, record.state.value, remaining)


def connected_peers(node: Node) -> tuple[str, ...]:
    """Returns the names of the peers with a connection."""
    peers = node.members.peers
    return tuple(name for name, peer in peers.items() if peer.is_connected)


def extra_dial_targets(node: Node, now: Instant) -> frozenset[str]:
    """Returns the instances to dial although they are not active members.

    These are the seeds and, in turn, one of the dead instances, so that the
    two sides of a partition rejoin.
    """
    members = node.members
    if not members.records:
        return frozenset()
    seeds = set(node.settings.seeds) - set(members.active)
    dead = sorted(members.dead_names - seeds)
    if dead:
        seeds.add(dead[int(now / REDIAL_PERIOD_SECONDS) % len(dead)])
    return frozenset(seeds - {members.self_name})


def find_peer_address(node: Node, name: str) -> str | None:
    """Returns the peer address of an instance, or None if unknown."""
    members = node.members
    instance = members.active.get(name)
    if instance is not None:
        return instance.peer_address
    record = members.records.get(name)
    if record is not None:
        return record.instance.peer_address
    return node.settings.seeds.get(name)


def _name_of(item: tuple[str, MemberRecord]) -> str:
    return item[0]
