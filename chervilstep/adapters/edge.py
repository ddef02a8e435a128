"""The interface of the front ends for callers, and their registry."""

from collections.abc import Awaitable, Callable
from typing import Final, Protocol, TypeAlias

from chervilstep.calls import Call, Reply
from chervilstep.node import Node
from chervilstep.registry import Registry, new_registry
from chervilstep.types import Instant


class Edge(Protocol):
    """Listens for callers and has their calls answered."""

    @property
    def in_flight(self) -> int:
        """How many requests are being answered."""

    def listen(self) -> None:
        """Takes connections."""

    def leave(self) -> None:
        """Tells callers to go elsewhere, and goes on serving them."""

    def stop(self) -> None:
        """Takes no new connections."""

    def retire(self) -> None:
        """Closes the connections that are idle."""

    async def close(self) -> None:
        """Closes every connection."""


#: Answers a call.
Handle: TypeAlias = Callable[[Call], Awaitable[Reply]]
#: Creates an edge of a node.
EdgeFactory: TypeAlias = Callable[[Node, Handle, Callable[[], Instant]], Edge]

#: The edges by the name in the settings.
EDGES: Final[Registry[EdgeFactory]] = new_registry('edge')
NATIVE: Final = 'native'
