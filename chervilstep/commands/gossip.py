"""Lets instances find each other without a list of the platform."""

from collections.abc import Iterable
from typing import Final, final

from chervilstep.exceptions import PeerError
from chervilstep.fields import MAX_ITEMS, checked
from chervilstep.hooks import HANDLERS, MESSAGES, SHUTDOWN_STEPS, every
from chervilstep.members import Condition, Instance, Standing
from chervilstep.messages import EVERY_PEER, Message
from chervilstep.node import Node
from chervilstep.queries import gossip as queries
from chervilstep.types import Deadline, Instant, new_deadline

#: How long a suspect may take to deny its death.
SUSPICION_SECONDS: Final = 1.0
#: How long the dead count as a part of the fleet that may come back.
LOST_SECONDS: Final = 60.0
#: How long it is remembered that an instance has left.
LEFT_SECONDS: Final = 60.0
#: How many peers hear of a change from each instance that learns of it.
FANOUT: Final = 3
REVIEW_SECONDS: Final = 0.25
#: How often each instance compares with one other what both know.
COMPARE_SECONDS: Final = 0.5
FIRST_VERSION: Final = 1
#: The name, the zone and the two addresses come first in an entry.
_TEXTS: Final = 4

_UNTIL_SECONDS: Final = {
    Condition.ALIVE: float('inf'),
    Condition.SUSPECT: SUSPICION_SECONDS,
    Condition.DEAD: LOST_SECONDS,
    Condition.LEFT: LEFT_SECONDS,
}


@MESSAGES.register('standings')
@final
class Standings(Message):
    """Accounts of instances, each with its version."""

    __slots__ = ('_entries',)

    kind = 'standings'
    fields = ('entries',)

    def __init__(self, entries: Iterable[queries.Entry]) -> None:
        """Creates a message of the accounts."""
        self._entries = tuple(entries)

    @property
    def entries(self) -> tuple[queries.Entry, ...]:
        """The accounts; see ``queries.gossip.Entry``."""
        return self._entries


@MESSAGES.register('standings-digest')
@final
class StandingsDigest(Message):
    """Tells a peer what it would take to know the same."""

    __slots__ = ('_digest', '_is_reply')

    kind = 'standings-digest'
    fields = ('digest', 'is_reply')

    def __init__(self, digest: int, is_reply: bool) -> None:
        """Creates a digest; a reply is not replied to."""
        self._digest = checked(digest, int)
        self._is_reply = is_reply

    @property
    def digest(self) -> int:
        """A digest of all accounts; see ``queries.gossip.digest_of``."""
        return self._digest

    @property
    def is_reply(self) -> bool:
        """Whether the receiver has just sent its own."""
        return self._is_reply


def join(node: Node, now: Instant) -> None:
    """Makes this instance the first one of its own list."""
    settings = node.settings
    instance = Instance(
        settings.name,
        settings.zone,
        settings.entry_address,
        settings.peer_address,
    )
    _announce(node, instance, FIRST_VERSION, Condition.ALIVE, now)


def greet(node: Node, peer: str, now: Instant) -> None:
    """Tells a peer with a new stream of this instance, and of itself.

    A peer that was taken for lost denies that. Whoever knows of nobody else,
    or meets one that was lost, compares all that both know.
    """
    members = node.members
    is_first = not queries.heard_peers(node)
    members.view(peer).open()
    if members.self_name not in members.standings:
        return
    told = [
        queries.entry_of(members.standings[name], now)
        for name in (members.self_name, peer)
        if name in members.standings
    ]
    node.outbox.put(peer, Standings(told))
    if is_first or peer in members.lost:
        digest = StandingsDigest(queries.digest_of(node), is_reply=False)
        node.outbox.put(peer, digest)


@every(COMPARE_SECONDS, 'compare-standings')
def compare_standings(node: Node, now: Instant) -> None:
    """Compares with one peer what both know, as rumours reach most only."""
    heard = queries.heard_peers(node)
    if heard and node.members.standings:
        digest = StandingsDigest(queries.digest_of(node), is_reply=False)
        node.outbox.put(node.rng.choice(heard), digest)


@HANDLERS.register('standings-digest')
def take_digest(node: Node, peer: str, message: Message, now: Instant) -> None:
    """Tells a peer everything when it does not know the same."""
    assert isinstance(message, StandingsDigest)
    own = queries.digest_of(node)
    if message.digest == own:
        return
    node.outbox.put(peer, Standings(queries.entries(node, now)))
    if not message.is_reply:
        node.outbox.put(peer, StandingsDigest(own, is_reply=True))


def suspect(node: Node, name: str, now: Instant) -> None:
    """Suspects a peer whose stream broke, and tells others."""
    known = node.members.standings.get(name)
    if known is None or known.condition is not Condition.ALIVE:
        return
    standing = _new_standing(
        known.instance, known.version, Condition.SUSPECT, now
    )
    node.members.note(standing)
    _spread(node, [standing], now)


@HANDLERS.register('standings')
def take_standings(
    node: Node, peer: str, message: Message, now: Instant
) -> None:
    """Takes in what a peer knows, and passes on what was new."""
    assert isinstance(message, Standings)
    if not node.members.standings:
        return
    news = []
    for entry in message.entries[:MAX_ITEMS]:
        offered = _standing_of(entry, now)
        if offered.instance.name == node.members.self_name:
            _deny(node, offered, now)
        elif queries.is_news(node, offered, now):
            node.members.note(offered)
            news.append(offered)
    _spread(node, news, now)


@every(REVIEW_SECONDS, 'standings')
def review_standings(node: Node, now: Instant) -> None:
    """Takes suspects for dead, and forgets those that are long gone."""
    for name, known in tuple(node.members.standings.items()):
        if not known.until.has_passed(now):
            continue
        if known.condition is Condition.SUSPECT:
            dead = _new_standing(
                known.instance, known.version, Condition.DEAD, now
            )
            node.members.note(dead)
            _spread(node, [dead], now)
            node.counters.add('members_lost')
            node.events.add('member_lost', member=name, version=known.version)
        elif name != node.members.self_name:
            node.members.forget(name)


@SHUTDOWN_STEPS.register(rank=10)
def announce_end(node: Node, now: Instant) -> None:
    """Tells every peer that this instance leaves for good."""
    own = node.members.standings.get(node.members.self_name)
    if own is not None and own.condition is not Condition.LEFT:
        _announce(node, own.instance, own.version + 1, Condition.LEFT, now)


def _deny(node: Node, offered: Standing, now: Instant) -> None:
    version = queries.denied_version(node, offered)
    own = node.members.standings[node.members.self_name]
    if version is not None:
        _announce(node, own.instance, version, Condition.ALIVE, now)


def _announce(
    node: Node,
    instance: Instance,
    version: int,
    condition: Condition,
    now: Instant,
) -> None:
    standing = _new_standing(instance, version, condition, now)
    node.members.note(standing)
    entry = queries.entry_of(standing, now)
    node.outbox.put(EVERY_PEER, Standings([entry]))


def _spread(node: Node, news: list[Standing], now: Instant) -> None:
    heard = queries.heard_peers(node)
    if not news or not heard:
        return
    message = Standings(queries.entry_of(each, now) for each in news)
    for name in node.rng.sample(heard, min(FANOUT, len(heard))):
        node.outbox.put(name, message)


def _new_standing(
    instance: Instance, version: int, condition: Condition, now: Instant
) -> Standing:
    until = new_deadline(now, _UNTIL_SECONDS[condition])
    return Standing(instance, version, condition, until)


def _standing_of(entry: queries.Entry, now: Instant) -> Standing:
    try:
        return _read_standing(entry, now)
    except (TypeError, ValueError) as fault:
        raise PeerError(f'not an account of an instance: {fault}') from fault


def _read_standing(entry: queries.Entry, now: Instant) -> Standing:
    texts = [_text(found) for found in entry[:_TEXTS]]
    version, number, remaining = map(_number, entry[_TEXTS:])
    condition = Condition(int(number))
    until = _until(condition, remaining, now)
    return Standing(Instance(*texts), int(version), condition, until)


def _until(condition: Condition, remaining: float, now: Instant) -> Deadline:
    """What others have known for a while is forgotten when they forget it."""
    seconds = _UNTIL_SECONDS[condition]
    if condition is not Condition.ALIVE:
        seconds = min(seconds, max(0, remaining))
    return new_deadline(now, seconds)


def _number(found: object) -> float:
    if not isinstance(found, (int, float)):
        raise TypeError(f'{found!r} is not a number')
    return found


def _text(found: object) -> str:
    if not isinstance(found, str):
        raise TypeError(f'{found!r} is not a text')
    return found
