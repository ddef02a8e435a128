"""How the memory and the sockets of a process are divided."""

from typing import Final, final

#: The memory of a process without a setting.
DEFAULT_PROCESS_BYTES: Final = 300 * 10**6
#: The sockets of a process without a limit on its descriptors.
DEFAULT_SOCKETS: Final = 4000
#: What the program itself needs, with its configuration and its peers.
PROGRAM_BYTES: Final = 60 * 10**6
#: At least this fraction of the memory is divided.
MIN_DIVIDED_FRACTION: Final = 0.25
#: The fractions of the rest of the memory. What is left is for answers on their
#: way, and for what the allocator does not give back.
BODIES_FRACTION: Final = 0.6
INPUT_FRACTION: Final = 0.12
CONNECTIONS_FRACTION: Final = 0.13


@final
class Shares:
    """How much of the memory and of the sockets each use may have."""

    __slots__ = ('_body_bytes', '_connection_bytes', '_input_bytes', '_sockets')

    def __init__(
        self,
        body_bytes: float,
        input_bytes: float,
        connection_bytes: float,
        sockets: int,
    ) -> None:
        """Creates shares of the memory, in bytes, and a number of sockets."""
        self._body_bytes = body_bytes
        self._input_bytes = input_bytes
        self._connection_bytes = connection_bytes
        self._sockets = sockets

    @property
    def body_bytes(self) -> float:
        """The memory for all bodies that are held at a time."""
        return self._body_bytes

    @property
    def input_bytes(self) -> float:
        """The memory for input that belongs to no body or was not read."""
        return self._input_bytes

    @property
    def connection_bytes(self) -> float:
        """The memory for the connections of callers themselves."""
        return self._connection_bytes

    @property
    def sockets(self) -> int:
        """The sockets that the process may open."""
        return self._sockets


def new_shares(
    process_bytes: float = DEFAULT_PROCESS_BYTES,
    sockets: int = DEFAULT_SOCKETS,
) -> Shares:
    """Divides the memory of a process."""
    divided = max(
        process_bytes - PROGRAM_BYTES, MIN_DIVIDED_FRACTION * process_bytes
    )
    return Shares(
        BODIES_FRACTION * divided,
        INPUT_FRACTION * divided,
        CONNECTIONS_FRACTION * divided,
        sockets,
    )
