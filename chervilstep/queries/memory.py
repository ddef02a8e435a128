"""Queries on whether there is room for more bytes."""

from collections.abc import Iterable
from typing import Final

from chervilstep.gauges import GaugeValue
from chervilstep.hooks import GAUGES
from chervilstep.memory import Content, Holding, Pool
from chervilstep.node import Node
from chervilstep.types import Instant

#: Holdings up to this size use the pool that large ones leave alone, so that small
#: requests are served while large ones wait for room.
SMALL_BYTES: Final = 64 * 1024
#: The fraction of the large pool that one customer or service may use for more
#: than one body.
PARTY_FRACTION: Final = 0.5
#: The fraction that each content may use: requests leave room for the answers that
#: they are sent for, and answers without end leave room for requests.
CONTENT_FRACTIONS: Final = {Content.REQUESTS: 0.94, Content.ANSWERS: 0.75}


def pool_for(node: Node, holding: Holding, size: int) -> Pool | None:
    """Returns the pool with room for more bytes of a holding, or None."""
    budget = node.memory
    total = holding.taken.total() + size
    if total <= SMALL_BYTES and _has_room(node, Pool.SMALL, size):
        return Pool.SMALL
    limit = budget.limits[Pool.LARGE]
    content = budget.by_content[holding.content]
    if content + size > CONTENT_FRACTIONS[holding.content] * limit:
        return None
    party = budget.by_party.get((holding.content, holding.party), 0)
    is_only_one = party == holding.taken[Pool.LARGE]
    if not is_only_one and party + size > PARTY_FRACTION * limit:
        return None
    return Pool.LARGE if _has_room(node, Pool.LARGE, size) else None


def can_ever_hold(node: Node, content: Content, size: int) -> bool:
    """Whether there is room for so many bytes while nothing else is held."""
    limit = CONTENT_FRACTIONS[content] * node.memory.limits[Pool.LARGE]
    return size <= SMALL_BYTES or size <= limit


@GAUGES.register('held_bytes')
def read_held_bytes(node: Node, now: Instant) -> Iterable[GaugeValue]:
    """Yields the bytes that are held for requests and answers, by pool."""
    for pool in Pool:
        yield GaugeValue(node.memory.by_pool.get(pool, 0), pool=pool.value)


@GAUGES.register('held_bytes_peak')
def read_peak_bytes(node: Node, now: Instant) -> Iterable[GaugeValue]:
    """Yields the most bytes that were held at a time."""
    yield GaugeValue(node.memory.peak_bytes)


def _has_room(node: Node, pool: Pool, size: int) -> bool:
    budget = node.memory
    return budget.by_pool[pool] + size <= budget.limits[pool]
