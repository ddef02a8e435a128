"""Heartbeats and connections between instances."""

from typing import Final, final

from chervilstep.commands.gossip import send_initial_updates
from chervilstep.hooks import (
    HANDLERS,
    MESSAGES,
    PEER_CONNECT_HOOKS,
    SHUTDOWN_HOOKS,
    every,
)
from chervilstep.messages import EVERY_PEER, Message
from chervilstep.node import Node
from chervilstep.queries.load import is_ready, own_load
from chervilstep.types import Instant, new_deadline

HEARTBEAT_PERIOD_SECONDS: Final = 1.0
#: How long an instance counts as alive after a heartbeat.
HEARTBEAT_TIMEOUT_SECONDS: Final = 3


@MESSAGES.register('heartbeat')
@final
class Heartbeat(Message):
    """A message with the load and the state of its sender."""

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
        """The fraction of the sender's capacity in use."""
        return self._load

    @property
    def is_ready(self) -> bool:
        """Whether the sender has a configuration."""
        return self._is_ready

    @property
    def is_leaving(self) -> bool:
        """Whether the sender is stopping."""
        return self._is_leaving


@every(HEARTBEAT_PERIOD_SECONDS, 'heartbeat')
def send_heartbeat(node: Node, now: Instant) -> None:
    """Sends a heartbeat to all peers."""
    node.outbox.put(EVERY_PEER, _new_heartbeat(node, now))


def handle_peer_connect(node: Node, peer: str, now: Instant) -> None:
    """Sends a newly connected peer what it has to know from the start."""
    node.outbox.put(peer, _new_heartbeat(node, now))
    send_initial_updates(node, peer, now)
    for command in PEER_CONNECT_HOOKS:
        command(node, peer, now)


@HANDLERS.register('heartbeat')
def handle_heartbeat(
    node: Node, sender: str, message: Message, now: Instant
) -> None:
    """Records the heartbeat of a peer."""
    if isinstance(message, Heartbeat):
        node.members.get_or_create_peer(sender).record_heartbeat(
            new_deadline(now, HEARTBEAT_TIMEOUT_SECONDS),
            is_ready=message.is_ready,
            is_leaving=message.is_leaving,
            load=message.load,
        )


def handle_peer_disconnect(node: Node, peer: str) -> None:
    """Records that the connection to a peer was lost."""
    node.members.get_or_create_peer(peer).record_disconnect()


def _new_heartbeat(node: Node, now: Instant) -> Heartbeat:
    return Heartbeat(
        own_load(node, now), is_ready(node, now), node.members.is_leaving
    )


@SHUTDOWN_HOOKS.register(rank=0)
def announce_leaving(node: Node, now: Instant) -> None:
    """Marks this instance as leaving and announces this in a heartbeat."""
    node.members.mark_leaving()
    send_heartbeat(node, now)
