"""The exceptions that chervilstep raises."""

from collections.abc import Iterable


class ChervilstepError(Exception):
    """The base of every exception of this package."""

    __slots__ = ()


class UnknownName(ChervilstepError):
    """A registry has no item of the requested name."""

    __slots__ = ()

    def __init__(self, kind: str, name: str, known: Iterable[str]) -> None:
        """Names the ``kind`` of item, the missing name and the known ones."""
        choices = ', '.join(known)
        super().__init__(f'no {kind} is called {name!r}; known: {choices}')


class SettingsError(ChervilstepError):
    """A settings file has faults; the message lists all of them."""

    __slots__ = ()


class PlatformError(ChervilstepError):
    """The platform's configuration service did not answer as it should."""

    __slots__ = ()


class PeerError(ChervilstepError):
    """A peer sent something that the protocol does not allow."""

    __slots__ = ()


class SectionError(ChervilstepError):
    """A section of the document has faults; the message lists all of them."""

    __slots__ = ()


class OperatorError(ChervilstepError):
    """An instance did not answer an operator's question."""

    __slots__ = ()
