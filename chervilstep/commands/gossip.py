"""The gossip protocol by which instances maintain the membership."""

from collections.abc import Iterable
from typing import Final, final

from chervilstep.exceptions import PeerError
from chervilstep.fields import MAX_FIELD_ITEMS, require_type
from chervilstep.hooks import HANDLERS, MESSAGES, SHUTDOWN_HOOKS, every
from chervilstep.members import Instance, MemberRecord, MemberState
from chervilstep.messages import EVERY_PEER, Message
from chervilstep.node import Node
from chervilstep.queries import gossip as queries
from chervilstep.types import Deadline, Instant, new_deadline

#: How long a suspect has to refute the suspicion.
SUSPICION_TIMEOUT_SECONDS: Final = 1.0
#: How long dead members are kept and dialled, since they may return.
DEAD_RETENTION_SECONDS: Final = 60.0
#: How long the records of left members are kept.
LEFT_RETENTION_SECONDS: Final = 60.0
#: How many peers each instance forwards a new member record to.
FANOUT: Final = 3
EXPIRY_PERIOD_SECONDS: Final = 0.25
#: How often each instance compares its table with that of a random peer.
COMPARE_PERIOD_SECONDS: Final = 0.5
FIRST_INCARNATION: Final = 1
#: An entry starts with a name, a zone and two addresses.
_TEXT_FIELDS: Final = 4

_STATE_SECONDS: Final = {
    MemberState.ALIVE: float('inf'),
    MemberState.SUSPECT: SUSPICION_TIMEOUT_SECONDS,
    MemberState.DEAD: DEAD_RETENTION_SECONDS,
    MemberState.LEFT: LEFT_RETENTION_SECONDS,
}


@MESSAGES.register('standings')
@final
class MemberUpdates(Message):
    """Member records for a peer, as updates of its table."""

    __slots__ = ('_entries',)

    kind = 'standings'
    fields = ('entries',)

    def __init__(self, entries: Iterable[queries.MemberEntry]) -> None:
        """Creates a message of the given entries."""
        self._entries = tuple(entries)

    @property
    def entries(self) -> tuple[queries.MemberEntry, ...]:
        """The records; see ``queries.gossip.MemberEntry``."""
        return self._entries


@MESSAGES.register('standings-digest')
@final
class MembershipDigest(Message):
    """A digest that shows a peer whether its membership table differs."""

    __slots__ = ('_digest', '_is_reply')

    kind = 'standings-digest'
    fields = ('digest', 'is_reply')

    def __init__(self, digest: int, is_reply: bool) -> None:
        """Creates a digest; a reply is not answered by another digest."""
        self._digest = require_type(digest, int)
        self._is_reply = is_reply

    @property
    def digest(self) -> int:
        """The digest; see ``queries.gossip.membership_digest``."""
        return self._digest

    @property
    def is_reply(self) -> bool:
        """Whether this answers a digest of the receiver."""
        return self._is_reply


def join(node: Node, now: Instant) -> None:
    """Adds this instance to its own membership table."""
    settings = node.settings
    instance = Instance(
        settings.name,
        settings.zone,
        settings.entry_address,
        settings.peer_address,
    )
    _announce(node, instance, FIRST_INCARNATION, MemberState.ALIVE, now)


def send_initial_updates(node: Node, peer: str, now: Instant) -> None:
    """Sends a newly connected peer the records of both instances.

    If the peer is recorded as suspect or dead, it can then refute its record.
    A digest follows if this is the only connection or the peer was dead, so
    that both exchange their whole tables if these differ.
    """
    members = node.members
    is_first = not queries.connected_peers(node)
    members.get_or_create_peer(peer).record_connect()
    if members.self_name not in members.records:
        return
    entries = [
        queries.member_entry(members.records[name], now)
        for name in (members.self_name, peer)
        if name in members.records
    ]
    node.outbox.put(peer, MemberUpdates(entries))
    if is_first or peer in members.dead_names:
        digest = MembershipDigest(
            queries.membership_digest(node), is_reply=False
        )
        node.outbox.put(peer, digest)


@every(COMPARE_PERIOD_SECONDS, 'compare-standings')
def compare_memberships(node: Node, now: Instant) -> None:
    """Sends a digest to a random peer, since gossip may miss instances."""
    peers = queries.connected_peers(node)
    if peers and node.members.records:
        digest = MembershipDigest(
            queries.membership_digest(node), is_reply=False
        )
        node.outbox.put(node.rng.choice(peers), digest)


@HANDLERS.register('standings-digest')
def handle_membership_digest(
    node: Node, peer: str, message: Message, now: Instant
) -> None:
    """Sends a peer all member records if its table differs."""
    assert isinstance(message, MembershipDigest)
    own = queries.membership_digest(node)
    if message.digest == own:
        return
    node.outbox.put(peer, MemberUpdates(queries.member_entries(node, now)))
    if not message.is_reply:
        node.outbox.put(peer, MembershipDigest(own, is_reply=True))


def suspect_member(node: Node, name: str, now: Instant) -> None:
    """Marks a disconnected peer as suspect and announces this to peers."""
    known = node.members.records.get(name)
    if known is None or known.state is not MemberState.ALIVE:
        return
    record = _new_record(
        known.instance, known.incarnation, MemberState.SUSPECT, now
    )
    node.members.set_record(record)
    _forward_updates(node, [record], now)


@HANDLERS.register('standings')
def handle_member_updates(
    node: Node, peer: str, message: Message, now: Instant
) -> None:
    """Applies the records from a peer and forwards the new ones."""
    assert isinstance(message, MemberUpdates)
    if not node.members.records:
        return
    updates = []
    for entry in message.entries[:MAX_FIELD_ITEMS]:
        received = _decode_record(entry, now)
        if received.instance.name == node.members.self_name:
            _refute(node, received, now)
        elif queries.overrides_known_record(node, received, now):
            node.members.set_record(received)
            updates.append(received)
    _forward_updates(node, updates, now)


@every(EXPIRY_PERIOD_SECONDS, 'standings')
def expire_member_states(node: Node, now: Instant) -> None:
    """Marks overdue suspects as dead and removes old dead and left members."""
    for name, known in tuple(node.members.records.items()):
        if not known.state_deadline.has_passed(now):
            continue
        if known.state is MemberState.SUSPECT:
            dead = _new_record(
                known.instance, known.incarnation, MemberState.DEAD, now
            )
            node.members.set_record(dead)
            _forward_updates(node, [dead], now)
            node.counters.add('members_lost')
            node.events.add(
                'member_lost', member=name, version=known.incarnation
            )
        elif name != node.members.self_name:
            node.members.remove(name)


@SHUTDOWN_HOOKS.register(rank=10)
def announce_left(node: Node, now: Instant) -> None:
    """Announces to all peers that this instance has left."""
    own = node.members.records.get(node.members.self_name)
    if own is not None and own.state is not MemberState.LEFT:
        _announce(
            node, own.instance, own.incarnation + 1, MemberState.LEFT, now
        )


def _refute(node: Node, received: MemberRecord, now: Instant) -> None:
    incarnation = queries.refuting_incarnation(node, received)
    own = node.members.records[node.members.self_name]
    if incarnation is not None:
        _announce(node, own.instance, incarnation, MemberState.ALIVE, now)


def _announce(
    node: Node,
    instance: Instance,
    incarnation: int,
    state: MemberState,
    now: Instant,
) -> None:
    record = _new_record(instance, incarnation, state, now)
    node.members.set_record(record)
    entry = queries.member_entry(record, now)
    node.outbox.put(EVERY_PEER, MemberUpdates([entry]))


def _forward_updates(
    node: Node, updates: list[MemberRecord], now: Instant
) -> None:
    peers = queries.connected_peers(node)
    if not updates or not peers:
        return
    message = MemberUpdates(queries.member_entry(each, now) for each in updates)
    for name in node.rng.sample(peers, min(FANOUT, len(peers))):
        node.outbox.put(name, message)


def _new_record(
    instance: Instance, incarnation: int, state: MemberState, now: Instant
) -> MemberRecord:
    state_deadline = new_deadline(now, _STATE_SECONDS[state])
    return MemberRecord(instance, incarnation, state, state_deadline)


def _decode_record(entry: queries.MemberEntry, now: Instant) -> MemberRecord:
    try:
        return _parse_record(entry, now)
    except (TypeError, ValueError, OverflowError) as fault:
        raise PeerError(f'malformed member record: {fault}') from fault


def _parse_record(entry: queries.MemberEntry, now: Instant) -> MemberRecord:
    texts = [_require_text(value) for value in entry[:_TEXT_FIELDS]]
    incarnation, state_number, remaining = map(
        _require_number, entry[_TEXT_FIELDS:]
    )
    state = MemberState(int(state_number))
    deadline = _state_deadline(state, remaining, now)
    return MemberRecord(Instance(*texts), int(incarnation), state, deadline)


def _state_deadline(
    state: MemberState, remaining: float, now: Instant
) -> Deadline:
    """Returns a deadline that is no later than that of the sender.

    Forwarding a record thus does not prolong its retention.
    """
    seconds = _STATE_SECONDS[state]
    if state is not MemberState.ALIVE:
        seconds = min(seconds, max(0, remaining))
    return new_deadline(now, seconds)


def _require_number(value: object) -> float:
    if not isinstance(value, (int, float)):
        raise TypeError(f'{value!r} is not a number')
    return value


def _require_text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f'{value!r} is not a string')
    return value
