"""Positions in the history of a store, which may return from a copy."""

from typing import Final, TypeAlias, final

from chervilstep.exceptions import PeerError
from chervilstep.fields import require_range, require_type

#: The greatest epoch and the greatest number, signed integers of 64 bits.
MAX_REVISION_PART: Final = 2**63 - 1

PAIR_LENGTH: Final = 2
#: A revision in a message: its number and its epoch.
RevisionPair: TypeAlias = tuple[int, int]


@final
class Revision:
    """A position in the history of a store.

    A store numbers its changes. When it returns from a copy, the changes after
    the copy are lost, their numbers are given out again, and a new epoch begins.
    Any revision of an epoch is later than all those of earlier epochs.
    """

    __slots__ = ('_order',)

    def __init__(self, number: int, epoch: int = 0) -> None:
        """Creates a revision; stores without epochs stay in epoch 0."""
        self._order = (epoch, number)

    def __repr__(self) -> str:
        """Returns the class name with the number and the epoch."""
        return f'Revision({self.number}, epoch={self.epoch})'

    def __eq__(self, other: object) -> bool:
        """Whether both are the same position of the same epoch."""
        return isinstance(other, Revision) and other.order == self._order

    def __lt__(self, other: 'Revision') -> bool:
        """Whether this position is earlier."""
        return self._order < other.order

    def __le__(self, other: 'Revision') -> bool:
        """Whether this position is earlier or the same."""
        return self._order <= other.order

    def __gt__(self, other: 'Revision') -> bool:
        """Whether this position is later."""
        return self._order > other.order

    def __ge__(self, other: 'Revision') -> bool:
        """Whether this position is later or the same."""
        return self._order >= other.order

    def __hash__(self) -> int:
        """Returns the hash of the number and the epoch."""
        return hash(self._order)

    @property
    def order(self) -> tuple[int, int]:
        """The epoch and the number, which compare as the revisions do."""
        return self._order

    @property
    def epoch(self) -> int:
        """How many times the store has returned from a copy."""
        return self._order[0]

    @property
    def number(self) -> int:
        """The store's own revision, which is unique only within its epoch."""
        return self._order[1]

    @property
    def pair(self) -> RevisionPair:
        """The number and the epoch, as sent in messages."""
        return self.number, self.epoch

    @property
    def previous(self) -> 'Revision':
        """The position just before this one."""
        return Revision(max(0, self.number - 1), self.epoch)


def require_revision_pair(pair: object) -> RevisionPair:
    """Returns the number and the epoch of a revision in a message.

    Raises:
        PeerError: The field is no pair of numbers, or one is out of range.
    """
    if not isinstance(pair, tuple | list) or len(pair) != PAIR_LENGTH:
        raise PeerError('a revision in a message is not a pair')
    number, epoch = pair
    for part in (number, epoch):
        require_range(require_type(part, int), MAX_REVISION_PART)
    return number, epoch
