"""Opens TCP streams to addresses that are IP numbers."""

import asyncio
import socket
from typing import Any, final

from tornado import iostream, netutil


async def connect(address: str) -> iostream.IOStream:
    """Connects to ``ip:port`` without a resolver, which would need a thread.

    Raises:
        OSError: The address is not an IP number, or nothing listens there.
        StreamClosedError: The connection was refused or lost.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    stream = iostream.IOStream(socket.socket(family))
    try:
        await stream.connect((host, port))
    except BaseException:
        # A cancelled connect must not leave its socket behind.
        stream.close()
        raise
    stream.set_nodelay(True)
    return stream


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
