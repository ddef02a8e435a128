"""How a server bounds its connections and whom it tells of those it closes."""

import socket
from collections.abc import Callable
from typing import Final, final

from chervilstep.callers import (
    ClosedConnection,
    ConnectionLimits,
    Phase,
)

#: For servers without limits of their own.
UNLIMITED: Final = ConnectionLimits(2**31, float('inf'), float('inf'))


@final
class Admission:
    """The limits of the connections to one address."""

    __slots__ = ('_limits', '_on_closed')

    def __init__(
        self,
        limits: Callable[[], ConnectionLimits],
        on_closed: Callable[[ClosedConnection], None],
    ) -> None:
        """Creates limits; ``on_closed`` is told of closed connections."""
        self._limits = limits
        self._on_closed = on_closed

    @property
    def limits(self) -> ConnectionLimits:
        """The current limits."""
        return self._limits()

    def report_closed(self, reason: str, phase: Phase | None) -> None:
        """Reports a connection that was closed for others."""
        self._on_closed(ClosedConnection(reason, phase))


def new_unlimited_admission() -> Admission:
    """Creates the absence of limits."""
    return Admission(lambda: UNLIMITED, lambda closed: None)


def set_receive_buffer(connection: socket.socket, size: int) -> None:
    """Sets the size of the kernel's receive buffer for payload, in bytes."""
    try:
        # The kernel doubles the size, for its own overhead.
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
    except OSError:
        # The caller has closed the connection in the meantime.
        return
