"""How a server bounds its connections and whom it tells of those it closes."""

import socket
from collections.abc import Callable
from typing import Final, final

from chervilstep.adapters.descriptors import available_sockets
from chervilstep.callers import (
    ClosedConnection,
    ConnectionLimits,
    EvictionLog,
    Phase,
)
from chervilstep.commands.callers import record_closed_connection
from chervilstep.node import Node
from chervilstep.queries.partition import Address, connection_limits
from chervilstep.settings import Settings
from chervilstep.types import Instant

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


@final
class AddressLimits:
    """The limits of an address, computed once for each set of settings."""

    __slots__ = ('_address', '_limits', '_node', '_settings')

    def __init__(self, node: Node, address: Address) -> None:
        """Creates the limits of an address of a node."""
        self._node = node
        self._address = address
        self._settings: Settings | None = None
        self._limits = UNLIMITED

    def read(self) -> ConnectionLimits:
        """Returns the limits by the current settings."""
        settings = self._node.settings
        if settings is not self._settings:
            self._settings = settings
            sockets = available_sockets(settings.shares.sockets)
            self._limits = connection_limits(settings, self._address, sockets)
        return self._limits


def new_admission(
    node: Node, address: Address, clock: Callable[[], Instant]
) -> Admission:
    """Creates the limits of an address from the settings of a node."""
    log = EvictionLog()
    return Admission(
        AddressLimits(node, address).read,
        lambda closed: record_closed_connection(
            node, address.value, log, closed, clock()
        ),
    )


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
