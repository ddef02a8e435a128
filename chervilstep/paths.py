"""Which connections of an upstream can be relied on.

Something between the two ends of a connection can lose track of it: all
that is written to it vanishes, while new connections work. One silence
makes every kept connection of the upstream suspect, and a fresh one tells
whether the path was at fault or the server is.
"""

import enum
from collections.abc import Mapping
from typing import final

from chervilstep.types import Instant


@final
class Condition(enum.Enum):
    """What the last attempts at an upstream have shown."""

    GOOD = 'good'
    UNDECIDED = 'undecided'
    SERVER_SILENT = 'server-silent'


@final
class Path:
    """The connections of this instance to one upstream."""

    __slots__ = ('_condition', '_trusted_from')

    def __init__(self) -> None:
        """Starts with trust in every connection."""
        self._condition = Condition.GOOD
        self._trusted_from: Instant | None = None

    @property
    def condition(self) -> Condition:
        """Whether connections, or the server, are suspect."""
        return self._condition

    @property
    def trusted_from(self) -> Instant | None:
        """Connections opened before this instant are not used again."""
        return self._trusted_from

    def is_trusted(self, opened_at: Instant) -> bool:
        """Whether a connection opened at ``opened_at`` may be used."""
        return self._trusted_from is None or opened_at >= self._trusted_from

    def distrust(self, now: Instant) -> None:
        """Distrusts every connection that was opened before ``now``."""
        self._condition = Condition.UNDECIDED
        self._trusted_from = now

    def decide(self, condition: Condition) -> None:
        """Notes what a fresh connection has shown."""
        self._condition = condition


@final
class Paths:
    """The paths to all upstreams by the upstream's name."""

    __slots__ = ('_paths',)

    def __init__(self) -> None:
        """Starts with trust in every connection."""
        self._paths: dict[str, Path] = {}

    def __len__(self) -> int:
        """How many upstreams were ever suspect."""
        return len(self._paths)

    @property
    def by_upstream(self) -> Mapping[str, Path]:
        """The paths to the upstreams that were suspect at some time."""
        return self._paths

    def path(self, upstream: str) -> Path:
        """The path to an upstream, created on first use."""
        return self._paths.setdefault(upstream, Path())

    def keep(self, names: frozenset[str]) -> None:
        """Forgets the upstreams that are not in ``names``."""
        for name in tuple(self._paths):
            if name not in names:
                self._paths.pop(name)
