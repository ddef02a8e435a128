"""The schedule of the load probes that this instance sends."""

from collections.abc import Mapping
from typing import final

from chervilstep.types import Deadline, Instant


@final
class ProbeSchedule:
    """The upstreams that this instance probes, and when each is next due."""

    __slots__ = ('_next_at',)

    def __init__(self) -> None:
        """Creates an empty schedule."""
        self._next_at: dict[str, Deadline] = {}

    @property
    def next_at(self) -> Mapping[str, Deadline]:
        """The earliest time of the next probe, by the upstream's name."""
        return self._next_at

    def is_due(self, upstream: str, now: Instant) -> bool:
        """Whether the upstream is assigned and may be probed."""
        next_at = self._next_at.get(upstream)
        return next_at is not None and next_at.has_passed(now)

    def postpone(self, upstream: str, next_at: Deadline) -> None:
        """Delays the next probe of an assigned upstream to ``next_at``.

        A probe that is already planned for a later time stays there.
        """
        planned = self._next_at.get(upstream)
        if planned is not None and planned.at < next_at.at:
            self._next_at[upstream] = next_at

    def assign(self, upstreams: frozenset[str], first_at: Deadline) -> None:
        """Replaces the assigned upstreams.

        An upstream that is newly assigned is not probed before ``first_at``.
        """
        self._next_at = {
            name: self._next_at.get(name, first_at) for name in upstreams
        }
