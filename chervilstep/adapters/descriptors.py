"""The descriptors that the process may open."""

import resource
from typing import Final

#: The standard streams, the event loop's own descriptors and open files.
OTHER_DESCRIPTORS: Final = 32


def available_sockets(configured: int) -> int:
    """Returns how many sockets the process may open.

    That is the ``configured`` number, or less if the limit of the process on its
    descriptors is lower.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return configured
    return min(configured, max(0, limit - OTHER_DESCRIPTORS))
