"""Messages by which instances ask for, grant and look up leases."""

from typing import final

from chervilstep.hooks import MESSAGES
from chervilstep.messages import Message


@MESSAGES.register('lease-request')
@final
class LeaseRequest(Message):
    """Asks a voter for every shard that the sender holds or wants."""

    __slots__ = (
        '_floor',
        '_held',
        '_incarnation',
        '_revisions',
        '_round_number',
        '_shards',
    )

    kind = 'lease-request'
    fields = (
        'round_number',
        'incarnation',
        'revisions',
        'floor',
        'shards',
        'held',
    )

    def __init__(
        self,
        round_number: int,
        incarnation: int,
        revisions: tuple[int, ...],
        floor: int,
        shards: tuple[int, ...],
        held: tuple[int, ...],
    ) -> None:
        """Creates a request under the lists of ``revisions``."""
        self._held = tuple(held)
        self._round_number = round_number
        self._incarnation = incarnation
        self._revisions = tuple(revisions)
        self._floor = floor
        self._shards = tuple(shards)

    @property
    def round_number(self) -> int:
        """The sender's round; the answer repeats it."""
        return self._round_number

    @property
    def incarnation(self) -> int:
        """The sender's incarnation."""
        return self._incarnation

    @property
    def revisions(self) -> tuple[int, ...]:
        """The lists in use at the sender."""
        return self._revisions

    @property
    def floor(self) -> int:
        """The lists below are out of use."""
        return self._floor

    @property
    def shards(self) -> tuple[int, ...]:
        """The shards wanted; the voter frees the sender's other ones."""
        return self._shards

    @property
    def held(self) -> tuple[int, ...]:
        """The shards among them whose lease the sender holds already."""
        return self._held


@MESSAGES.register('lease-answer')
@final
class LeaseAnswer(Message):
    """Says which shards a voter grants, and what it knows."""

    __slots__ = (
        '_floor',
        '_granted',
        '_incarnation',
        '_is_admitted',
        '_is_voting',
        '_revisions',
        '_round_number',
    )

    kind = 'lease-answer'
    fields = (
        'round_number',
        'incarnation',
        'revisions',
        'floor',
        'granted',
        'is_voting',
        'is_admitted',
    )

    def __init__(
        self,
        round_number: int,
        incarnation: int,
        revisions: tuple[int, ...],
        floor: int,
        granted: tuple[int, ...],
        is_voting: bool,
        is_admitted: bool,
    ) -> None:
        """Creates the answer of a voter of this ``incarnation``."""
        self._round_number = round_number
        self._incarnation = incarnation
        self._revisions = tuple(revisions)
        self._floor = floor
        self._granted = tuple(granted)
        self._is_voting = is_voting
        self._is_admitted = is_admitted

    @property
    def round_number(self) -> int:
        """The round that is answered."""
        return self._round_number

    @property
    def incarnation(self) -> int:
        """The voter's incarnation."""
        return self._incarnation

    @property
    def revisions(self) -> tuple[int, ...]:
        """The lists in use at the voter."""
        return self._revisions

    @property
    def floor(self) -> int:
        """The lists below are out of use."""
        return self._floor

    @property
    def granted(self) -> tuple[int, ...]:
        """The shards that the voter grants to nobody else for a while."""
        return self._granted

    @property
    def is_voting(self) -> bool:
        """Whether the voter remembers enough to grant anything."""
        return self._is_voting

    @property
    def is_admitted(self) -> bool:
        """Whether the asking process began together with the voter."""
        return self._is_admitted


@MESSAGES.register('listing')
@final
class ListingNotice(Message):
    """Passes on a list in use that the recipient lacks."""

    __slots__ = ('_floor', '_names', '_revision')

    kind = 'listing'
    fields = ('revision', 'names', 'floor')

    def __init__(
        self, revision: int, names: tuple[str, ...], floor: int
    ) -> None:
        """Creates a notice of the list of ``revision``."""
        self._revision = revision
        self._names = tuple(names)
        self._floor = floor

    @property
    def revision(self) -> int:
        """The platform's revision of the list."""
        return self._revision

    @property
    def names(self) -> tuple[str, ...]:
        """The listed instances."""
        return self._names

    @property
    def floor(self) -> int:
        """The lists below are out of use."""
        return self._floor


@MESSAGES.register('homes-request')
@final
class HomesRequest(Message):
    """Asks a voter who holds the shards."""

    __slots__ = ()

    kind = 'homes-request'


@MESSAGES.register('homes')
@final
class Homes(Message):
    """Says who holds the shards, as far as the sender has voted for them."""

    __slots__ = ('_shards',)

    kind = 'homes'
    fields = ('shards',)

    def __init__(self, shards: dict[str, tuple[int, ...]]) -> None:
        """Creates the message; ``shards`` are listed by holder."""
        self._shards = dict(shards)

    @property
    def shards(self) -> dict[str, tuple[int, ...]]:
        """The shards by the name of their holder."""
        return self._shards
