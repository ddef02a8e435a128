"""Messages by which instances keep their configuration equal."""

from typing import Final, TypeAlias, TypeVar, final

from chervilstep.exceptions import PeerError
from chervilstep.hooks import MESSAGES
from chervilstep.messages import Message

Field = TypeVar('Field')
#: The names of sections with their revisions.
Revisions: TypeAlias = tuple[tuple[str, int], ...]

#: How many revisions a page or a notice lists.
PAGE_ENTRIES: Final = 100
#: A page runs on while revisions are equal, up to this bound.
MAX_PAGE_ENTRIES: Final = 1000


@final
@MESSAGES.register('config-inquiry')
class ConfigInquiry(Message):
    """Asks a peer whether it knows of the same sections."""

    __slots__ = ('_number',)

    kind = 'config-inquiry'
    fields = ('number',)

    def __init__(self, number: int) -> None:
        """Creates the inquiry with the number that the answer repeats."""
        self._number = _checked(number, int)

    @property
    def number(self) -> int:
        """The number of the inquiry."""
        return self._number


@final
@MESSAGES.register('config-summary')
class ConfigSummary(Message):
    """Answers an inquiry."""

    __slots__ = (
        '_fingerprint',
        '_is_introduced',
        '_number',
        '_remaining',
        '_seen_revision',
    )

    kind = 'config-summary'
    fields = (
        'number',
        'fingerprint',
        'remaining',
        'is_introduced',
        'seen_revision',
    )

    def __init__(
        self,
        number: int,
        fingerprint: bytes,
        remaining: float,
        is_introduced: bool,
        seen_revision: int,
    ) -> None:
        """Creates the answer to the inquiry called ``number``."""
        self._number = _checked(number, int)
        self._fingerprint = _checked(fingerprint, bytes)
        self._remaining = float(_checked(remaining, (int, float)))
        self._is_introduced = bool(is_introduced)
        self._seen_revision = _checked(seen_revision, int)

    @property
    def number(self) -> int:
        """The number of the inquiry."""
        return self._number

    @property
    def fingerprint(self) -> bytes:
        """A digest of the accepted revisions."""
        return self._fingerprint

    @property
    def remaining(self) -> float:
        """For how many seconds the configuration counts as current."""
        return self._remaining

    @property
    def is_introduced(self) -> bool:
        """Whether the sender caught up with the fleet since its start."""
        return self._is_introduced

    @property
    def seen_revision(self) -> int:
        """The platform's highest revision that the sender knows of."""
        return self._seen_revision


@final
@MESSAGES.register('revisions-request')
class RevisionsRequest(Message):
    """Asks for revisions, newest first."""

    __slots__ = ('_below',)

    kind = 'revisions-request'
    fields = ('below',)

    def __init__(self, below: int | None) -> None:
        """Asks for those lower than ``below``, or for the newest."""
        self._below = None if below is None else _checked(below, int)

    @property
    def below(self) -> int | None:
        """Every revision in the answer is lower; None sets no bound."""
        return self._below


@final
@MESSAGES.register('revisions-page')
class RevisionsPage(Message):
    """Lists every accepted revision between two bounds, newest first."""

    __slots__ = ('_above', '_below', '_revisions')

    kind = 'revisions-page'
    fields = ('below', 'above', 'revisions')

    def __init__(
        self, below: int | None, above: int, revisions: Revisions
    ) -> None:
        """Lists those under ``below`` and over ``above``, zero at the end."""
        self._below = None if below is None else _checked(below, int)
        self._above = _checked(above, int)
        self._revisions = _checked_revisions(revisions)

    @property
    def below(self) -> int | None:
        """The upper bound, itself excluded."""
        return self._below

    @property
    def above(self) -> int:
        """The lower bound, itself excluded; zero on the last page."""
        return self._above

    @property
    def revisions(self) -> Revisions:
        """The names of the sections with their revisions."""
        return self._revisions


@final
@MESSAGES.register('revisions-notice')
class RevisionsNotice(Message):
    """Tells of revisions that the recipient may not know."""

    __slots__ = ('_revisions',)

    kind = 'revisions-notice'
    fields = ('revisions',)

    def __init__(self, revisions: Revisions) -> None:
        """Tells of these ``revisions``."""
        self._revisions = _checked_revisions(revisions)

    @property
    def revisions(self) -> Revisions:
        """The names of the sections with their revisions."""
        return self._revisions


@final
@MESSAGES.register('section-request')
class SectionRequest(Message):
    """Asks for a part of a section."""

    __slots__ = ('_name', '_offset', '_revision')

    kind = 'section-request'
    fields = ('name', 'revision', 'offset')

    def __init__(self, name: str, revision: int, offset: int) -> None:
        """Asks for what follows ``offset`` of the compressed text."""
        self._name = _checked(name, str)
        self._revision = _checked(revision, int)
        self._offset = _checked(offset, int)

    @property
    def name(self) -> str:
        """The name of the section."""
        return self._name

    @property
    def revision(self) -> int:
        """The revision that is wanted."""
        return self._revision

    @property
    def offset(self) -> int:
        """The number of compressed bytes that the sender has."""
        return self._offset


@final
@MESSAGES.register('section-part')
class SectionPart(Message):
    """Carries a part of a section, compressed."""

    __slots__ = ('_data', '_name', '_offset', '_revision', '_size')

    kind = 'section-part'
    fields = ('name', 'revision', 'offset', 'size', 'data')

    def __init__(
        self, name: str, revision: int, offset: int, size: int, data: bytes
    ) -> None:
        """Creates a part; a ``size`` of zero tells of a deletion."""
        self._name = _checked(name, str)
        self._revision = _checked(revision, int)
        self._offset = _checked(offset, int)
        self._size = _checked(size, int)
        self._data = _checked(data, bytes)

    @property
    def name(self) -> str:
        """The name of the section."""
        return self._name

    @property
    def revision(self) -> int:
        """The revision of the text."""
        return self._revision

    @property
    def offset(self) -> int:
        """Where ``data`` starts in the compressed text."""
        return self._offset

    @property
    def size(self) -> int:
        """The bytes of the whole compressed text; zero for a deletion."""
        return self._size

    @property
    def data(self) -> bytes:
        """A part of the compressed text."""
        return self._data


def _checked(
    found: Field, expected: type[object] | tuple[type[object], ...]
) -> Field:
    if isinstance(found, bool) or not isinstance(found, expected):
        raise PeerError(f'unexpected {type(found).__name__} in a message')
    return found


def _checked_revisions(found: Revisions) -> Revisions:
    if len(found) > MAX_PAGE_ENTRIES:
        raise PeerError('too many revisions in a message')
    return tuple(
        (_checked(name, str), _checked(revision, int))
        for name, revision in found
    )
