"""Queries on what instances tell each other of upstreams."""

from typing import Final

from chervilstep.node import Node
from chervilstep.queries.assignment import live_instances, slot_assignment
from chervilstep.queries.warmth import may_eject
from chervilstep.services import Service
from chervilstep.types import Instant
from chervilstep.warmth import COLD, WARM, Warmth
from chervilstep.warmth_messages import Belief

#: Bytes a second that an instance spends on news, over all peers.
NEWS_BYTES_PER_SECOND: Final = 1500
#: Bytes that it may spend at once after a quiet time.
NEWS_BURST_BYTES: Final = 15000


def may_send_news(node: Node, now: Instant) -> bool:
    """Whether the budget of bytes allows another message to every peer."""
    return node.warmth.may_spend(NEWS_BURST_BYTES / NEWS_BYTES_PER_SECOND, now)


def belief_of(name: str, record: Warmth, now: Instant) -> Belief:
    """The belief to pass on."""
    return Belief(
        name,
        record.epoch,
        record.level(now),
        record.closed_until.remaining(now),
        record.ejections,
    )


def all_beliefs(
    node: Node, service: Service, now: Instant
) -> tuple[Belief, ...]:
    """The beliefs about every upstream of ``service`` that is believed in."""
    records = node.warmth.records
    return tuple(
        belief_of(upstream.name, records[upstream.name], now)
        for upstream in service.upstreams
        if upstream.name in records and records[upstream.name].is_believed(now)
    )


def accepts(node: Node, belief: Belief, now: Instant) -> bool:
    """Whether ``belief`` is newer than the own one.

    A peer's ejection is not taken over when too many upstreams of the service
    are ejected already, as one's own would not be.
    """
    service = _service_of(node, belief.upstream)
    if service is None:
        return False
    own = node.warmth.records.get(belief.upstream)
    if own is None:
        return True
    if (belief.epoch, belief.level) <= (own.epoch, own.level(now)):
        return False
    if belief.ejections and belief.level < WARM <= own.level(now):
        return may_eject(node, service, now)
    return True


def homes_to_tell(
    node: Node, belief: Belief, now: Instant
) -> tuple[str, ...] | None:
    """The peers that a belief concerns; None stands for every peer.

    While an upstream is on its ramp only the homes of its slots act on it.
    """
    service = _service_of(node, belief.upstream)
    if service is None or belief.level in {COLD, WARM}:
        return None
    live = node.loads.live_instances or live_instances(node, now)
    homes = set(slot_assignment(service, live)[belief.upstream])
    return tuple(sorted(homes - {node.settings.name}))


def peer_count(node: Node, now: Instant) -> int:
    """How many peers get a message that goes to every peer."""
    live = node.loads.live_instances or live_instances(node, now)
    return len(live - {node.settings.name})


def _service_of(node: Node, upstream: str) -> Service | None:
    for service in node.snapshot.services.values():
        if any(each.name == upstream for each in service.upstreams):
            return service
    return None
