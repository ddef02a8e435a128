"""Requests that are suspected of crashing the upstreams that run them."""

from collections.abc import Mapping
from typing import Final, final

from chervilstep.types import Deadline, Instant

#: The number of suspects that are kept for one customer.
MAX_SUSPECTS_PER_CUSTOMER: Final = 64
#: The number of names of lost upstreams that are kept for one suspect.
MAX_LOST_UPSTREAMS: Final = 8


@final
class SuspectRequest:
    """A request and the upstreams that were lost while they ran it."""

    __slots__ = (
        '_expiry',
        '_loss_count',
        '_quarantined_until',
        '_lost_upstreams',
    )

    def __init__(self, expiry: Deadline) -> None:
        """Creates a suspect that is removed at ``expiry``."""
        self._lost_upstreams: frozenset[str] = frozenset()
        self._loss_count = 0
        self._expiry = expiry
        self._quarantined_until: Deadline | None = None

    @property
    def lost_upstreams(self) -> frozenset[str]:
        """The names of the upstreams that were lost."""
        return self._lost_upstreams

    @property
    def loss_count(self) -> int:
        """The number of losses, repeated ones of an upstream included."""
        return self._loss_count

    @property
    def expiry(self) -> Deadline:
        """The time at which the suspect is removed."""
        return self._expiry

    @property
    def quarantined_until(self) -> Deadline | None:
        """The end of the latest quarantine, or None when there was none."""
        return self._quarantined_until

    def is_quarantined(self, now: Instant) -> bool:
        """Whether the request is refused at ``now``."""
        end = self._quarantined_until
        return end is not None and not end.has_passed(now)

    def record_loss(self, upstream: str, expiry: Deadline) -> None:
        """Records that ``upstream`` was lost while it ran the request."""
        self._loss_count += 1
        if len(self._lost_upstreams) < MAX_LOST_UPSTREAMS:
            self._lost_upstreams |= {upstream}
        self._expiry = expiry

    def quarantine(self, quarantined_until: Deadline, expiry: Deadline) -> None:
        """Starts a quarantine in which the request is refused."""
        self._quarantined_until = quarantined_until
        self._expiry = expiry


@final
class Quarantine:
    """The suspects of each customer by their fingerprints.

    Each customer has a bounded table of its own, so that no customer can
    add or evict a suspect of another customer.
    """

    __slots__ = ('_by_customer',)

    def __init__(self) -> None:
        """Creates an empty quarantine."""
        self._by_customer: dict[str, dict[bytes, SuspectRequest]] = {}

    @property
    def by_customer(self) -> Mapping[str, Mapping[bytes, SuspectRequest]]:
        """The suspects by customer and fingerprint; no table is empty."""
        return self._by_customer

    def get_or_create(
        self, customer: str, fingerprint: bytes, expiry: Deadline
    ) -> SuspectRequest:
        """Returns the suspect with this fingerprint, created on first use.

        A new suspect in a full table replaces the one that expires first.
        """
        table = self._by_customer.setdefault(customer, {})
        found = table.get(fingerprint)
        if found is None:
            if len(table) >= MAX_SUSPECTS_PER_CUSTOMER:
                table.pop(min(table, key=lambda key: table[key].expiry.at))
            found = SuspectRequest(expiry)
            table[fingerprint] = found
        return found

    def discard(self, customer: str, fingerprint: bytes) -> None:
        """Removes a suspect, if it is present."""
        table = self._by_customer.get(customer, {})
        table.pop(fingerprint, None)
        if not table:
            self._by_customer.pop(customer, None)

    def discard_expired(self, now: Instant) -> None:
        """Removes the suspects whose expiry has passed."""
        for customer, table in tuple(self._by_customer.items()):
            for fingerprint, suspect in tuple(table.items()):
                if suspect.expiry.has_passed(now):
                    self.discard(customer, fingerprint)
