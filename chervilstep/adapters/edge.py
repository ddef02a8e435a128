"""The interface and the registry of edges, the front ends for callers."""

from collections.abc import Awaitable, Callable
from typing import Final, Protocol, TypeAlias

from chervilstep.calls import Call, Reply
from chervilstep.node import Node
from chervilstep.registry import Registry, new_registry
from chervilstep.types import Instant


class Edge(Protocol):
    """Accepts connections of callers and passes on their calls."""

    @property
    def in_flight(self) -> int:
        """The number of requests in progress or of open connections."""

    def listen(self) -> None:
        """Starts to accept connections."""

    def enter_lame_duck(self) -> None:
        """Directs callers to other instances while it still serves them."""

    def stop_accepting(self) -> None:
        """Stops accepting connections."""

    def close_idle(self) -> None:
        """Closes idle connections."""

    async def close(self) -> None:
        """Closes every connection."""


#: Handles a call and returns its reply.
CallHandler: TypeAlias = Callable[[Call], Awaitable[Reply]]
#: Creates the edge of a node.
EdgeFactory: TypeAlias = Callable[
    [Node, CallHandler, Callable[[], Instant]], Edge
]

#: Edge factories by their name in the settings.
EDGES: Final[Registry[EdgeFactory]] = new_registry('edge')
NATIVE: Final = 'native'
