"""The interface and the registry of configuration sources."""

from collections.abc import Callable
from typing import Final, Protocol, TypeAlias

from chervilstep.node import Node
from chervilstep.registry import Registry, new_registry


class Source(Protocol):
    """Reads the configuration and applies it to a node."""

    async def run(self) -> None:
        """Reads the configuration and its changes until cancelled."""


#: Creates a source for a node from a URL.
SourceFactory: TypeAlias = Callable[[Node, str], Source]

#: The source factories by URL scheme.
SOURCES: Final[Registry[SourceFactory]] = new_registry('source')
