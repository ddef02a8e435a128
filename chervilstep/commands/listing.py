"""Passes the list of instances on to one that cannot read the platform."""

from typing import Final

from chervilstep.exceptions import PeerError
from chervilstep.fields import MAX_ITEMS
from chervilstep.hooks import HANDLERS, every
from chervilstep.list_messages import InstancesList, InstancesRequest
from chervilstep.members import Instance, InstanceState
from chervilstep.messages import Message
from chervilstep.node import Node
from chervilstep.queries.relaying import live_peers
from chervilstep.types import Instant

REQUEST_PERIOD_SECONDS: Final = 1.0


def take_seeds(node: Node) -> None:
    """Lists the peers of the settings until there is a proper list.

    Their zone is not known, so callers are not sent to them.
    """
    seeds = node.settings.seeds
    if not node.members.revision:
        node.members.replace(
            0, [Instance(name, '', '', seeds[name]) for name in seeds]
        )


@every(REQUEST_PERIOD_SECONDS, 'instances-request')
def request_instances(node: Node, now: Instant) -> None:
    """Asks a peer for the list, as long as there is none."""
    peers = live_peers(node, now)
    is_listed = node.members.revision or node.members.standings
    if peers and not is_listed:
        node.outbox.put(node.rng.choice(peers), InstancesRequest())


@HANDLERS.register(InstancesRequest.kind)
def send_instances(
    node: Node, peer: str, message: Message, now: Instant
) -> None:
    """Answers with the list, if there is one."""
    members = node.members
    if members.revision and len(members.listed) <= MAX_ITEMS:
        entries = tuple(map(_entry_of, members.listed.values()))
        node.outbox.put(peer, InstancesList(members.revision, entries))


@HANDLERS.register(InstancesList.kind)
def take_instances_of_peer(
    node: Node, peer: str, message: Message, now: Instant
) -> None:
    """Takes a peer's list in."""
    assert isinstance(message, InstancesList)
    try:
        instances = [_instance_of(*entry) for entry in message.entries]
    except (TypeError, ValueError) as error:
        raise PeerError(f'not a list of instances: {error}') from error
    node.members.replace(message.revision, instances)


def _entry_of(instance: Instance) -> tuple[str, str, str, str, str]:
    state = InstanceState.LIVE
    if instance.is_leaving:
        state = InstanceState.LEAVING
    return (
        instance.name,
        instance.zone,
        instance.address,
        instance.peer_address,
        state.value,
    )


def _instance_of(
    name: str, zone: str, address: str, peer_address: str, state: str
) -> Instance:
    return Instance(name, zone, address, peer_address, InstanceState(state))
