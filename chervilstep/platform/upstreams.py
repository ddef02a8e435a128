"""The headers that the platform's servers understand."""

import re
from typing import Final, final

from chervilstep.adapters.answering import AnswerReader
from chervilstep.adapters.dialect import DIALECTS, HeaderMap
from chervilstep.calls import Answer, Attempt, Ending, Headers
from chervilstep.queries.headers import parse_milliseconds
from chervilstep.reports import LoadReport
from chervilstep.types import MS_PER_SECOND, Instant

PLATFORM_DIALECT: Final = 'platform'

REQUEST_ID: Final = 'X-Request-Id'
DEADLINE: Final = 'X-Deadline-Ms'
#: Only the server of this identity runs the request.
IDENTITY: Final = 'X-Expect-Instance'
CUSTOMER: Final = 'X-Tenant-Id'
NOT_RUN: Final = 'X-Not-Executed'
LOAD: Final = 'X-Server-Load'
#: Which server gives a health answer.
ANSWERED_BY: Final = 'X-Instance-Id'
#: How long the server stays cold, in health answers.
COLD_MS: Final = 'X-Cold-Start-Ms'

#: Another server has the address; it has not run the request.
STATUS_MOVED: Final = 421
#: The fourth figure of a load when work takes as long as usual.
USUAL_SPEED: Final = 100
MIN_DEADLINE_MS: Final = 1


@final
@DIALECTS.register(PLATFORM_DIALECT)
class PlatformDialect:
    """Speaks to the platform's servers."""

    __slots__ = ()

    @property
    def takes_unframed(self) -> bool:
        """Servers may end a body by closing; a reset is no such end."""
        return True

    def request_headers(self, attempt: Attempt, now: Instant) -> Headers:
        """The time left, the expected server, and the customer."""
        remaining_ms = int(attempt.deadline.remaining(now) * MS_PER_SECOND)
        headers = [
            (DEADLINE, str(max(MIN_DEADLINE_MS, remaining_ms))),
            (IDENTITY, attempt.upstream.identity),
        ]
        if attempt.ticket.customer is not None:
            headers.append((CUSTOMER, attempt.ticket.customer_name))
        return tuple(headers)

    def belongs(self, attempt: Attempt, headers: HeaderMap) -> bool:
        """Whether the answer names the request, which it should."""
        echoed = headers.get(REQUEST_ID)
        return echoed is None or echoed == attempt.ticket.call.request_id

    def refusal(self, answer: Answer, reader: AnswerReader) -> Ending | None:
        """A server says so when it has not run the request."""
        if answer.status == STATUS_MOVED:
            return Ending.MOVED
        return Ending.SHED if reader.has_header(NOT_RUN) else None

    def report(self, headers: HeaderMap, now: Instant) -> LoadReport | None:
        """The running and waiting requests, the slots, and the speed."""
        found = _LOAD_PATTERN.fullmatch(headers.get(LOAD, ''))
        if found is None:
            # A report is a hint; without one the means of others count.
            return None
        running, waiting, slots = (int(part) for part in found.groups()[:3])
        speed = float(found.group('speed') or USUAL_SPEED)
        slowdown = max(speed / USUAL_SPEED, _FASTEST)
        return LoadReport(running, waiting, slots, slowdown, now)

    def cold_seconds(self, headers: HeaderMap) -> float | None:
        """What is left of the cold time, in a health answer."""
        left_ms = parse_milliseconds(headers.get(COLD_MS))
        return None if left_ms is None else left_ms / MS_PER_SECOND

    def identity(self, headers: HeaderMap) -> str | None:
        """The server that answered for its health."""
        return headers.get(ANSWERED_BY)


_LOAD_PATTERN: Final = re.compile(
    r'(\d{1,6}),(\d{1,6}),(\d{1,6})(?:,(?P<speed>\d{1,6}(?:\.\d+)?))?'
)
#: No report makes a server look faster than this.
_FASTEST: Final = 0.1
