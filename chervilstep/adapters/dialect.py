"""The headers that instances and upstreams exchange over HTTP."""

from collections.abc import Mapping
from typing import Final, Protocol, TypeAlias, final

from chervilstep.adapters.answers import AnswerReader
from chervilstep.calls import Answer, Attempt, Ending, Headers
from chervilstep.queries.headers import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    LIMIT_HEADER,
    NOT_RUN_HEADER,
    PAUSE_HEADER,
    parse_limit,
    parse_pause,
)
from chervilstep.registry import Registry, new_registry
from chervilstep.reports import (
    NO_NOTICE,
    AvailabilityNotice,
    LoadReport,
    StatedLimit,
)
from chervilstep.types import MS_PER_SECOND, Instant

#: Header values by case-insensitive name.
HeaderMap: TypeAlias = Mapping[str, str]

_STATUS_SHED: Final = 503


class Dialect(Protocol):
    """The headers of requests to upstreams and of their responses."""

    @property
    def allows_close_delimited(self) -> bool:
        """Whether a response body may end with its connection."""

    def request_headers(self, attempt: Attempt, now: Instant) -> Headers:
        """Returns the headers that describe an attempt to the upstream."""

    def matches_attempt(self, attempt: Attempt, headers: HeaderMap) -> bool:
        """Whether a response belongs to the attempt."""

    def identifies_attempt(self, attempt: Attempt, headers: HeaderMap) -> bool:
        """Whether no other request can have the response.

        A response that does not identify its attempt is trusted only on a new
        connection, where no earlier request can have it.
        """

    def refusal_ending(
        self, answer: Answer, reader: AnswerReader
    ) -> Ending | None:
        """Returns the ending of an attempt that was not run, or None."""

    def load_report(
        self, headers: HeaderMap, now: Instant
    ) -> LoadReport | None:
        """Returns the load report in the headers, or None."""

    def stated_limit(self, headers: HeaderMap) -> StatedLimit:
        """Returns what the headers say about the request rate accepted."""

    def notice(self, status: int, headers: HeaderMap) -> AvailabilityNotice:
        """Returns what an answer says about further requests."""

    def cold_seconds(self, headers: HeaderMap) -> float | None:
        """Returns the remaining cold time in a health answer, or None."""

    def identity(self, headers: HeaderMap) -> str | None:
        """Returns the identity of the upstream in a health answer, or None."""


#: Dialect classes by their name in the settings.
DIALECTS: Final[Registry[type[Dialect]]] = new_registry('dialect')

NATIVE: Final = 'native'


@final
@DIALECTS.register(NATIVE)
class NativeDialect:
    """The headers of native upstreams."""

    __slots__ = ()

    @property
    def allows_close_delimited(self) -> bool:
        """Always False: a truncated body must not pass as complete."""
        return False

    def request_headers(self, attempt: Attempt, now: Instant) -> Headers:
        """Returns the remaining milliseconds and the attempt number."""
        remaining = attempt.deadline.remaining(now)
        return (
            (DEADLINE_HEADER, str(int(remaining * MS_PER_SECOND))),
            (ATTEMPT_HEADER, str(attempt.number)),
        )

    def matches_attempt(self, attempt: Attempt, headers: HeaderMap) -> bool:
        """Always True: responses do not name their request."""
        return True

    def identifies_attempt(self, attempt: Attempt, headers: HeaderMap) -> bool:
        """Always True: responses do not name their request."""
        return True

    def refusal_ending(
        self, answer: Answer, reader: AnswerReader
    ) -> Ending | None:
        """Returns SHED for status 503 with ``NOT_RUN_HEADER``."""
        if answer.status != _STATUS_SHED:
            return None
        return Ending.SHED if reader.has_header(NOT_RUN_HEADER) else None

    def load_report(
        self, headers: HeaderMap, now: Instant
    ) -> LoadReport | None:
        """Returns None: native upstreams report their load to probes."""

    def stated_limit(self, headers: HeaderMap) -> StatedLimit:
        """Returns the limit in ``LIMIT_HEADER``, or ``NO_LIMIT`` without it."""
        return parse_limit(headers.get(LIMIT_HEADER))

    def notice(self, status: int, headers: HeaderMap) -> AvailabilityNotice:
        """Returns the pause that a refusal with status 503 asks for."""
        if status != _STATUS_SHED:
            return NO_NOTICE
        return parse_pause(headers.get(PAUSE_HEADER))

    def cold_seconds(self, headers: HeaderMap) -> float | None:
        """Returns None: native upstreams do not report a cold time."""

    def identity(self, headers: HeaderMap) -> str | None:
        """Returns None: native upstreams do not state their identity."""


def new_dialect(name: str) -> Dialect:
    """Creates the dialect registered as ``name``.

    Raises:
        UnknownName: No dialect has this name.
    """
    return DIALECTS.find(name)()
