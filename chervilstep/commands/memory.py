"""Commands that take bytes from the budget."""

from typing import Final

from chervilstep.memory import Holding, Pool
from chervilstep.node import Node
from chervilstep.types import Instant, new_deadline

#: Room that was missing is wanted for longer than a refused caller stays away.
WANTED_SECONDS: Final = 2


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


def want_memory(node: Node, now: Instant) -> None:
    """Records that there is no room for a body, so that stalled ones end."""
    node.memory.set_wanted(new_deadline(now, WANTED_SECONDS))
