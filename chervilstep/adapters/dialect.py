"""How instances and upstreams talk, apart from HTTP itself."""

from collections.abc import Mapping
from typing import Final, Protocol, TypeAlias, final

from chervilstep.adapters.answering import AnswerReader
from chervilstep.calls import Answer, Attempt, Ending, Headers
from chervilstep.queries.headers import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    NOT_RUN_HEADER,
)
from chervilstep.registry import Registry, new_registry
from chervilstep.reports import LoadReport
from chervilstep.types import MS_PER_SECOND, Instant

#: Header values by name, without regard to case.
HeaderMap: TypeAlias = Mapping[str, str]

_STATUS_SHED: Final = 503


class Dialect(Protocol):
    """What each side puts into its headers."""

    @property
    def takes_unframed(self) -> bool:
        """Whether a body without a length may end with its connection."""

    def request_headers(self, attempt: Attempt, now: Instant) -> Headers:
        """The headers by which the upstream gets the terms of an attempt."""

    def belongs(self, attempt: Attempt, headers: HeaderMap) -> bool:
        """Whether an answer belongs to the attempt."""

    def refusal(self, answer: Answer, reader: AnswerReader) -> Ending | None:
        """How the attempt ended if the upstream did not run it."""

    def report(self, headers: HeaderMap, now: Instant) -> LoadReport | None:
        """The load that the upstream tells of, if it does."""

    def cold_seconds(self, headers: HeaderMap) -> float | None:
        """How long an upstream stays cold, when its health answer says so."""

    def identity(self, headers: HeaderMap) -> str | None:
        """Which upstream gave a health answer, if it says so."""


#: The dialects by the name in the settings.
DIALECTS: Final[Registry[type[Dialect]]] = new_registry('dialect')

NATIVE: Final = 'native'


@final
@DIALECTS.register(NATIVE)
class NativeDialect:
    """The headers of this project's own upstreams."""

    __slots__ = ()

    @property
    def takes_unframed(self) -> bool:
        """A body that was cut must not look whole."""
        return False

    def request_headers(self, attempt: Attempt, now: Instant) -> Headers:
        """The time that is left, and the number of the attempt."""
        remaining = attempt.deadline.remaining(now)
        return (
            (DEADLINE_HEADER, str(int(remaining * MS_PER_SECOND))),
            (ATTEMPT_HEADER, str(attempt.number)),
        )

    def belongs(self, attempt: Attempt, headers: HeaderMap) -> bool:
        """Answers carry no name of their request."""
        return True

    def refusal(self, answer: Answer, reader: AnswerReader) -> Ending | None:
        """An answer of 503 with a header of its own was not run."""
        if answer.status != _STATUS_SHED:
            return None
        return Ending.SHED if reader.has_header(NOT_RUN_HEADER) else None

    def report(self, headers: HeaderMap, now: Instant) -> LoadReport | None:
        """Loads are asked for by probes."""

    def cold_seconds(self, headers: HeaderMap) -> float | None:
        """Upstreams do not tell."""

    def identity(self, headers: HeaderMap) -> str | None:
        """Upstreams do not tell."""


def new_dialect(name: str) -> Dialect:
    """Creates the dialect called ``name``.

    Raises:
        UnknownName: There is none.
    """
    return DIALECTS.find(name)()
