"""The background tasks of an instance."""

from collections.abc import Callable

from chervilstep.adapters.dialect import NATIVE
from chervilstep.adapters.prober import new_prober
from chervilstep.adapters.source import Source
from chervilstep.adapters.sources import new_source
from chervilstep.node import Node
from chervilstep.types import Instant


def new_runners(node: Node, clock: Callable[[], Instant]) -> list[Source]:
    """Creates the objects that run in tasks until the instance stops."""
    runners: list[Source] = [new_source(node)]
    if node.settings.dialect == NATIVE:
        runners.append(new_prober(node, clock))
    return runners
