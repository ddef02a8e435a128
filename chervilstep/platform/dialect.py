"""The headers exchanged with the platform's servers."""

import re
from typing import Final, final

from chervilstep.adapters.answers import AnswerReader
from chervilstep.adapters.dialect import DIALECTS, HeaderMap
from chervilstep.calls import Answer, Attempt, Ending, Headers
from chervilstep.queries.headers import (
    PAUSE_HEADER,
    parse_limit,
    parse_milliseconds,
    parse_pause,
)
from chervilstep.reports import (
    NO_NOTICE,
    AvailabilityNotice,
    LoadReport,
    StatedLimit,
)
from chervilstep.types import MS_PER_SECOND, Instant

PLATFORM_DIALECT: Final = 'platform'

REQUEST_ID_HEADER: Final = 'X-Request-Id'
DEADLINE_HEADER: Final = 'X-Deadline-Ms'
#: The identity of the only server that may run the request.
EXPECTED_SERVER_HEADER: Final = 'X-Expect-Instance'
CUSTOMER_HEADER: Final = 'X-Tenant-Id'
NOT_RUN_HEADER: Final = 'X-Not-Executed'
LOAD_HEADER: Final = 'X-Server-Load'
#: The requests per second that the server accepts from all instances.
LIMIT_HEADER: Final = 'Server-Limit'
#: In all answers of a server that ends soon.
LEAVING_HEADER: Final = 'Server-Leaving'
LEAVING_VALUE: Final = '1'
#: The identity of the server that sends a health answer.
SERVER_IDENTITY_HEADER: Final = 'X-Instance-Id'
#: How long the server remains cold, in health answers.
COLD_MS_HEADER: Final = 'X-Cold-Start-Ms'

STATUS_UNAVAILABLE: Final = 503
#: Another server has the address; it did not run the request.
STATUS_MOVED: Final = 421
#: The statuses of a server that refuses a request: 400 without an ID, 429 and
#: 503 without room or time.
REFUSAL_STATUSES: Final = frozenset((400, 429, STATUS_UNAVAILABLE))
#: The fourth number of a load report when work takes as long as usual.
USUAL_SLOWDOWN_PERCENT: Final = 100
MIN_DEADLINE_MS: Final = 1


@final
@DIALECTS.register(PLATFORM_DIALECT)
class PlatformDialect:
    """Builds and parses the headers of the platform's servers."""

    __slots__ = ()

    @property
    def allows_close_delimited(self) -> bool:
        """Always True: servers may end a body with a close, not a reset."""
        return True

    def request_headers(self, attempt: Attempt, now: Instant) -> Headers:
        """Returns the remaining time, the expected server and the customer."""
        remaining_ms = int(attempt.deadline.remaining(now) * MS_PER_SECOND)
        headers = [
            (DEADLINE_HEADER, str(max(MIN_DEADLINE_MS, remaining_ms))),
            (EXPECTED_SERVER_HEADER, attempt.upstream.identity),
        ]
        if attempt.ticket.customer is not None:
            headers.append((CUSTOMER_HEADER, attempt.ticket.customer_name))
        return tuple(headers)

    def matches_attempt(self, attempt: Attempt, headers: HeaderMap) -> bool:
        """Whether the response has the ID of the request, or no ID."""
        echoed = headers.get(REQUEST_ID_HEADER)
        return echoed is None or echoed == attempt.ticket.call.request_id

    def identifies_attempt(self, attempt: Attempt, headers: HeaderMap) -> bool:
        """Whether the response has the ID of the request, if it has one."""
        echoed = headers.get(REQUEST_ID_HEADER, '')
        return echoed == attempt.ticket.call.request_id

    def refusal_ending(
        self, answer: Answer, reader: AnswerReader
    ) -> Ending | None:
        """Returns MOVED or SHED if the server did not run the attempt.

        Other statuses contradict the header, and a request that may run only
        once must not be repeated on the word of a contradiction.
        """
        if answer.status == STATUS_MOVED:
            return Ending.MOVED
        if answer.status not in REFUSAL_STATUSES:
            return None
        return Ending.SHED if reader.has_header(NOT_RUN_HEADER) else None

    def load_report(
        self, headers: HeaderMap, now: Instant
    ) -> LoadReport | None:
        """Returns the load in ``LOAD_HEADER``, or None without a valid one."""
        match = _LOAD_PATTERN.fullmatch(headers.get(LOAD_HEADER, ''))
        if match is None:
            # Reports are optional: without one, the averages of the other
            # servers are used.
            return None
        running, waiting, slots = (int(part) for part in match.groups()[:3])
        slowdown_percent = float(match.group('speed') or USUAL_SLOWDOWN_PERCENT)
        slowdown = max(slowdown_percent / USUAL_SLOWDOWN_PERCENT, _MIN_SLOWDOWN)
        return LoadReport(running, waiting, slots, slowdown, now)

    def stated_limit(self, headers: HeaderMap) -> StatedLimit:
        """Returns the limit in ``LIMIT_HEADER``, or ``NO_LIMIT`` without it."""
        return parse_limit(headers.get(LIMIT_HEADER))

    def notice(self, status: int, headers: HeaderMap) -> AvailabilityNotice:
        """Returns whether the server leaves, and the pause of a status 503."""
        pause = NO_NOTICE
        if status == STATUS_UNAVAILABLE:
            pause = parse_pause(headers.get(PAUSE_HEADER))
        if headers.get(LEAVING_HEADER) != LEAVING_VALUE:
            return pause
        return AvailabilityNotice(
            is_leaving=True,
            pause_seconds=pause.pause_seconds,
            unreadable_text=pause.unreadable_text,
        )

    def cold_seconds(self, headers: HeaderMap) -> float | None:
        """Returns the remaining cold time in a health answer, or None."""
        remaining_ms = parse_milliseconds(headers.get(COLD_MS_HEADER))
        return None if remaining_ms is None else remaining_ms / MS_PER_SECOND

    def identity(self, headers: HeaderMap) -> str | None:
        """Returns the identity of the server in a health answer, or None."""
        return headers.get(SERVER_IDENTITY_HEADER)


_LOAD_PATTERN: Final = re.compile(
    r'(\d{1,6}),(\d{1,6}),(\d{1,6})(?:,(?P<speed>\d{1,6}(?:\.\d+)?))?'
)
#: Lower slowdowns in reports are raised to this value.
_MIN_SLOWDOWN: Final = 0.1
