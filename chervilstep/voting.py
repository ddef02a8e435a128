"""What an instance remembers as a voter and as a holder of leases."""

from collections.abc import Mapping
from typing import Final, final

from chervilstep.leases import Ballot, Holder, Home, Listing, Round, Sighting
from chervilstep.types import Deadline, Instant

#: Before the first round.
NEVER: Final = Deadline(float('-inf'))


@final
class Voting:
    """The lists in use and the ballots that this instance granted.

    A process that has just started remembers nothing, so it does not vote
    before it has learned from others what it may have known.
    """

    __slots__ = (
        '_admitted',
        '_ballots',
        '_floor',
        '_is_admitted',
        '_is_voting',
        '_listings',
        '_sightings',
    )

    def __init__(self) -> None:
        """Starts without lists, ballots and vote."""
        self._listings: dict[int, Listing] = {}
        self._floor = 0
        self._ballots: dict[Holder, Ballot] = {}
        self._is_voting = False
        self._is_admitted = False
        self._sightings: dict[str, Sighting] = {}
        self._admitted: dict[str, int] = {}

    @property
    def listings(self) -> tuple[Listing, ...]:
        """The lists in use, the oldest first."""
        return tuple(self._listings[key] for key in sorted(self._listings))

    @property
    def revisions(self) -> tuple[int, ...]:
        """The revisions of the lists in use, the oldest first."""
        return tuple(sorted(self._listings))

    @property
    def floor(self) -> int:
        """The lists of lower revisions are out of use for good."""
        return self._floor

    @property
    def ballots(self) -> Mapping[Holder, Ballot]:
        """The last ballot granted to each holder."""
        return self._ballots

    @property
    def is_voting(self) -> bool:
        """Whether this instance grants ballots."""
        return self._is_voting

    @property
    def is_admitted(self) -> bool:
        """Whether a voter said that it began together with this process."""
        return self._is_admitted

    @property
    def sightings(self) -> Mapping[str, Sighting]:
        """The other instances that answered in this round."""
        return self._sightings

    @property
    def admitted(self) -> Mapping[str, int]:
        """Incarnations by name that began together with this instance."""
        return self._admitted

    def add_listing(self, listing: Listing) -> None:
        """Puts a list in use, unless it is out of use already."""
        if listing.revision >= self._floor:
            self._listings.setdefault(listing.revision, listing)

    def raise_floor(self, floor: int) -> None:
        """Takes the lists of revisions lower than ``floor`` out of use."""
        self._floor = max(self._floor, floor)
        for revision in tuple(self._listings):
            if revision < self._floor:
                self._listings.pop(revision)

    def forget_listings(self) -> None:
        """Drops every list; only for an instance that never voted."""
        self._listings.clear()

    def grant(self, holder: Holder, ballot: Ballot) -> None:
        """Replaces the ballot of ``holder``."""
        self._ballots[holder] = ballot

    def expire(self, now: Instant) -> None:
        """Forgets the ballots that no longer stand."""
        for holder, ballot in tuple(self._ballots.items()):
            if ballot.deadline.has_passed(now):
                self._ballots.pop(holder)

    def see(self, name: str, sighting: Sighting) -> None:
        """Notes what another instance said of itself."""
        self._sightings[name] = sighting

    def clear_sightings(self) -> None:
        """Forgets what others said, before they are asked again."""
        self._sightings.clear()

    def admit(self) -> None:
        """Notes that a voter began together with this process."""
        self._is_admitted = True

    def begin(self, admitted: Mapping[str, int]) -> None:
        """Starts to vote; ``admitted`` began at the same time."""
        self._is_voting = True
        self._admitted = dict(admitted)


@final
class Retirement:
    """A plan to take the lists below a revision out of use."""

    __slots__ = ('_deadline', '_floor')

    def __init__(self, floor: int, deadline: Deadline) -> None:
        """Creates a plan for when the leases under them have ended."""
        self._floor = floor
        self._deadline = deadline

    @property
    def floor(self) -> int:
        """The lowest revision that stays in use."""
        return self._floor

    @property
    def deadline(self) -> Deadline:
        """When the leases granted under the older lists have ended."""
        return self._deadline


@final
class Leases:
    """The leases of this instance, and the round that renews them."""

    __slots__ = (
        '_attempts',
        '_held',
        '_holder',
        '_homes',
        '_next_round',
        '_retirement',
        '_round',
        '_voting',
        '_wait_until',
    )

    def __init__(self, holder: Holder) -> None:
        """Starts without a lease; ``holder`` is this process."""
        self._holder = holder
        self._voting = Voting()
        self._held: dict[int, Deadline] = {}
        self._homes: dict[int, Home] = {}
        self._attempts: dict[int, Deadline] = {}
        self._round = Round(holder.incarnation, float('-inf'), (), ())
        self._next_round = NEVER
        self._wait_until: Deadline | None = None
        self._retirement: Retirement | None = None

    @property
    def holder(self) -> Holder:
        """This process."""
        return self._holder

    @property
    def voting(self) -> Voting:
        """What this instance remembers as a voter."""
        return self._voting

    @property
    def held(self) -> Mapping[int, Deadline]:
        """The end of each lease by its shard."""
        return self._held

    @property
    def homes(self) -> Mapping[int, Home]:
        """The instance last seen to hold each shard; a hint only."""
        return self._homes

    @property
    def attempts(self) -> Mapping[int, Deadline]:
        """When this instance asks for a shard that seems free."""
        return self._attempts

    @property
    def round(self) -> Round:
        """The last round."""
        return self._round

    @property
    def next_round(self) -> Deadline:
        """When the next round starts."""
        return self._next_round

    @property
    def wait_until(self) -> Deadline | None:
        """When ballots granted before the start of the process have ended."""
        return self._wait_until

    @property
    def retirement(self) -> Retirement | None:
        """The plan to take older lists out of use, if there is one."""
        return self._retirement

    def wait(self, until: Deadline) -> None:
        """Sets when ballots of earlier incarnations have ended."""
        self._wait_until = until

    def start_round(self, started: Round, next_round: Deadline) -> None:
        """Replaces the round; answers to the older one no longer count."""
        self._round = started
        self._next_round = next_round

    def hold(self, shard: int, deadline: Deadline) -> None:
        """Acquires or extends the lease of ``shard``."""
        self._held[shard] = deadline
        self._attempts.pop(shard, None)
        self._homes[shard] = Home(self._holder.name, deadline)

    def drop(self, shard: int) -> None:
        """Ends the lease of ``shard``."""
        self._held.pop(shard, None)
        self._homes.pop(shard, None)

    def see_home(self, shard: int, home: Home) -> None:
        """Notes that another instance holds ``shard``."""
        self._homes[shard] = home
        self._attempts.pop(shard, None)

    def plan(self, shard: int, attempt: Deadline) -> None:
        """Sets when this instance asks for ``shard``."""
        self._attempts[shard] = attempt

    def cancel(self, shard: int) -> None:
        """Gives up asking for ``shard``."""
        self._attempts.pop(shard, None)

    def retire(self, floor: int, deadline: Deadline) -> None:
        """Plans to take the lists below ``floor`` out of use."""
        self._retirement = Retirement(floor, deadline)

    def finish_retirement(self) -> None:
        """Forgets the plan once it is carried out."""
        self._retirement = None
