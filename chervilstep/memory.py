"""The budget of bytes that an instance holds for requests and answers."""

import enum
import weakref
from collections import Counter
from collections.abc import Mapping
from typing import Final, final

from chervilstep.types import Deadline

#: The fraction of the budget that only small bodies may use.
SMALL_FRACTION: Final = 0.125


@final
class Content(enum.Enum):
    """What the held bytes belong to."""

    REQUESTS = 'requests'
    ANSWERS = 'answers'


@final
class Pool(enum.Enum):
    """The part of the budget that bytes are taken from."""

    SMALL = 'small'
    LARGE = 'large'


@final
class Holding:
    """The bytes of one request or answer.

    They go back to the budget when the holding is no longer referenced, as the
    bytes themselves do. Its owner is the object that has the body.
    """

    __slots__ = ('__weakref__', '_content', '_party', '_taken')

    def __init__(
        self, content: Content, party: str, taken: Counter[Pool]
    ) -> None:
        """Creates a holding of ``party``, a customer or a service."""
        self._content = content
        self._party = party
        self._taken = taken

    @property
    def content(self) -> Content:
        """What the bytes belong to."""
        return self._content

    @property
    def party(self) -> str:
        """The customer that sends a request, or the service that answers."""
        return self._party

    @property
    def taken(self) -> Counter[Pool]:
        """The bytes that were taken, by pool."""
        return self._taken


@final
class ByteBudget:
    """The bytes that are held now, by pool, content and party."""

    __slots__ = (
        '_by_content',
        '_by_party',
        '_by_pool',
        '_limit_bytes',
        '_peak_bytes',
        '_wanted_until',
    )

    def __init__(self, limit_bytes: float) -> None:
        """Creates a budget of ``limit_bytes``."""
        self._limit_bytes = limit_bytes
        self._by_pool: Counter[Pool] = Counter()
        self._by_content: Counter[Content] = Counter()
        self._by_party: Counter[tuple[Content, str]] = Counter()
        self._peak_bytes = 0
        self._wanted_until = Deadline(float('-inf'))

    @property
    def limits(self) -> Mapping[Pool, float]:
        """The most bytes of each pool."""
        small = SMALL_FRACTION * self._limit_bytes
        return {Pool.SMALL: small, Pool.LARGE: self._limit_bytes - small}

    @property
    def by_pool(self) -> Mapping[Pool, int]:
        """The bytes that are held, by pool."""
        return self._by_pool

    @property
    def by_content(self) -> Mapping[Content, int]:
        """The bytes of the large pool that are held, by content."""
        return self._by_content

    @property
    def by_party(self) -> Mapping[tuple[Content, str], int]:
        """The bytes of the large pool that are held, by content and party."""
        return self._by_party

    @property
    def held_bytes(self) -> int:
        """All bytes that are held."""
        return self._by_pool.total()

    @property
    def peak_bytes(self) -> int:
        """The most bytes that were held at a time."""
        return self._peak_bytes

    @property
    def wanted_until(self) -> Deadline:
        """Until when stalled bodies give way to others."""
        return self._wanted_until

    def set_wanted(self, deadline: Deadline) -> None:
        """Makes stalled bodies give way until ``deadline``."""
        self._wanted_until = deadline

    def take(self, holding: Holding, pool: Pool, size: int) -> None:
        """Adds bytes to a holding."""
        holding.taken[pool] += size
        self._add(holding.content, holding.party, pool, size)
        self._peak_bytes = max(self._peak_bytes, self.held_bytes)

    def give_back(
        self, content: Content, party: str, taken: Mapping[Pool, int]
    ) -> None:
        """Takes back all bytes of a holding."""
        for pool, size in taken.items():
            self._add(content, party, pool, -size)

    def _add(self, content: Content, party: str, pool: Pool, size: int) -> None:
        self._by_pool[pool] += size
        if pool is Pool.SMALL:
            return
        self._by_content[content] += size
        self._by_party[content, party] += size
        if not self._by_party[content, party]:
            # Parties come and go, and the table must not grow with them.
            del self._by_party[content, party]


def new_holding(budget: ByteBudget, content: Content, party: str) -> Holding:
    """Creates an empty holding that is given back with its last reference."""
    taken: Counter[Pool] = Counter()
    holding = Holding(content, party, taken)
    finalizer = weakref.finalize(
        holding, budget.give_back, content, party, taken
    )
    finalizer.atexit = False
    return holding
