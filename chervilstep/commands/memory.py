"""Commands that take bytes from the budget."""

from chervilstep.memory import Holding, Pool
from chervilstep.node import Node


def take_bytes(node: Node, holding: Holding, pool: Pool, size: int) -> None:
    """Adds bytes to a holding; the pool must have room for them."""
    node.memory.take(holding, pool, size)


def record_full_memory(node: Node, holding: Holding, size: int) -> None:
    """Records that there was no room for more bytes of a holding."""
    content = holding.content.value
    node.counters.add('memory_refusals', content=content)
    node.events.add(
        'memory_full',
        content=content,
        party=holding.party,
        wanted_bytes=size,
        held_bytes=node.memory.held_bytes,
    )
