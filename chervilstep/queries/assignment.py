"""Queries that assign the slots of upstreams to the live instances."""

import functools
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final, final

import xxhash

from chervilstep.node import Node
from chervilstep.services import Service, Upstream
from chervilstep.types import Instant

#: One assignment is cached for each service and set of live instances.
MAX_CACHED_ASSIGNMENTS: Final = 2048
#: Enough for the scores of a few hundred instances and upstreams.
MAX_CACHED_SCORES: Final = 65536
#: Slots of an upstream that are assigned one by one. Those beyond go to the same
#: instances again, so that the work does not grow with the number of slots.
MAX_DEALT_SLOTS: Final = 64
#: Requests that an upstream gets beyond its slots. They wait at the upstream,
#: so that a freed slot is not idle for a round trip.
EXTRA_IN_FLIGHT: Final = 1


@functools.lru_cache(maxsize=MAX_CACHED_SCORES)
def rendezvous_score(instance: str, key: str) -> int:
    """Returns the rendezvous hash of ``instance`` for ``key`` (Thaler 1996)."""
    return xxhash.xxh3_64_intdigest(f'{instance}\0{key}'.encode())


def rendezvous_instance(instances: frozenset[str], key: str) -> str:
    """Returns the instance that rendezvous hashing selects for ``key``."""
    return max(
        instances,
        key=lambda instance: (rendezvous_score(instance, key), instance),
    )


def max_in_flight(upstream: Upstream) -> int:
    """Returns the highest number of requests in flight from all instances."""
    return upstream.slots + EXTRA_IN_FLIGHT


@final
class SlotShare:
    """The slots of one upstream that are assigned to one instance."""

    __slots__ = ('_dealt',)

    def __init__(self, dealt: Iterable[int] = ()) -> None:
        """Creates a share of the slots ``dealt``, counted from zero.

        Each stands for all slots with the same remainder modulo
        ``MAX_DEALT_SLOTS``.
        """
        self._dealt = tuple(dealt)

    def count_below(self, total: int) -> int:
        """Returns how many of the first ``total`` slots are in the share."""
        rounds, rest = divmod(total, MAX_DEALT_SLOTS)
        return rounds * len(self._dealt) + sum(
            number < rest for number in self._dealt
        )


NO_SLOTS: Final = SlotShare()


@functools.lru_cache(maxsize=MAX_CACHED_ASSIGNMENTS)
def slot_assignment(
    service: Service, instances: frozenset[str]
) -> Mapping[str, tuple[str, ...]]:
    """Returns the assigned instance of each dealt slot, by the upstream's name.

    A slot goes to the instance with the highest score among those with the
    fewest slots, so that the counts differ by at most one.
    """
    counts = Counter(dict.fromkeys(instances, 0))
    assigned: dict[str, list[str]] = {
        upstream.name: [] for upstream in service.upstreams
    }
    for number in range(_greatest_dealt_count(service)):
        for upstream in service.upstreams:
            if number < max_in_flight(upstream):
                instance = _next_instance(counts, f'{upstream.name}\0{number}')
                counts[instance] += 1
                assigned[upstream.name].append(instance)
    return {name: tuple(each) for name, each in assigned.items()}


@functools.lru_cache(maxsize=MAX_CACHED_ASSIGNMENTS)
def assigned_slots(
    service: Service, instances: frozenset[str], instance: str
) -> Mapping[str, SlotShare]:
    """Returns the slots assigned to ``instance``, by the upstream's name."""
    return {
        name: SlotShare(
            number for number, owner in enumerate(owners) if owner == instance
        )
        for name, owners in slot_assignment(service, instances).items()
    }


def own_slots(
    node: Node, service: Service, now: Instant
) -> Mapping[str, SlotShare]:
    """Returns the slots assigned to this instance, by the upstream's name."""
    live = node.loads.live_instances or live_instances(node, now)
    return assigned_slots(service, live, node.settings.name)


def own_slot_count(
    node: Node, service: Service, upstream: Upstream, now: Instant
) -> int:
    """Returns how many slots of ``upstream`` are assigned to this instance."""
    share = own_slots(node, service, now).get(upstream.name, NO_SLOTS)
    return share.count_below(max_in_flight(upstream))


def live_instances(node: Node, now: Instant) -> frozenset[str]:
    """Returns the active, not leaving members with a valid heartbeat.

    A member counts as live until its first heartbeat arrives. Otherwise an
    instance that has just started would assign all slots to itself.
    """
    members = node.members
    live = {
        name for name in members.active if not _is_unavailable(node, name, now)
    }
    live.discard(members.self_name)
    if not members.is_leaving or not live:
        live.add(members.self_name)
    return frozenset(live)


def _is_unavailable(node: Node, name: str, now: Instant) -> bool:
    peer = node.members.peers.get(name)
    if peer is None:
        return False
    return peer.is_leaving or not peer.is_alive(now)


def _greatest_dealt_count(service: Service) -> int:
    greatest = max(map(max_in_flight, service.upstreams), default=0)
    return min(greatest, MAX_DEALT_SLOTS)


def _next_instance(counts: Counter[str], key: str) -> str:
    lowest = min(counts.values())
    return rendezvous_instance(
        frozenset(name for name, count in counts.items() if count == lowest),
        key,
    )
