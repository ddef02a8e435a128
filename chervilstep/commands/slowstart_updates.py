"""Commands that send and receive the slow start states of upstreams."""

from typing import Final

from chervilstep.hooks import HANDLERS, every
from chervilstep.messages import EVERY_PEER, Message
from chervilstep.node import Node
from chervilstep.queries.slowstart_updates import (
    UPDATE_BYTES_PER_SECOND,
    may_send_update,
    peer_count,
    should_apply,
    slow_start_state,
    update_recipients,
    valid_states,
)
from chervilstep.slowstart import STATE_TTL_SECONDS, SlowStart
from chervilstep.slowstart_messages import (
    SlowStartQuery,
    SlowStartState,
    SlowStartUpdate,
    new_update,
)
from chervilstep.types import Instant, new_deadline

#: The size of one state in a message, with its share of the frame.
STATE_BYTES: Final = 40
#: The longest time for which an update of a peer can close an upstream.
MAX_CLOSED_SECONDS: Final = 30
#: How often updates that exceeded the budget are tried again.
FLUSH_PERIOD_SECONDS: Final = 0.1


@every(FLUSH_PERIOD_SECONDS, 'flush-news')
def flush_updates(node: Node, now: Instant) -> None:
    """Sends the updates that the budget allows, the oldest change first."""
    table = node.slow_start
    for name in table.unsent_upstreams:
        if not may_send_update(node, now):
            return
        table.mark_sent(name)
        _send_state(
            node, slow_start_state(name, table.get_or_create(name), now), now
        )


def charge_update(node: Node, size_bytes: int, now: Instant) -> None:
    """Charges the budget with a message of ``size_bytes`` to every peer."""
    total_bytes = size_bytes * peer_count(node, now)
    node.slow_start.charge_budget(total_bytes / UPDATE_BYTES_PER_SECOND, now)


@HANDLERS.register(SlowStartQuery.kind)
def handle_query(node: Node, peer: str, message: Message, now: Instant) -> None:
    """Sends the valid states of a service's upstreams to the peer."""
    if not isinstance(message, SlowStartQuery):
        return
    service = node.snapshot.services.get(message.service)
    if service is not None:
        states = valid_states(node, service, now)
        if states:
            node.outbox.put(peer, new_update(states))


@HANDLERS.register(SlowStartUpdate.kind)
def handle_update(
    node: Node, peer: str, message: Message, now: Instant
) -> None:
    """Applies the states that are newer than those at this instance."""
    if isinstance(message, SlowStartUpdate):
        for state in message.states:
            if should_apply(node, state, now):
                _apply_state(node, state, now)


def _send_state(node: Node, state: SlowStartState, now: Instant) -> None:
    recipients = update_recipients(node, state, now)
    update = new_update([state])
    if recipients is None:
        recipients = (EVERY_PEER,) if peer_count(node, now) else ()
        charge_update(node, STATE_BYTES, now)
    for recipient in recipients:
        node.outbox.put(recipient, update)


def _apply_state(node: Node, state: SlowStartState, now: Instant) -> None:
    name = state.upstream
    seconds = min(MAX_CLOSED_SECONDS, state.closed_seconds)
    node.loads.upstream_load(name).move_to_back(node.loads.attempts_started)
    node.slow_start.put(
        name,
        SlowStart(
            state.epoch,
            state.open_slots,
            new_deadline(now, seconds),
            new_deadline(now, STATE_TTL_SECONDS),
            state.ejections,
            _epoch_started_at(node, state, now),
        ),
    )


def _epoch_started_at(
    node: Node, state: SlowStartState, now: Instant
) -> Instant:
    own = node.slow_start.by_upstream.get(state.upstream)
    if own is not None and own.epoch == state.epoch:
        return own.epoch_started_at
    return now
