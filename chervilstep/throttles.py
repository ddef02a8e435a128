"""The limits that upstreams have stated on the requests per second."""

from collections.abc import Mapping
from typing import Final, final

from chervilstep.types import Deadline, Instant, new_deadline

#: At most one line in this time is about limits, pauses and health answers that
#: cannot be read.
UNREADABLE_LOG_PERIOD_SECONDS: Final = 1.0


@final
class LimitEvidence:
    """What is known about the limit of an upstream, from one of its answers.

    The upstream made its statement between ``requested_at`` and ``received_at``, so
    the order of two statements is known only if these times do not overlap.
    """

    __slots__ = (
        '_requested_at',
        '_calls_per_second',
        '_received_at',
        '_source',
    )

    def __init__(
        self,
        calls_per_second: float | None,
        requested_at: Instant,
        received_at: Instant,
        source: str,
    ) -> None:
        """Creates the evidence that ``source`` received from the upstream."""
        self._calls_per_second = calls_per_second
        self._requested_at = requested_at
        self._received_at = received_at
        self._source = source

    @property
    def calls_per_second(self) -> float | None:
        """The requests per second of all instances; None without a limit."""
        return self._calls_per_second

    @property
    def requested_at(self) -> Instant:
        """When the request was sent whose answer made the statement."""
        return self._requested_at

    @property
    def received_at(self) -> Instant:
        """When the answer arrived."""
        return self._received_at

    @property
    def source(self) -> str:
        """The name of the instance that received the answer."""
        return self._source


@final
class LimitShare:
    """The part of a limit that one instance may use."""

    __slots__ = ('_calls_per_second', '_capacity', '_holders')

    def __init__(
        self,
        calls_per_second: float,
        capacity: float,
        holders: tuple[str, ...] = (),
    ) -> None:
        """Creates a share; ``capacity`` is the most tokens that accumulate."""
        self._calls_per_second = calls_per_second
        self._capacity = capacity
        self._holders = holders

    @property
    def calls_per_second(self) -> float:
        """The tokens per second; 0 for an instance without a part."""
        return self._calls_per_second

    @property
    def capacity(self) -> float:
        """The depth of the bucket in tokens."""
        return self._capacity

    @property
    def holders(self) -> tuple[str, ...]:
        """The names of the instances that have a part."""
        return self._holders


NO_SHARE: Final = LimitShare(0, 0)
#: How long a token that a peer has lent may be used.
LOAN_SECONDS: Final = 0.5
#: How long a peer may take to lend a token, before another one is asked.
LOAN_TIMEOUT_SECONDS: Final = 0.1
EXPIRED: Final = Deadline(float('-inf'))


@final
class Throttle:
    """The limit of one upstream and this instance's bucket of tokens.

    Each attempt at the upstream takes one token.
    """

    __slots__ = (
        '_evidence',
        '_loan_deadline',
        '_loan_timeout',
        '_share',
        '_tokens',
        '_updated_at',
    )

    def __init__(self, evidence: LimitEvidence, now: Instant) -> None:
        """Creates a throttle with an empty bucket and without a share."""
        self._evidence = evidence
        self._share = NO_SHARE
        self._tokens = float(0)
        self._updated_at = now
        self._loan_deadline = EXPIRED
        self._loan_timeout = EXPIRED

    @property
    def evidence(self) -> LimitEvidence:
        """The statement that holds."""
        return self._evidence

    @property
    def calls_per_second(self) -> float | None:
        """The limit over all instances; None after it has ended."""
        return self._evidence.calls_per_second

    @property
    def share(self) -> LimitShare:
        """The part of the limit that this instance may use."""
        return self._share

    def tokens(self, now: Instant) -> float:
        """Returns the tokens that this instance may use at ``now``."""
        return self.own_tokens(now) + self.has_loan(now)

    def has_loan(self, now: Instant) -> bool:
        """Whether there is a token that a peer has lent."""
        return not self._loan_deadline.has_passed(now)

    def is_loan_pending(self, now: Instant) -> bool:
        """Whether a peer was asked for a token and may still lend it."""
        return not self._loan_timeout.has_passed(now)

    def own_tokens(self, now: Instant) -> float:
        """Returns the tokens of this instance's share at ``now``."""
        elapsed = max(0, now - self._updated_at)
        refilled = self._tokens + elapsed * self._share.calls_per_second
        return min(self._share.capacity, refilled)

    def replace_evidence(self, evidence: LimitEvidence) -> None:
        """Replaces the statement that holds."""
        self._evidence = evidence

    def replace_share(self, share: LimitShare, now: Instant) -> None:
        """Replaces the share; tokens that do not fit in its bucket are lost."""
        self._tokens = min(share.capacity, self.own_tokens(now))
        self._share = share
        self._updated_at = now

    def spend_token(self, now: Instant) -> None:
        """Takes one token for an attempt, preferably a lent one."""
        if self.has_loan(now):
            self._loan_deadline = EXPIRED
        else:
            self.spend_own_token(now)

    def spend_own_token(self, now: Instant) -> None:
        """Takes one token of this instance's share."""
        self._tokens = self.own_tokens(now) - 1
        self._updated_at = now

    def request_loan(self, now: Instant) -> None:
        """Starts to wait for a token from a peer."""
        self._loan_timeout = new_deadline(now, LOAN_TIMEOUT_SECONDS)

    def receive_loan(self, now: Instant) -> None:
        """Stores the token that a peer has lent."""
        self._loan_timeout = EXPIRED
        self._loan_deadline = new_deadline(now, LOAN_SECONDS)


@final
class ThrottleTable:
    """The throttles of all upstreams that have stated a limit."""

    __slots__ = (
        '_by_upstream',
        '_changed_upstreams',
        '_next_unreadable_log',
        '_sharing_instances',
    )

    def __init__(self) -> None:
        """Creates an empty table."""
        self._by_upstream: dict[str, Throttle] = {}
        self._changed_upstreams: dict[str, None] = {}
        self._next_unreadable_log = Deadline(float('-inf'))
        self._sharing_instances: frozenset[str] = frozenset()

    @property
    def by_upstream(self) -> Mapping[str, Throttle]:
        """The throttles by the name of the upstream.

        A throttle is kept after its limit has ended, so that an older report
        of a peer does not bring the limit back.
        """
        return self._by_upstream

    @property
    def changed_upstreams(self) -> tuple[str, ...]:
        """The upstreams whose statements have to be sent to peers."""
        return tuple(self._changed_upstreams)

    @property
    def sharing_instances(self) -> frozenset[str]:
        """The instances among which the limits are shared at the moment."""
        return self._sharing_instances

    def put(self, upstream: str, throttle: Throttle) -> None:
        """Adds the throttle of an upstream."""
        self._by_upstream[upstream] = throttle

    def mark_changed(self, upstream: str) -> None:
        """Schedules the statement of an upstream for the next update."""
        self._changed_upstreams[upstream] = None

    def clear_changed(self) -> None:
        """Removes the scheduled statements after they have been sent."""
        self._changed_upstreams.clear()

    def replace_sharing_instances(self, instances: frozenset[str]) -> None:
        """Replaces the instances among which the limits are shared."""
        self._sharing_instances = instances

    def remove(self, upstream: str) -> None:
        """Removes the throttle of an upstream that is gone."""
        self._by_upstream.pop(upstream, None)
        self._changed_upstreams.pop(upstream, None)

    def may_log_unreadable(self, now: Instant) -> bool:
        """Whether another unreadable limit, pause or answer may be logged."""
        return self._next_unreadable_log.has_passed(now)

    def record_unreadable_log(self, now: Instant) -> None:
        """Starts the period in which nothing else unreadable is logged."""
        self._next_unreadable_log = new_deadline(
            now, UNREADABLE_LOG_PERIOD_SECONDS
        )
