"""How the memory and the descriptors of an instance are divided."""

import enum
from collections.abc import Mapping
from typing import Final, final

from chervilstep.callers import ConnectionLimits
from chervilstep.settings import Settings

#: What a connection needs without its input: its stream, its task and its place
#: in the tables.
CONNECTION_BYTES: Final = 12 * 1024
#: An address takes at least so many connections.
MIN_CONNECTIONS: Final = 4
#: The fraction of the bytes for input that the kernel may hold.
UNREAD_FRACTION: Final = 0.5


@final
class Address(enum.Enum):
    """The addresses that take connections."""

    CALLERS = 'callers'
    LOCATOR = 'locator'
    READINESS = 'readiness'
    METRICS = 'metrics'
    PEERS = 'peers'


#: The fraction of the sockets and of the bytes for input that each address may
#: use. The rest of the sockets is for upstreams, peers and the store: a request in
#: progress needs a connection to an upstream as well.
FRACTIONS: Final[Mapping[Address, float]] = {
    Address.CALLERS: 0.4,
    Address.LOCATOR: 0.1,
    Address.READINESS: 0.03,
    Address.METRICS: 0.03,
    Address.PEERS: 0.03,
}


def connection_limits(
    settings: Settings, address: Address, sockets: int
) -> ConnectionLimits:
    """Returns the limits of the connections to an address together.

    ``sockets`` is the number of sockets that the process may open.
    """
    fraction = FRACTIONS[address]
    shares = settings.shares
    connections = fraction * min(
        sockets, shares.connection_bytes / CONNECTION_BYTES
    )
    input_bytes = fraction * shares.input_bytes
    return ConnectionLimits(
        max(MIN_CONNECTIONS, int(connections)),
        (1 - UNREAD_FRACTION) * input_bytes,
        UNREAD_FRACTION * input_bytes,
    )
