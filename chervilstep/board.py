"""What an instance knows of the load of each upstream."""

from collections.abc import Mapping
from typing import final

from chervilstep.types import Instant


@final
class UpstreamLoad:
    """The load of one upstream as this instance sees it."""

    __slots__ = ('_in_flight', '_last_answer_at')

    def __init__(self) -> None:
        """Starts with nothing in flight."""
        self._in_flight = 0
        self._last_answer_at: Instant | None = None

    @property
    def in_flight(self) -> int:
        """Requests of this instance that the upstream has not answered."""
        return self._in_flight

    @property
    def last_answer_at(self) -> Instant | None:
        """When the upstream last answered this instance."""
        return self._last_answer_at

    def start(self) -> None:
        """Counts one more request in flight."""
        self._in_flight += 1

    def end(self, answered_at: Instant | None) -> None:
        """Counts one request less; ``answered_at`` is None on failure."""
        self._in_flight -= 1
        if answered_at is not None:
            self._last_answer_at = answered_at


@final
class Board:
    """The loads of all upstreams by the upstream's name."""

    __slots__ = ('_loads',)

    def __init__(self) -> None:
        """Starts without any upstream."""
        self._loads: dict[str, UpstreamLoad] = {}

    @property
    def loads(self) -> Mapping[str, UpstreamLoad]:
        """The loads by the upstream's name."""
        return self._loads

    def load(self, name: str) -> UpstreamLoad:
        """The load of the upstream ``name``, created on first use."""
        found = self._loads.get(name)
        if found is None:
            found = UpstreamLoad()
            self._loads[name] = found
        return found

    def keep(self, names: frozenset[str]) -> None:
        """Forgets the upstreams that are not in ``names``."""
        for name in tuple(self._loads):
            if name not in names and not self._loads[name].in_flight:
                self._loads.pop(name)
