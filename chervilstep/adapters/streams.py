"""Opens TCP streams to addresses that are IP numbers."""

import socket

from tornado import iostream


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


def split_address(address: str) -> tuple[str, int]:
    """Splits ``ip:port`` or ``[ip]:port`` into the host and the port."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)
