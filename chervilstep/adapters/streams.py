"""Opens TCP streams to addresses that are IP numbers."""

import asyncio
import socket
from typing import Any, Final, final

from tornado import iostream, netutil

#: An idle connection is probed after 1 s, each second, and given up after the
#: second probe; so is one whose data is not acknowledged.
_KEEP_ALIVE: Final = (
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 2),
    (socket.TCP_USER_TIMEOUT, 3000),
)


@final
class CountedStream(iostream.IOStream):
    """A stream that tells whether something was received and not read."""

    # The base class has a dictionary, so there is nothing to declare.
    __slots__ = ()

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes wait in the buffer."""
        return bool(self._read_buffer_size)


async def connect(address: str) -> CountedStream:
    """Connects to ``ip:port`` without a resolver, which would need a thread.

    Raises:
        OSError: The address is not an IP number, or nothing listens there.
        StreamClosedError: The connection was refused or lost.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    stream = CountedStream(socket.socket(family))
    try:
        await stream.connect((host, port))
    except BaseException:
        # A cancelled connect must not leave its socket behind.
        stream.close()
        raise
    stream.set_nodelay(True)
    return stream


def keep_alive(connected: socket.socket) -> None:
    """Has the kernel find out that a connection has gone silent."""
    for option, number in _KEEP_ALIVE:
        connected.setsockopt(socket.IPPROTO_TCP, option, number)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


def ignore_failure(future: 'asyncio.Future[None]') -> None:
    """Reads the failure of a write that nobody awaits.

    Whoever reads from the same stream notices that it was lost.
    """
    if not future.cancelled():
        future.exception()


def split_address(address: str) -> tuple[str, int]:
    """Splits ``ip:port`` or ``[ip]:port`` into the host and the port."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


@final
class NumericResolver(netutil.Resolver):
    """Takes addresses as they are, for clients that insist on a resolver.

    The resolver of the library asks the system in a thread of its own.
    """

    __slots__ = ()

    async def resolve(
        self,
        host: str,
        port: int,
        family: socket.AddressFamily = socket.AF_UNSPEC,
    ) -> list[tuple[int, Any]]:
        """Returns the one address that an IP number stands for."""
        numbers = host.strip('[]')
        found = socket.AF_INET6 if ':' in numbers else socket.AF_INET
        return [(found, (numbers, port))]
