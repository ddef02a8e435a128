"""The locator, which directs callers to entry instances."""

import random
from typing import Final, final

from chervilstep.members import Instance
from chervilstep.node import Node
from chervilstep.queries.load import accepts_callers
from chervilstep.types import Instant


@final
class EntryAddresses:
    """The entry addresses for a caller, in the order to try them."""

    __slots__ = ('_addresses', '_ttl_seconds')

    def __init__(self, addresses: tuple[str, ...], ttl_seconds: float) -> None:
        """Creates an answer that the caller may keep for a while."""
        self._addresses = addresses
        self._ttl_seconds = ttl_seconds

    @property
    def addresses(self) -> tuple[str, ...]:
        """The ``ip:port`` of each instance, in the order to try them."""
        return self._addresses

    @property
    def ttl_seconds(self) -> float:
        """How many seconds the caller may keep the answer."""
        return self._ttl_seconds


def entry_addresses(
    node: Node, now: Instant, caller_zone: str | None = None
) -> EntryAddresses:
    """Returns the usable instances in a random order for one caller.

    The order is drawn with weights that decrease with the last reported
    load of each instance. Random orders spread the callers, which would
    otherwise all choose the instance that was least loaded a moment ago.
    Instances of the caller's zone, if it is given, come first; if there are
    enough of them, the others are left out to avoid traffic between zones.
    """
    locator = node.settings.locator
    usable = usable_instances(node, now)
    zone_instances = [each for each in usable if each.zone == caller_zone]
    ranked = sorted(
        zone_instances
        if len(zone_instances) >= locator.min_zone_instances
        else usable,
        key=lambda instance: (
            instance.zone != caller_zone,
            _weighted_draw(node, instance),
        ),
    )
    addresses = tuple(
        instance.address for instance in ranked[: locator.max_addresses]
    )
    return EntryAddresses(addresses, locator.ttl_seconds)


def usable_instances(node: Node, now: Instant) -> tuple[Instance, ...]:
    """Returns the instances that accept callers.

    Instances that are leaving, not ready, in a withdrawn zone, or without a
    valid heartbeat are left out.
    """
    return tuple(
        instance
        for instance in node.members.active.values()
        if _is_usable(node, instance, now)
    )


def _is_usable(node: Node, instance: Instance, now: Instant) -> bool:
    if node.snapshot.is_withdrawn(instance.zone):
        return False
    if instance.name == node.members.self_name:
        return accepts_callers(node, now)
    peer = node.members.peers.get(instance.name)
    if peer is None:
        return False
    return peer.is_alive(now) and peer.is_ready and not peer.is_leaving


def _weighted_draw(node: Node, instance: Instance) -> float:
    """Returns an exponential draw whose mean increases with the load.

    Sorting by such draws samples without replacement in proportion to the
    weights (Efraimidis and Spirakis, 2006).
    """
    peer = node.members.peers.get(instance.name)
    load = peer.load if peer else float(0)
    weight = max(1 - load, _MIN_WEIGHT)
    return _exponential_draw(node.rng) / weight


def _exponential_draw(rng: random.Random) -> float:
    return rng.expovariate(1)


_MIN_WEIGHT: Final = 0.05
