"""Data types of a request, from its arrival to the reply."""

import enum
from collections.abc import Iterable
from typing import TypeAlias, final

from chervilstep.memory import Holding
from chervilstep.refusals import Refusal
from chervilstep.reports import (
    NO_NOTICE,
    AvailabilityNotice,
    LoadReport,
    StatedLimit,
)
from chervilstep.services import Upstream
from chervilstep.snapshot import Customer, Priority, Route
from chervilstep.statuses import MAX_STATUS, MIN_FINAL_STATUS
from chervilstep.types import Deadline, Instant, Verdict

#: Header names and values, in order, as received.
Headers: TypeAlias = tuple[tuple[str, str], ...]
#: The bytes of a body; long bodies are read in place.
Body: TypeAlias = bytes | bytearray


@final
class Call:
    """A decoded request of a caller, without its key."""

    __slots__ = (
        '_attempt',
        '_body',
        '_deadline',
        '_headers',
        '_host',
        '_key_digest',
        '_method',
        '_path',
        '_request_id',
        '_target',
    )

    def __init__(
        self,
        method: str,
        target: str,
        headers: Iterable[tuple[str, str]],
        body: Body,
        *,
        key_digest: str | None,
        deadline: Deadline | None,
        attempt: int = 1,
        host: str = '',
        request_id: str = '',
    ) -> None:
        """Creates a call; ``target`` is the path with its query string."""
        self._request_id = request_id
        self._host = host
        self._attempt = attempt
        self._method = method
        self._target = target
        self._path = target.partition('?')[0]
        self._headers = tuple(headers)
        self._body = body
        self._key_digest = key_digest
        self._deadline = deadline

    @property
    def method(self) -> str:
        """The HTTP method in upper case."""
        return self._method

    @property
    def target(self) -> str:
        """The path with its query string."""
        return self._target

    @property
    def path(self) -> str:
        """The path without its query string."""
        return self._path

    @property
    def headers(self) -> Headers:
        """The end-to-end headers, without the key."""
        return self._headers

    @property
    def body(self) -> Body:
        """The complete body."""
        return self._body

    @property
    def request_id(self) -> str:
        """The caller's request ID for logs, or an empty string."""
        return self._request_id

    @property
    def host(self) -> str:
        """The host that selects the route; empty for routes of any host."""
        return self._host

    @property
    def key_digest(self) -> str | None:
        """The hexadecimal SHA-256 digest of the key, or None."""
        return self._key_digest

    @property
    def attempt(self) -> int:
        """The attempt number that the caller sent; 1 for the first."""
        return self._attempt

    @property
    def deadline(self) -> Deadline | None:
        """The deadline set by the caller, or None."""
        return self._deadline


@final
class Ticket:
    """An admitted call with its route, customer and deadline."""

    __slots__ = ('_arrived_at', '_call', '_customer', '_deadline', '_route')

    def __init__(
        self,
        call: Call,
        route: Route,
        customer: Customer | None,
        deadline: Deadline,
        arrived_at: Instant,
    ) -> None:
        """Creates a ticket; ``customer`` is None for open routes."""
        self._call = call
        self._route = route
        self._customer = customer
        self._deadline = deadline
        self._arrived_at = arrived_at

    @property
    def call(self) -> Call:
        """The caller's request."""
        return self._call

    @property
    def route(self) -> Route:
        """The route that serves the call."""
        return self._route

    @property
    def customer(self) -> Customer | None:
        """The customer that the key belongs to; None for open routes."""
        return self._customer

    @property
    def customer_name(self) -> str:
        """The customer's name, or an empty string for open routes."""
        return self._customer.name if self._customer else ''

    @property
    def deadline(self) -> Deadline:
        """The deadline for replying to the caller."""
        return self._deadline

    @property
    def arrived_at(self) -> Instant:
        """When the call was received."""
        return self._arrived_at

    @property
    def priority(self) -> Priority:
        """The priority in the queues; the customer's overrides the route's."""
        customer = self._customer
        if customer is None or customer.priority is None:
            return self._route.priority
        return customer.priority

    @property
    def is_idempotent(self) -> bool:
        """Whether the call may safely run more than once."""
        return self._route.is_idempotent(self._call.method)


@final
class Attempt:
    """One attempt to run a ticket at one upstream."""

    __slots__ = ('_deadline', '_number', '_started_at', '_ticket', '_upstream')

    def __init__(
        self,
        ticket: Ticket,
        upstream: Upstream,
        number: int,
        started_at: Instant,
        deadline: Deadline,
    ) -> None:
        """Creates an attempt; attempt numbers start at 1."""
        self._ticket = ticket
        self._upstream = upstream
        self._number = number
        self._started_at = started_at
        self._deadline = deadline

    @property
    def ticket(self) -> Ticket:
        """The ticket that the attempt belongs to."""
        return self._ticket

    @property
    def upstream(self) -> Upstream:
        """The upstream that the attempt is sent to."""
        return self._upstream

    @property
    def number(self) -> int:
        """The attempt number, which continues from that of the call."""
        return self._number

    @property
    def started_at(self) -> Instant:
        """When the attempt was started, before its request is sent."""
        return self._started_at

    @property
    def deadline(self) -> Deadline:
        """When the attempt times out."""
        return self._deadline


@final
class Ending(enum.Enum):
    """How an attempt ended."""

    ANSWERED = 'answered'
    SHED = 'shed'
    CONNECT_FAILED = 'connect-failed'
    LOST_BEFORE_WRITE = 'lost-before-write'
    MOVED = 'moved'
    LOST = 'lost'
    TIMED_OUT = 'timed-out'
    BAD_ANSWER = 'bad-answer'
    TOO_LARGE = 'too-large'
    CANCELLED = 'cancelled'


@final
class Answer:
    """A complete answer of an upstream."""

    __slots__ = ('_body', '_headers', '_holding', '_reason', '_status')

    def __init__(
        self,
        status: int,
        reason: str,
        headers: Iterable[tuple[str, str]],
        body: Body,
        holding: Holding | None = None,
    ) -> None:
        """Creates an answer with its end-to-end headers.

        ``holding`` has the bytes of the body, if these are in the budget.

        Raises:
            ValueError: The status is not that of a final answer. Front ends
                write it as it is.
        """
        if not MIN_FINAL_STATUS <= status <= MAX_STATUS:
            raise ValueError(f'status {status} is not that of a final answer')
        self._holding = holding
        self._status = status
        self._reason = reason
        self._headers = tuple(headers)
        self._body = body

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._status

    @property
    def reason(self) -> str:
        """The HTTP reason phrase."""
        return self._reason

    @property
    def holding(self) -> Holding | None:
        """The bytes of the body in the budget."""
        return self._holding

    @property
    def headers(self) -> Headers:
        """The end-to-end headers."""
        return self._headers

    @property
    def body(self) -> Body:
        """The complete body."""
        return self._body


@final
class Outcome:
    """The result of an attempt: its ending, verdict and answer."""

    __slots__ = (
        '_answer',
        '_ended_at',
        '_ending',
        '_fault',
        '_notice',
        '_report',
        '_stated_limit',
        '_verdict',
    )

    def __init__(
        self,
        ending: Ending,
        verdict: Verdict,
        ended_at: Instant,
        answer: Answer | None = None,
        report: LoadReport | None = None,
        stated_limit: StatedLimit | None = None,
        notice: AvailabilityNotice = NO_NOTICE,
        fault: str | None = None,
    ) -> None:
        """Creates an outcome; ``answer`` is None without an answer."""
        self._fault = fault
        self._notice = notice
        self._report = report
        self._stated_limit = stated_limit
        self._ending = ending
        self._verdict = verdict
        self._ended_at = ended_at
        self._answer = answer

    @property
    def ending(self) -> Ending:
        """How the attempt ended."""
        return self._ending

    @property
    def verdict(self) -> Verdict:
        """Whether the request may have run."""
        return self._verdict

    @property
    def ended_at(self) -> Instant:
        """When the attempt ended."""
        return self._ended_at

    @property
    def report(self) -> LoadReport | None:
        """The load that the upstream reported, or None."""
        return self._report

    @property
    def stated_limit(self) -> StatedLimit | None:
        """What the upstream said about its limit; None without an answer."""
        return self._stated_limit

    @property
    def notice(self) -> AvailabilityNotice:
        """What the upstream said about further requests."""
        return self._notice

    @property
    def fault(self) -> str | None:
        """What was wrong with a broken answer, or None."""
        return self._fault

    @property
    def answer(self) -> Answer | None:
        """The complete answer, or None."""
        return self._answer


#: The reply to a caller: an answer of an upstream or a refusal.
Reply: TypeAlias = Answer | Refusal
