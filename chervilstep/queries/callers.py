"""Queries on which connections of callers give way to others."""

from typing import Final

from chervilstep.callers import (
    Connection,
    ConnectionLimits,
    ConnectionTable,
    Phase,
)
from chervilstep.types import Instant

#: A new caller has so long to send its request before it goes before idle ones.
HEAD_GRACE_SECONDS: Final = 0.5
#: A caller that sends no byte of a body for so long gives way to others.
STALL_SECONDS: Final = 1
#: The kernel chooses the receive buffers as long as each connection may have
#: its usual size, half of which is for payload.
USUAL_UNREAD_BYTES: Final = 64 * 1024
MIN_UNREAD_BYTES: Final = 4 * 1024


def connection_to_evict(
    table: ConnectionTable[Connection], now: Instant
) -> Connection | None:
    """Returns the connection that gives way to a new one, or None.

    No request is lost. Refused callers go first, then those that have not sent
    a complete request in time, then those between two requests, then new ones,
    and last those that have stopped in the middle of a body; among equals, the
    one that waits longest.
    """
    order = (
        (Phase.CLOSING, now),
        (Phase.HEAD, now - HEAD_GRACE_SECONDS),
        (Phase.IDLE, now),
        (Phase.HEAD, now),
        (Phase.BODY, now - STALL_SECONDS),
    )
    found = (_longest_in(table, phase, since) for phase, since in order)
    return next((each for each in found if each is not None), None)


def largest_holder(
    table: ConnectionTable[Connection], limits: ConnectionLimits
) -> Connection | None:
    """Returns the connection that gives way where too much is buffered.

    That is the first one that sent a part of a head, or otherwise any with
    buffered bytes; None below the limit.
    """
    if table.buffered_bytes <= limits.buffered_bytes:
        return None
    holders = (
        connection
        for phase in Phase
        for connection in table.in_phase(phase)
        if table.buffered_by(connection)
    )
    return next(holders, None)


def receive_buffer_bytes(connections: int, limits: ConnectionLimits) -> int:
    """Returns the size of each receive buffer, or 0 for the kernel's choice.

    The sizes are powers of two, so that they change rarely.
    """
    share = limits.unread_bytes / max(1, connections)
    if share >= USUAL_UNREAD_BYTES:
        return 0
    size = USUAL_UNREAD_BYTES
    while size > max(share, MIN_UNREAD_BYTES):
        size //= 2
    return size


def _longest_in(
    table: ConnectionTable[Connection], phase: Phase, since: Instant
) -> Connection | None:
    """Returns the first connection that has not been active since, or None."""
    connection = next(iter(table.in_phase(phase)), None)
    if connection is None or table.active_at(connection) > since:
        return None
    return connection
