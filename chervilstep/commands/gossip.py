"""Lets instances find each other without a list of the platform."""

from collections.abc import Iterable
from typing import Final, final

from chervilstep.exceptions import PeerError
from chervilstep.fields import MAX_ITEMS
from chervilstep.hooks import FAREWELLS, HANDLERS, MESSAGES, every
from chervilstep.members import Condition, Instance, Standing
from chervilstep.messages import EVERY_PEER, Message
from chervilstep.node import Node
from chervilstep.queries import gossip as queries
from chervilstep.types import Instant, new_deadline

#: How long a suspect may take to deny its death.
SUSPICION_SECONDS: Final = 1.0
#: How long the dead count as a part of the fleet that may come back.
LOST_SECONDS: Final = 60.0
#: How long it is remembered that an instance has left.
LEFT_SECONDS: Final = 60.0
#: How many peers hear of a change from each instance that learns of it.
FANOUT: Final = 3
REVIEW_SECONDS: Final = 0.25
#: How often each instance tells one other all that it knows.
COMPARE_SECONDS: Final = 10.0
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


def greet(node: Node, peer: str) -> None:
    """Tells a peer with a new stream all that is known of the fleet."""
    node.members.view(peer).open()
    if node.members.standings:
        node.outbox.put(peer, Standings(queries.entries(node)))


@every(COMPARE_SECONDS, 'compare-standings')
def compare_standings(node: Node, now: Instant) -> None:
    """Tells one peer everything, lest a broken stream has lost some news."""
    heard = queries.heard_peers(node)
    if heard and node.members.standings:
        peer = node.rng.choice(heard)
        node.outbox.put(peer, Standings(queries.entries(node)))


def suspect(node: Node, name: str, now: Instant) -> None:
    """Suspects a peer whose stream broke, and tells others."""
    known = node.members.standings.get(name)
    if known is None or known.condition is not Condition.ALIVE:
        return
    standing = _new_standing(
        known.instance, known.version, Condition.SUSPECT, now
    )
    node.members.note(standing)
    _spread(node, [standing])


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
    _spread(node, news)


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
            _spread(node, [dead])
            node.counters.add('members_lost')
        elif name != node.members.self_name:
            node.members.forget(name)


@FAREWELLS.register(rank=10)
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
    node.outbox.put(EVERY_PEER, Standings([queries.entry_of(standing)]))


def _spread(node: Node, news: list[Standing]) -> None:
    heard = queries.heard_peers(node)
    if not news or not heard:
        return
    message = Standings(map(queries.entry_of, news))
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
    version, condition = entry[_TEXTS:]
    if not isinstance(version, int) or not isinstance(condition, int):
        raise TypeError('a version or a condition is not a number')
    name, zone, address, peer_address = texts
    instance = Instance(name, zone, address, peer_address)
    return _new_standing(instance, version, Condition(condition), now)


def _text(found: object) -> str:
    if not isinstance(found, str):
        raise TypeError(f'{found!r} is not a text')
    return found
