"""Queries on the slow start updates that instances exchange."""

from typing import Final

from chervilstep.node import Node
from chervilstep.queries.assignment import live_instances, slot_assignment
from chervilstep.queries.slowstart import may_eject
from chervilstep.services import Service
from chervilstep.slowstart import COLD_SLOTS, WARM_SLOTS, SlowStart
from chervilstep.slowstart_messages import SlowStartState
from chervilstep.types import Instant

#: The bytes per second that an instance may spend on updates to all peers.
UPDATE_BYTES_PER_SECOND: Final = 1500
#: The bytes that an instance may spend at once after a time without updates.
UPDATE_BURST_BYTES: Final = 15000


def may_send_update(node: Node, now: Instant) -> bool:
    """Whether the budget of bytes allows another message to every peer."""
    return node.slow_start.is_within_budget(
        UPDATE_BURST_BYTES / UPDATE_BYTES_PER_SECOND, now
    )


def slow_start_state(
    upstream: str, record: SlowStart, now: Instant
) -> SlowStartState:
    """Returns the state of ``upstream`` as it is sent to peers."""
    return SlowStartState(
        upstream,
        record.epoch,
        record.open_slots(now),
        record.closed_until.remaining(now),
        record.ejections,
    )


def valid_states(
    node: Node, service: Service, now: Instant
) -> tuple[SlowStartState, ...]:
    """Returns the valid states of the upstreams of ``service``."""
    records = node.slow_start.by_upstream
    return tuple(
        slow_start_state(upstream.name, records[upstream.name], now)
        for upstream in service.upstreams
        if upstream.name in records and records[upstream.name].is_valid(now)
    )


def should_apply(node: Node, state: SlowStartState, now: Instant) -> bool:
    """Whether ``state`` is newer than the state at this instance.

    An ejection by a peer is subject to the same limit as one by this
    instance: it is ignored while too many upstreams of the service are
    ejected.
    """
    service = _find_service(node, state.upstream)
    if service is None:
        return False
    own = node.slow_start.by_upstream.get(state.upstream)
    if own is None:
        return True
    if (state.epoch, state.open_slots) <= (own.epoch, own.open_slots(now)):
        return False
    if state.ejections and state.open_slots < WARM_SLOTS <= own.open_slots(now):
        return may_eject(node, service, now)
    return True


def update_recipients(
    node: Node, state: SlowStartState, now: Instant
) -> tuple[str, ...] | None:
    """Returns the peers to which ``state`` is sent; None means every peer.

    During the slow start of an upstream only the instances to which its slots
    are assigned use the state.
    """
    service = _find_service(node, state.upstream)
    if service is None or state.open_slots in {COLD_SLOTS, WARM_SLOTS}:
        return None
    live = node.loads.live_instances or live_instances(node, now)
    recipients = set(slot_assignment(service, live)[state.upstream])
    return tuple(sorted(recipients - {node.settings.name}))


def peer_count(node: Node, now: Instant) -> int:
    """Returns the number of peers that a message to every peer reaches."""
    live = node.loads.live_instances or live_instances(node, now)
    return len(live - {node.settings.name})


def _find_service(node: Node, upstream: str) -> Service | None:
    for service in node.snapshot.services.values():
        if any(each.name == upstream for each in service.upstreams):
            return service
    return None
