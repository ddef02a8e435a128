"""The requests of a turn with their scheduled times, and their results."""

from typing import TypeAlias, final

from lab.caller import CallOutcome, Request

#: A record as a JSON array.
Row: TypeAlias = list[str | float | int | bool]


@final
class Arrival:
    """One request that a caller is scheduled to send during a turn."""

    __slots__ = (
        '_caller',
        '_is_idempotent',
        '_request',
        '_route',
        '_scheduled_at',
    )

    def __init__(
        self,
        scheduled_at: float,
        caller: int,
        request: Request,
        *,
        route: str,
        is_idempotent: bool,
    ) -> None:
        """Creates an arrival; ``scheduled_at`` counts from the turn's start."""
        self._scheduled_at = scheduled_at
        self._caller = caller
        self._request = request
        self._route = route
        self._is_idempotent = is_idempotent

    @property
    def scheduled_at(self) -> float:
        """The scheduled time, in seconds after the start of the turn."""
        return self._scheduled_at

    @property
    def caller(self) -> int:
        """The number of the customer's caller that sends the request."""
        return self._caller

    @property
    def request(self) -> Request:
        """The request to send."""
        return self._request

    @property
    def route(self) -> str:
        """The name of the route."""
        return self._route

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self._is_idempotent


@final
class Record:
    """The outcome of one request and its times."""

    __slots__ = (
        '_customer',
        '_is_idempotent',
        '_latency',
        '_lateness',
        '_outcome',
        '_request_id',
        '_route',
        '_scheduled_at',
    )

    def __init__(
        self,
        request_id: str,
        customer: str,
        route: str,
        *,
        is_idempotent: bool,
        scheduled_at: float,
        lateness: float,
        latency: float,
        outcome: CallOutcome,
    ) -> None:
        """Creates a record; ``latency`` counts from the scheduled time."""
        self._request_id = request_id
        self._customer = customer
        self._route = route
        self._is_idempotent = is_idempotent
        self._scheduled_at = scheduled_at
        self._lateness = lateness
        self._latency = latency
        self._outcome = outcome

    @property
    def request_id(self) -> str:
        """The id by which the runs of the request are counted."""
        return self._request_id

    @property
    def customer(self) -> str:
        """The name of the customer that sent the request."""
        return self._customer

    @property
    def route(self) -> str:
        """The name of the route."""
        return self._route

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self._is_idempotent

    @property
    def scheduled_at(self) -> float:
        """The scheduled time, in seconds after the start of the turn."""
        return self._scheduled_at

    @property
    def lateness(self) -> float:
        """The seconds between the scheduled time and the actual sending."""
        return self._lateness

    @property
    def latency(self) -> float:
        """The seconds from the scheduled time to the end of the request."""
        return self._latency

    @property
    def outcome(self) -> CallOutcome:
        """The outcome of the request."""
        return self._outcome

    @property
    def is_answered(self) -> bool:
        """Whether an upstream answered 200."""
        return self._outcome.status == 200 and not self._outcome.reason


def row_from_record(record: Record) -> Row:
    """Returns the row of a record."""
    outcome = record.outcome
    return [
        record.request_id,
        record.customer,
        record.route,
        record.is_idempotent,
        record.scheduled_at,
        record.lateness,
        record.latency,
        outcome.status,
        outcome.reason,
        outcome.verdict,
        outcome.upstream,
    ]


def record_from_row(row: Row) -> Record:
    """Returns the record of a row."""
    outcome = CallOutcome(
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
        scheduled_at=float(row[4]),
        lateness=float(row[5]),
        latency=float(row[6]),
        outcome=outcome,
    )
