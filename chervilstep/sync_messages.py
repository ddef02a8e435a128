"""Messages by which instances keep their configuration equal."""

from typing import Final, TypeAlias, final

from chervilstep.fields import checked, checked_pairs
from chervilstep.hooks import MESSAGES
from chervilstep.messages import Message

#: The names of sections with their revisions.
Revisions: TypeAlias = tuple[tuple[str, int], ...]

#: Names of instances with the seconds for which they vouch.
Vouchers: TypeAlias = tuple[tuple[str, float], ...]

#: How many revisions a page or a notice lists.
PAGE_ENTRIES: Final = 100


@final
@MESSAGES.register('config-inquiry')
class ConfigInquiry(Message):
    """Asks a peer whether it knows of the same sections."""

    __slots__ = ('_number', '_wants_vouchers')

    kind = 'config-inquiry'
    fields = ('number', 'wants_vouchers')

    def __init__(self, number: int, wants_vouchers: bool) -> None:
        """Creates the inquiry with the number that the answer repeats."""
        self._number = checked(number, int)
        self._wants_vouchers = bool(wants_vouchers)

    @property
    def number(self) -> int:
        """The number of the inquiry."""
        return self._number

    @property
    def wants_vouchers(self) -> bool:
        """Whether the answer shall tell what the peer has from others."""
        return self._wants_vouchers


@final
@MESSAGES.register('config-summary')
class ConfigSummary(Message):
    """Answers an inquiry."""

    __slots__ = (
        '_fingerprint',
        '_is_introduced',
        '_number',
        '_platform_remaining',
        '_remaining',
        '_seen_revision',
        '_vouchers',
    )

    kind = 'config-summary'
    fields = (
        'number',
        'fingerprint',
        'remaining',
        'platform_remaining',
        'is_introduced',
        'seen_revision',
        'vouchers',
    )

    def __init__(
        self,
        number: int,
        fingerprint: bytes,
        remaining: float,
        platform_remaining: float,
        is_introduced: bool,
        seen_revision: int,
        vouchers: Vouchers,
    ) -> None:
        """Creates the answer to the inquiry called ``number``."""
        self._number = checked(number, int)
        self._fingerprint = checked(fingerprint, bytes)
        self._remaining = float(checked(remaining, (int, float)))
        self._platform_remaining = float(
            checked(platform_remaining, (int, float))
        )
        self._is_introduced = bool(is_introduced)
        self._seen_revision = checked(seen_revision, int)
        self._vouchers = checked_pairs(vouchers, (int, float))

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
    def platform_remaining(self) -> float:
        """For how many seconds somebody's read of the platform is recent."""
        return self._platform_remaining

    @property
    def is_introduced(self) -> bool:
        """Whether the sender caught up with the fleet since its start."""
        return self._is_introduced

    @property
    def seen_revision(self) -> int:
        """The platform's highest revision that the sender knows of."""
        return self._seen_revision

    @property
    def vouchers(self) -> Vouchers:
        """Who vouched to the sender, with the seconds that remain."""
        return self._vouchers


@final
@MESSAGES.register('revisions-request')
class RevisionsRequest(Message):
    """Asks for revisions, newest first."""

    __slots__ = ('_below',)

    kind = 'revisions-request'
    fields = ('below',)

    def __init__(self, below: int | None) -> None:
        """Asks for those lower than ``below``, or for the newest."""
        self._below = None if below is None else checked(below, int)

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
        self._below = None if below is None else checked(below, int)
        self._above = checked(above, int)
        self._revisions = checked_pairs(revisions, int)

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
        self._revisions = checked_pairs(revisions, int)

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
        self._name = checked(name, str)
        self._revision = checked(revision, int)
        self._offset = checked(offset, int)

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
        self._name = checked(name, str)
        self._revision = checked(revision, int)
        self._offset = checked(offset, int)
        self._size = checked(size, int)
        self._data = checked(data, bytes)

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
