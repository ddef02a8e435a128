"""The exceptions that chervilstep raises."""

from collections.abc import Iterable


class ChervilstepError(Exception):
    """Base class of all exceptions of this package."""

    __slots__ = ()


class UnknownName(ChervilstepError):
    """A registry has no item with the requested name."""

    __slots__ = ()

    def __init__(self, kind: str, name: str, known: Iterable[str]) -> None:
        """Creates the error; ``known`` are the registered names."""
        choices = ', '.join(known)
        super().__init__(f'no {kind} is called {name!r}; known: {choices}')


class SettingsError(ChervilstepError):
    """A settings file is invalid; the message lists every error."""

    __slots__ = ()


class PeerError(ChervilstepError):
    """A peer violated the protocol."""

    __slots__ = ()


class SectionError(ChervilstepError):
    """A section of the document is invalid; the message lists every error."""

    __slots__ = ()


class OperatorError(ChervilstepError):
    """An instance did not answer an operator's command."""

    __slots__ = ()


class ItemError(ChervilstepError):
    """An item of the platform's store is invalid or outdated."""

    __slots__ = ()


class RequestError(ChervilstepError):
    """A caller sent a malformed or unacceptable HTTP request."""

    __slots__ = ('_status',)

    def __init__(self, status: int, message: str) -> None:
        """Creates the error; ``status`` is the HTTP status of the reply."""
        super().__init__(message)
        self._status = status

    @property
    def status(self) -> int:
        """The HTTP status of the reply."""
        return self._status


class OverloadError(RequestError):
    """A request was not read for lack of memory; it has not run."""

    __slots__ = ('_retry_seconds',)

    def __init__(self, status: int, message: str, retry_seconds: float) -> None:
        """Creates the error; the caller may retry after ``retry_seconds``."""
        super().__init__(status, message)
        self._retry_seconds = retry_seconds

    @property
    def retry_seconds(self) -> float:
        """After how many seconds another attempt makes sense."""
        return self._retry_seconds

    @property
    def retry_header(self) -> tuple[str, str]:
        """The name and the text of the header that tells the caller."""
        return 'Retry-After', f'{self._retry_seconds:.3f}'


class StoreError(ChervilstepError):
    """The platform's store failed or sent an invalid answer."""

    __slots__ = ('_is_compacted',)

    def __init__(self, message: str, *, is_compacted: bool = False) -> None:
        """Creates the error; see ``is_compacted`` for the flag."""
        super().__init__(message)
        self._is_compacted = is_compacted

    @property
    def is_compacted(self) -> bool:
        """Whether the store has discarded the requested revisions.

        All items must then be read again.
        """
        return self._is_compacted


class LogError(ChervilstepError):
    """A line does not have the format of an instance's log."""

    __slots__ = ()


class FetchError(ChervilstepError):
    """A request sent by this instance got no complete answer."""

    __slots__ = ()


class BrokenAnswerError(FetchError):
    """A request sent by this instance got a malformed answer."""

    __slots__ = ()
