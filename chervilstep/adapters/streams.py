"""TCP streams to numeric IP addresses."""

import asyncio
import socket
from collections.abc import AsyncIterator
from typing import Any, Final, final

from tornado import iostream, netutil

from chervilstep.queries.tables import is_address

#: Keep-alive probes start after 1 s idle and are sent every second; the kernel
#: closes the connection after two without an answer, and also when data is not
#: acknowledged for 3 s (``TCP_USER_TIMEOUT`` is in milliseconds).
_KEEP_ALIVE_OPTIONS: Final = (
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 2),
    (socket.TCP_USER_TIMEOUT, 3000),
)
#: How many bytes of unwanted input are read at once.
DISCARD_CHUNK_BYTES: Final = 64 * 1024


@final
class InspectableStream(iostream.IOStream):
    """A stream that exposes whether there is input that was not read."""

    # The base class has a __dict__, and this class adds no attributes.
    __slots__ = ()

    @property
    def has_partial_input(self) -> bool:
        """Whether bytes were received that no read has returned.

        They stay after a close.
        """
        return bool(self._read_buffer_size)

    @property
    def has_unread_input(self) -> bool:
        """Whether bytes, the end of the stream or an error were not read yet.

        They may still be in the kernel if the loop has not run since.
        """
        if self.has_partial_input or self.closed():
            return True
        return has_pending_input(self.socket)


def has_pending_input(connection: socket.socket) -> bool:
    """Whether the kernel holds bytes, the end of the stream or an error."""
    try:
        connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


async def connect(address: str) -> InspectableStream:
    """Connects to ``ip:port`` without a resolver, which would use a thread.

    Raises:
        OSError: The address is not numeric or cannot be connected to.
        StreamClosedError: The connection was refused or lost.
    """
    if not is_address(address):
        raise OSError(f'{address!r} is not an IP address and a port')
    host, port = split_address(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    stream = InspectableStream(socket.socket(family))
    try:
        await stream.connect((host, port))
    except BaseException:
        # The socket must also be closed when connecting is cancelled.
        stream.close()
        raise
    stream.set_nodelay(True)
    return stream


async def discarded_input(stream: iostream.IOStream) -> AsyncIterator[int]:
    """Reads and drops all further input without keeping it in memory.

    Yields:
        The number of bytes of each piece that was dropped.

    Raises:
        StreamClosedError: The other end closed the connection.
    """
    while True:
        piece = await stream.read_bytes(DISCARD_CHUNK_BYTES, partial=True)
        yield len(piece)
        # A read that finds its bytes at once does not yield to the loop.
        await asyncio.sleep(0)


def enable_keep_alive(connection: socket.socket) -> None:
    """Makes the kernel detect that the other end no longer responds."""
    for option, number in _KEEP_ALIVE_OPTIONS:
        connection.setsockopt(socket.IPPROTO_TCP, option, number)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


def ignore_exception(future: 'asyncio.Future[None]') -> None:
    """Retrieves the exception of a future that is not awaited.

    Otherwise asyncio would log it. The reader of the stream detects a lost
    connection.
    """
    if not future.cancelled():
        future.exception()


def split_address(address: str) -> tuple[str, int]:
    """Splits ``ip:port`` or ``[ip]:port`` into the host and the port."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


@final
class NumericResolver(netutil.Resolver):
    """Resolves only numeric addresses, for clients that need a resolver.

    Tornado's default resolver calls the system's resolver in a thread.
    """

    __slots__ = ()

    async def resolve(
        self,
        host: str,
        port: int,
        family: socket.AddressFamily = socket.AF_UNSPEC,
    ) -> list[tuple[int, Any]]:
        """Returns the family and the socket address of a numeric host."""
        numeric_host = host.strip('[]')
        numeric_family = (
            socket.AF_INET6 if ':' in numeric_host else socket.AF_INET
        )
        return [(numeric_family, (numeric_host, port))]
