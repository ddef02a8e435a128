"""When this instance may probe which upstream."""

from collections.abc import Mapping
from typing import final

from chervilstep.types import Deadline, Instant


@final
class ProbePlan:
    """The upstreams that this instance probes, and when each is next."""

    __slots__ = ('_next_at',)

    def __init__(self) -> None:
        """Starts without upstreams."""
        self._next_at: dict[str, Deadline] = {}

    @property
    def next_at(self) -> Mapping[str, Deadline]:
        """From when on each upstream may be probed again, by its name."""
        return self._next_at

    def is_due(self, upstream: str, now: Instant) -> bool:
        """Whether the upstream is assigned and may be probed."""
        next_at = self._next_at.get(upstream)
        return next_at is not None and next_at.has_passed(now)

    def postpone(self, upstream: str, next_at: Deadline) -> None:
        """Moves the next probe of an assigned upstream back, never forth."""
        planned = self._next_at.get(upstream)
        if planned is not None and planned.at < next_at.at:
            self._next_at[upstream] = next_at

    def assign(self, upstreams: frozenset[str], first_at: Deadline) -> None:
        """Replaces the assigned upstreams; new ones wait until ``first_at``."""
        self._next_at = {
            name: self._next_at.get(name, first_at) for name in upstreams
        }
