"""The limits that upstreams have stated on the requests per second."""

from collections.abc import Mapping
from typing import Final, final

from chervilstep.types import Deadline, Instant, new_deadline

#: At most one unreadable limit is logged in this time.
UNREADABLE_LOG_PERIOD_SECONDS: Final = 1.0


@final
class LimitEvidence:
    """What is known about the limit of an upstream, from one of its answers.

    The upstream made its statement between ``asked_at`` and ``heard_at``, so
    the order of two statements is known only if these times do not overlap.
    """

    __slots__ = ('_asked_at', '_calls_per_second', '_heard_at', '_source')

    def __init__(
        self,
        calls_per_second: float | None,
        asked_at: Instant,
        heard_at: Instant,
        source: str,
    ) -> None:
        """Creates the evidence that ``source`` heard from the upstream."""
        self._calls_per_second = calls_per_second
        self._asked_at = asked_at
        self._heard_at = heard_at
        self._source = source

    @property
    def calls_per_second(self) -> float | None:
        """The requests per second of all instances; None without a limit."""
        return self._calls_per_second

    @property
    def asked_at(self) -> Instant:
        """When the request was sent whose answer made the statement."""
        return self._asked_at

    @property
    def heard_at(self) -> Instant:
        """When the answer arrived."""
        return self._heard_at

    @property
    def source(self) -> str:
        """The name of the instance to which the upstream said it."""
        return self._source


@final
class Throttle:
    """The limit of one upstream and this instance's part of it."""

    __slots__ = ('_evidence',)

    def __init__(self, evidence: LimitEvidence) -> None:
        """Creates a throttle from the first statement of an upstream."""
        self._evidence = evidence

    @property
    def evidence(self) -> LimitEvidence:
        """The statement that holds."""
        return self._evidence

    @property
    def calls_per_second(self) -> float | None:
        """The limit over all instances; None after it has ended."""
        return self._evidence.calls_per_second

    def replace_evidence(self, evidence: LimitEvidence) -> None:
        """Replaces the statement that holds."""
        self._evidence = evidence


@final
class ThrottleTable:
    """The throttles of all upstreams that have stated a limit."""

    __slots__ = ('_by_upstream', '_next_unreadable_log')

    def __init__(self) -> None:
        """Creates an empty table."""
        self._by_upstream: dict[str, Throttle] = {}
        self._next_unreadable_log = Deadline(float('-inf'))

    @property
    def by_upstream(self) -> Mapping[str, Throttle]:
        """The throttles by the name of the upstream.

        A throttle is kept after its limit has ended, so that an older report
        of a peer does not bring the limit back.
        """
        return self._by_upstream

    def put(self, upstream: str, throttle: Throttle) -> None:
        """Adds the throttle of an upstream."""
        self._by_upstream[upstream] = throttle

    def may_log_unreadable(self, now: Instant) -> bool:
        """Whether another unreadable limit may be logged."""
        return self._next_unreadable_log.has_passed(now)

    def record_unreadable_log(self, now: Instant) -> None:
        """Starts the period in which no other unreadable limit is logged."""
        self._next_unreadable_log = new_deadline(
            now, UNREADABLE_LOG_PERIOD_SECONDS
        )
