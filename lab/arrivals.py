"""What is sent when, and what came of it."""

from typing import TypeAlias, final

from lab.caller import Meeting, Request

#: One record as a row of JSON.
Row: TypeAlias = list[str | float | int | bool]


@final
class Arrival:
    """One request that a caller means to send at a point of a turn."""

    __slots__ = ('_at', '_caller', '_is_idempotent', '_request', '_route')

    def __init__(
        self,
        at: float,
        caller: int,
        request: Request,
        *,
        route: str,
        is_idempotent: bool,
    ) -> None:
        """Creates an arrival ``at`` seconds after the start of the turn."""
        self._at = at
        self._caller = caller
        self._request = request
        self._route = route
        self._is_idempotent = is_idempotent

    @property
    def at(self) -> float:
        """The intended time, in seconds after the start of the turn."""
        return self._at

    @property
    def caller(self) -> int:
        """Which of the customer's callers sends it."""
        return self._caller

    @property
    def request(self) -> Request:
        """What is sent."""
        return self._request

    @property
    def route(self) -> str:
        """The name of the route."""
        return self._route

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run more than once."""
        return self._is_idempotent


@final
class Record:
    """What one request met, and when."""

    __slots__ = (
        '_at',
        '_customer',
        '_is_idempotent',
        '_lateness',
        '_latency',
        '_meeting',
        '_request_id',
        '_route',
    )

    def __init__(
        self,
        request_id: str,
        customer: str,
        route: str,
        *,
        is_idempotent: bool,
        at: float,
        lateness: float,
        latency: float,
        meeting: Meeting,
    ) -> None:
        """Creates a record; ``latency`` counts from the intended time."""
        self._request_id = request_id
        self._customer = customer
        self._route = route
        self._is_idempotent = is_idempotent
        self._at = at
        self._lateness = lateness
        self._latency = latency
        self._meeting = meeting

    @property
    def request_id(self) -> str:
        """The id by which its runs are counted."""
        return self._request_id

    @property
    def customer(self) -> str:
        """Whose request it was."""
        return self._customer

    @property
    def route(self) -> str:
        """The name of the route."""
        return self._route

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run more than once."""
        return self._is_idempotent

    @property
    def at(self) -> float:
        """The intended time, in seconds after the start of the turn."""
        return self._at

    @property
    def lateness(self) -> float:
        """How much later than intended the lab sent it, in seconds."""
        return self._lateness

    @property
    def latency(self) -> float:
        """Seconds from the intended time to the end."""
        return self._latency

    @property
    def meeting(self) -> Meeting:
        """What it met."""
        return self._meeting

    @property
    def is_answered(self) -> bool:
        """Whether an upstream answered that it was done."""
        return self._meeting.status == 200 and not self._meeting.reason


def row_of(record: Record) -> Row:
    """A record as a row of JSON."""
    meeting = record.meeting
    return [
        record.request_id,
        record.customer,
        record.route,
        record.is_idempotent,
        record.at,
        record.lateness,
        record.latency,
        meeting.status,
        meeting.reason,
        meeting.verdict,
        meeting.upstream,
    ]


def new_record(row: Row) -> Record:
    """Creates a record from its row."""
    meeting = Meeting(
        int(row[7]),
        reason=str(row[8]),
        verdict=str(row[9]),
        upstream=str(row[10]),
    )
    return Record(
        str(row[0]),
        str(row[1]),
        str(row[2]),
        is_idempotent=bool(row[3]),
        at=float(row[4]),
        lateness=float(row[5]),
        latency=float(row[6]),
        meeting=meeting,
    )
