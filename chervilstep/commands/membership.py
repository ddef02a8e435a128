"""Heartbeats between instances."""

from typing import Final, final

from chervilstep.commands.gossip import greet
from chervilstep.hooks import HANDLERS, MESSAGES, SHUTDOWN_STEPS, every
from chervilstep.messages import EVERY_PEER, Message
from chervilstep.node import Node
from chervilstep.queries.load import is_ready, own_load
from chervilstep.types import Instant, new_deadline

#: The time between two heartbeats.
HEARTBEAT_SECONDS: Final = 1.0
#: How long a heartbeat vouches for its sender.
ALIVE_SECONDS: Final = 3


@MESSAGES.register('heartbeat')
@final
class Heartbeat(Message):
    """Tells peers that the sender is alive, how loaded, and its state."""

    __slots__ = ('_is_leaving', '_is_ready', '_load')

    kind = 'heartbeat'
    fields = ('load', 'is_ready', 'is_leaving')

    def __init__(self, load: float, is_ready: bool, is_leaving: bool) -> None:
        """Creates a heartbeat; ``load`` is a fraction of the capacity."""
        self._load = load
        self._is_ready = is_ready
        self._is_leaving = is_leaving

    @property
    def load(self) -> float:
        """The fraction of its own capacity that the sender uses."""
        return self._load

    @property
    def is_ready(self) -> bool:
        """Whether the sender has a configuration to serve by."""
        return self._is_ready

    @property
    def is_leaving(self) -> bool:
        """Whether the sender is stopping."""
        return self._is_leaving


@every(HEARTBEAT_SECONDS, 'heartbeat')
def send_heartbeat(node: Node, now: Instant) -> None:
    """Tells every peer that this instance is alive."""
    node.outbox.put(EVERY_PEER, _heartbeat(node, now))


def greet_peer(node: Node, name: str, now: Instant) -> None:
    """Tells a peer with a new stream of this instance and of the others."""
    node.outbox.put(name, _heartbeat(node, now))
    greet(node, name, now)


@HANDLERS.register('heartbeat')
def take_heartbeat(
    node: Node, sender: str, message: Message, now: Instant
) -> None:
    """Notes that ``sender`` is alive for a while."""
    if isinstance(message, Heartbeat):
        node.members.view(sender).hear(
            new_deadline(now, ALIVE_SECONDS),
            is_ready=message.is_ready,
            is_leaving=message.is_leaving,
            load=message.load,
        )


def lose_peer(node: Node, name: str) -> None:
    """Notes that the stream to ``name`` broke."""
    node.members.view(name).lose()


def _heartbeat(node: Node, now: Instant) -> Heartbeat:
    return Heartbeat(
        own_load(node, now), is_ready(node, now), node.members.is_leaving
    )


@SHUTDOWN_STEPS.register(rank=0)
def announce_leaving(node: Node, now: Instant) -> None:
    """Marks this instance as leaving and tells the peers at once."""
    node.members.leave()
    send_heartbeat(node, now)
