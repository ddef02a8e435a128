"""Leases on the shards of the customers' limits.

Every customer's rate and burst are cut into shards. At most one instance
holds the lease of a shard at any time, and leases are granted by quorums of
the listed instances, after PaxosLease (Trencseni, Gazso and Reinhardt, 2012),
which needs neither disks nor synchronized clocks. Lists that change are
handled after RAMBO (Lynch and Shvartsman, 2002): a requester counts a quorum
in every list in use, and a list falls out of use only when a quorum of it
knows a newer one and every lease granted before has ended.
"""

from collections.abc import Iterable, Mapping
from typing import Final, final

import xxhash

from chervilstep.types import Deadline, Instant, new_deadline

#: How many shards there are over the whole fleet.
SHARDS: Final = 16
#: How long a vote for a holder stands after it was given.
LEASE_SECONDS: Final = 6
#: The most instances of a list that vote.
VOTERS_MAX: Final = 21


def digest_of_name(name: str) -> int:
    """A number that is the same on every instance."""
    return xxhash.xxh64_intdigest(name.encode())


@final
class Listing:
    """The names of one revision of the platform's list."""

    __slots__ = ('_names', '_revision', '_voters')

    def __init__(self, revision: int, names: Iterable[str]) -> None:
        """Creates a listing; the voters are the same on every instance."""
        self._revision = revision
        self._names = frozenset(names)
        ranked = sorted(self._names, key=digest_of_name)
        self._voters = frozenset(ranked[:VOTERS_MAX])

    @property
    def revision(self) -> int:
        """The platform's revision."""
        return self._revision

    @property
    def names(self) -> frozenset[str]:
        """Every listed instance."""
        return self._names

    @property
    def voters(self) -> frozenset[str]:
        """The listed instances whose votes count."""
        return self._voters

    @property
    def renewal_quorum(self) -> int:
        """Votes that renew a lease: about a third, two at least."""
        size = len(self._voters)
        return min(size, max(2, (size + 2) // 3))

    @property
    def recovery_quorum(self) -> int:
        """Others that together know all that a restarted voter knew."""
        return len(self._voters) - self.quorum + 1

    @property
    def quorum(self) -> int:
        """Votes that acquire a lease; meets every other quorum."""
        size = len(self._voters)
        return max(size - self.renewal_quorum, size // 2) + 1


@final
class Holder:
    """One process that may hold leases: a name and its incarnation."""

    __slots__ = ('_incarnation', '_name')

    def __init__(self, name: str, incarnation: int) -> None:
        """Creates a holder; a restarted process has another incarnation."""
        self._name = name
        self._incarnation = incarnation

    def __eq__(self, other: object) -> bool:
        """Holders are equal when they are the same process."""
        return (
            isinstance(other, Holder)
            and other.name == self._name
            and other.incarnation == self._incarnation
        )

    def __hash__(self) -> int:
        """Hashes by the name."""
        return hash(self._name)

    @property
    def name(self) -> str:
        """The instance's name."""
        return self._name

    @property
    def incarnation(self) -> int:
        """A random number drawn at the start of the process."""
        return self._incarnation


@final
class Ballot:
    """What this voter granted to one holder in the holder's last round."""

    __slots__ = ('_deadline', '_round_number', '_shards')

    def __init__(
        self, round_number: int, shards: Iterable[int], deadline: Deadline
    ) -> None:
        """Creates a ballot that stands until ``deadline``."""
        self._round_number = round_number
        self._shards = frozenset(shards)
        self._deadline = deadline

    @property
    def round_number(self) -> int:
        """The holder's round; an older one is ignored."""
        return self._round_number

    @property
    def shards(self) -> frozenset[int]:
        """The shards that no other holder is granted."""
        return self._shards

    @property
    def deadline(self) -> Deadline:
        """When the ballot stops to stand."""
        return self._deadline


@final
class Round:
    """One request for leases to the voters, and their answers."""

    __slots__ = (
        '_answers',
        '_informed',
        '_listings',
        '_number',
        '_sent_at',
        '_shards',
    )

    def __init__(
        self,
        number: int,
        sent_at: Instant,
        listings: Iterable[Listing],
        shards: Iterable[int],
    ) -> None:
        """Creates a round that asks for ``shards`` under ``listings``."""
        self._number = number
        self._sent_at = sent_at
        self._listings = tuple(listings)
        self._shards = frozenset(shards)
        self._answers: dict[str, frozenset[int]] = {}
        self._informed: set[str] = set()

    @property
    def number(self) -> int:
        """The number, which grows within an incarnation."""
        return self._number

    @property
    def deadline(self) -> Deadline:
        """When leases granted in this round end, counted from its start."""
        return new_deadline(self._sent_at, LEASE_SECONDS)

    @property
    def listings(self) -> tuple[Listing, ...]:
        """The lists in use when the round started, the oldest first."""
        return self._listings

    @property
    def shards(self) -> frozenset[int]:
        """The shards asked for."""
        return self._shards

    @property
    def answers(self) -> Mapping[str, frozenset[int]]:
        """The shards granted by each voter that answered."""
        return self._answers

    @property
    def informed(self) -> frozenset[str]:
        """The voters known to know the newest list of the round."""
        return frozenset(self._informed)

    def answer(
        self, name: str, granted: Iterable[int], *, is_informed: bool
    ) -> None:
        """Takes in the answer of the voter ``name``."""
        self._answers[name] = frozenset(granted)
        if is_informed:
            self._informed.add(name)


@final
class Home:
    """The instance last seen to hold a shard; a hint that may be wrong."""

    __slots__ = ('_deadline', '_name')

    def __init__(self, name: str, deadline: Deadline) -> None:
        """Creates a hint to be renewed before ``deadline``."""
        self._name = name
        self._deadline = deadline

    @property
    def name(self) -> str:
        """The name of the instance."""
        return self._name

    @property
    def deadline(self) -> Deadline:
        """When the shard counts as free unless it was seen held again."""
        return self._deadline


@final
class Sighting:
    """What another instance said of its own state, when it was asked."""

    __slots__ = ('_incarnation', '_is_voting')

    def __init__(self, incarnation: int, *, is_voting: bool) -> None:
        """Creates a sighting of one process."""
        self._incarnation = incarnation
        self._is_voting = is_voting

    @property
    def incarnation(self) -> int:
        """The incarnation of the process."""
        return self._incarnation

    @property
    def is_voting(self) -> bool:
        """Whether it votes, so that its memory can be relied on."""
        return self._is_voting
