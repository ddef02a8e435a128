"""Requests that are suspected of crashing the upstreams that run them."""

from collections.abc import Mapping
from typing import Final, final

from chervilstep.types import Deadline, Instant

#: Fingerprints under suspicion that are kept for one customer.
MAX_SUSPECTS: Final = 64
#: Names of lost upstreams that are kept for one suspect.
MAX_UPSTREAMS: Final = 8


@final
class Suspect:
    """A request and the upstreams that were lost while they ran it."""

    __slots__ = ('_deadline', '_losses', '_quarantined_until', '_upstreams')

    def __init__(self, deadline: Deadline) -> None:
        """Creates a suspect that is forgotten at ``deadline``."""
        self._upstreams: frozenset[str] = frozenset()
        self._losses = 0
        self._deadline = deadline
        self._quarantined_until: Deadline | None = None

    @property
    def upstreams(self) -> frozenset[str]:
        """The names of the upstreams that were lost."""
        return self._upstreams

    @property
    def losses(self) -> int:
        """How many losses there were, repeated ones included."""
        return self._losses

    @property
    def deadline(self) -> Deadline:
        """When the suspicion is forgotten."""
        return self._deadline

    @property
    def quarantined_until(self) -> Deadline | None:
        """Until when the request is refused, if it ever was."""
        return self._quarantined_until

    def is_quarantined(self, now: Instant) -> bool:
        """Whether the request is refused at ``now``."""
        until = self._quarantined_until
        return until is not None and not until.has_passed(now)

    def strike(self, upstream: str, deadline: Deadline) -> None:
        """Notes that ``upstream`` was lost."""
        self._losses += 1
        if len(self._upstreams) < MAX_UPSTREAMS:
            self._upstreams |= {upstream}
        self._deadline = deadline

    def quarantine(self, until: Deadline, deadline: Deadline) -> None:
        """Refuses the request for a time."""
        self._quarantined_until = until
        self._deadline = deadline


@final
class Quarantine:
    """The suspects of each customer by their fingerprints.

    The table of a customer is bounded and apart from all others, so that no
    customer can push out, or put in, a suspect of another one.
    """

    __slots__ = ('_suspects',)

    def __init__(self) -> None:
        """Starts without suspects."""
        self._suspects: dict[str, dict[bytes, Suspect]] = {}

    @property
    def customers(self) -> Mapping[str, Mapping[bytes, Suspect]]:
        """The suspects by customer and fingerprint; no table is empty."""
        return self._suspects

    def suspect(
        self, customer: str, digest: bytes, deadline: Deadline
    ) -> Suspect:
        """The suspect with this fingerprint, created on first use."""
        table = self._suspects.setdefault(customer, {})
        found = table.get(digest)
        if found is None:
            if len(table) >= MAX_SUSPECTS:
                table.pop(min(table, key=lambda key: table[key].deadline.at))
            found = Suspect(deadline)
            table[digest] = found
        return found

    def clear(self, customer: str, digest: bytes) -> None:
        """Forgets a suspect."""
        table = self._suspects.get(customer, {})
        table.pop(digest, None)
        if not table:
            self._suspects.pop(customer, None)

    def expire(self, now: Instant) -> None:
        """Forgets the suspects whose deadline has passed."""
        for customer, table in tuple(self._suspects.items()):
            for digest, suspect in tuple(table.items()):
                if suspect.deadline.has_passed(now):
                    self.clear(customer, digest)
