"""Fair queues of calls that wait for an upstream."""

import math
from collections import deque
from collections.abc import Iterator, Mapping
from typing import Final, final

from chervilstep.progress import Progress
from chervilstep.refusals import Refusal
from chervilstep.services import Upstream
from chervilstep.snapshot import Priority
from chervilstep.types import Deadline, Instant

#: The virtual time that one grant costs, by priority. While calls of all
#: priorities wait, their grants are in the ratio 16:4:1.
GRANT_COSTS: Final[Mapping[Priority, float]] = {
    Priority.URGENT: 1 / 16,
    Priority.NORMAL: 1 / 4,
    Priority.BULK: 1,
}
#: Above this number of finish tags, those of idle keys are removed.
MAX_FINISH_TAGS: Final = 1024
#: The time constant of the mean interval between grants.
INTERVAL_DECAY_SECONDS: Final = 2
MIN_DECAY: Final = 1e-9
#: Fewer recent grants than this give no usable mean interval.
MIN_GRANTS: Final = 5


@final
class Waiter:
    """One call in a queue."""

    __slots__ = ('_enqueued_at', '_progress')

    def __init__(self, progress: Progress, enqueued_at: Instant) -> None:
        """Creates the waiter of a call that was queued at ``enqueued_at``."""
        self._progress = progress
        self._enqueued_at = enqueued_at

    @property
    def progress(self) -> Progress:
        """The progress of the call that waits."""
        return self._progress

    @property
    def enqueued_at(self) -> Instant:
        """When the call was added to the queue."""
        return self._enqueued_at

    @property
    def customer(self) -> str:
        """The name of the customer that the call counts against."""
        return self._progress.ticket.customer_name

    @property
    def priority(self) -> Priority:
        """The priority of the call."""
        return self._progress.ticket.priority

    @property
    def deadline(self) -> Deadline:
        """The deadline of the call."""
        return self._progress.ticket.deadline

    @property
    def is_retry(self) -> bool:
        """Whether an attempt of the call has failed already."""
        return bool(self._progress.tried_upstreams)

    @property
    def body_bytes(self) -> int:
        """The size of the body that is buffered while the call waits."""
        return len(self._progress.ticket.call.body)


@final
class QueueDecision:
    """The decision that ends the wait of a call: an upstream or a refusal."""

    __slots__ = ('_result', '_waiter')

    def __init__(self, waiter: Waiter, result: Upstream | Refusal) -> None:
        """Creates the decision on ``waiter``."""
        self._waiter = waiter
        self._result = result

    @property
    def waiter(self) -> Waiter:
        """The waiter that is granted an upstream or refused."""
        return self._waiter

    @property
    def result(self) -> Upstream | Refusal:
        """The granted upstream, or the refusal."""
        return self._result


@final
class VirtualTime:
    """The virtual clock of start-time fair queueing over some keys.

    Goyal, Vin and Cheng, "Start-time Fair Queueing" (SIGCOMM 1996): the key
    with the lowest start tag is served next, and a key that was idle starts
    at the current virtual time, so that it accumulates no credit.
    """

    __slots__ = ('_finish_tags', '_virtual_now')

    def __init__(self) -> None:
        """Creates a clock at the virtual time zero."""
        self._virtual_now = float(0)
        self._finish_tags: dict[str, float] = {}

    def start_tag(self, key: str) -> float:
        """The start tag of the next grant to ``key``."""
        return max(self._virtual_now, self._finish_tags.get(key, 0))

    def charge(self, key: str, cost: float) -> None:
        """Charges ``key`` for a grant that costs ``cost``."""
        self._virtual_now = self.start_tag(key)
        self._finish_tags[key] = self._virtual_now + cost
        if len(self._finish_tags) > MAX_FINISH_TAGS:
            self._remove_idle()

    def _remove_idle(self) -> None:
        self._finish_tags = {
            key: tag
            for key, tag in self._finish_tags.items()
            if tag > self._virtual_now
        }


@final
class GrantInterval:
    """The mean interval between the grants of a queue while it is not empty.

    The number of grants and the seconds in between are summed separately, and
    both sums decay exponentially: recent grants count most, and a burst of
    grants after a gap does not hide the gap.
    """

    __slots__ = ('_grants', '_last_at', '_seconds')

    def __init__(self) -> None:
        """Creates an interval without grants."""
        self._grants = float(0)
        self._seconds = float(0)
        self._last_at: Instant = 0

    def mean_seconds(self, now: Instant) -> float | None:
        """The mean seconds between two grants, or None while unknown."""
        if self._grants < MIN_GRANTS:
            return None
        gap = max(0, now - self._last_at)
        decay = _decay(gap)
        return (self._seconds * decay + gap) / (self._grants * decay)

    def restart(self, now: Instant) -> None:
        """Starts an interval at ``now``, until which the queue was empty."""
        decay = _decay(max(0, now - self._last_at))
        self._grants *= decay
        self._seconds *= decay
        self._last_at = now

    def record_grant(self, now: Instant) -> None:
        """Records a grant at ``now``."""
        gap = max(0, now - self._last_at)
        self._grants = self._grants * _decay(gap) + 1
        self._seconds = self._seconds * _decay(gap) + gap
        self._last_at = now


@final
class PriorityLevel:
    """The waiters of one priority, with a flow for each customer."""

    __slots__ = ('_flows', '_grant_intervals', '_size', '_virtual_time')

    def __init__(self) -> None:
        """Creates a level without waiters."""
        self._flows: dict[str, deque[Waiter]] = {}
        self._grant_intervals: dict[str, GrantInterval] = {}
        self._virtual_time = VirtualTime()
        self._size = 0

    def __len__(self) -> int:
        """The number of waiters."""
        return self._size

    @property
    def flows(self) -> Mapping[str, deque[Waiter]]:
        """The waiters by customer; a flow is removed when it becomes empty."""
        return self._flows

    @property
    def grant_intervals(self) -> Mapping[str, GrantInterval]:
        """The mean interval between the grants of each flow, by customer."""
        return self._grant_intervals

    @property
    def virtual_time(self) -> VirtualTime:
        """The virtual time that orders the flows of the customers."""
        return self._virtual_time

    def add(self, waiter: Waiter) -> None:
        """Adds a waiter to the end of its flow; a retry goes to the front."""
        if waiter.customer not in self._flows:
            self._create_flow(waiter)
        flow = self._flows[waiter.customer]
        if waiter.is_retry:
            flow.appendleft(waiter)
        else:
            flow.append(waiter)
        self._size += 1

    def remove(self, waiter: Waiter) -> None:
        """Removes a waiter without charging its customer."""
        flow = self._flows[waiter.customer]
        flow.remove(waiter)
        self._size -= 1
        if not flow:
            self._flows.pop(waiter.customer)
            self._grant_intervals.pop(waiter.customer)

    def grant(self, waiter: Waiter, now: Instant) -> None:
        """Removes a waiter that gets an upstream, and charges the grant."""
        self._grant_intervals[waiter.customer].record_grant(now)
        self.remove(waiter)
        if not waiter.is_retry:
            self._virtual_time.charge(waiter.customer, 1)

    def _create_flow(self, waiter: Waiter) -> None:
        interval = GrantInterval()
        interval.restart(waiter.enqueued_at)
        self._grant_intervals[waiter.customer] = interval
        self._flows[waiter.customer] = deque()


@final
class ServiceQueue:
    """The calls that wait for one service."""

    __slots__ = (
        '_grant_interval',
        '_levels',
        '_retry_count',
        '_size',
        '_virtual_time',
    )

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._levels = {priority: PriorityLevel() for priority in Priority}
        self._virtual_time = VirtualTime()
        self._grant_interval = GrantInterval()
        self._size = 0
        self._retry_count = 0

    def __len__(self) -> int:
        """The number of waiters."""
        return self._size

    def __iter__(self) -> Iterator[Waiter]:
        """Iterates over the waiters in no particular order."""
        for level in self._levels.values():
            for flow in level.flows.values():
                yield from flow

    @property
    def has_first_attempts(self) -> bool:
        """Whether any waiter is a first attempt, which may use any upstream."""
        return self._size > self._retry_count

    @property
    def levels(self) -> Mapping[Priority, PriorityLevel]:
        """The waiters by priority."""
        return self._levels

    @property
    def virtual_time(self) -> VirtualTime:
        """The virtual time that orders the priorities."""
        return self._virtual_time

    @property
    def grant_interval(self) -> GrantInterval:
        """The mean interval between the grants of the queue."""
        return self._grant_interval

    def add(self, waiter: Waiter) -> None:
        """Adds a waiter at its priority."""
        if not self._size:
            self._grant_interval.restart(waiter.enqueued_at)
        self._levels[waiter.priority].add(waiter)
        self._size += 1
        self._retry_count += waiter.is_retry

    def remove(self, waiter: Waiter) -> None:
        """Removes a waiter without charging its customer."""
        self._levels[waiter.priority].remove(waiter)
        self._size -= 1
        self._retry_count -= waiter.is_retry

    def grant(self, waiter: Waiter, now: Instant) -> None:
        """Removes a waiter that gets an upstream, and charges the grant."""
        self._grant_interval.record_grant(now)
        self._levels[waiter.priority].grant(waiter, now)
        self._size -= 1
        self._retry_count -= waiter.is_retry
        if not waiter.is_retry:
            priority = waiter.priority
            self._virtual_time.charge(priority.name, GRANT_COSTS[priority])


@final
class QueueTable:
    """The queues of all services."""

    __slots__ = ('_body_bytes', '_by_service')

    def __init__(self) -> None:
        """Creates an empty table."""
        self._by_service: dict[str, ServiceQueue] = {}
        self._body_bytes = 0

    @property
    def by_service(self) -> Mapping[str, ServiceQueue]:
        """The queues by the name of the service."""
        return self._by_service

    @property
    def body_bytes(self) -> int:
        """The total size of the bodies of all waiters."""
        return self._body_bytes

    def queue(self, service: str) -> ServiceQueue:
        """Returns the queue of ``service``, created on first use."""
        found = self._by_service.get(service)
        if found is None:
            found = ServiceQueue()
            self._by_service[service] = found
        return found

    def add(self, service: str, waiter: Waiter) -> None:
        """Adds a waiter to the queue of a service."""
        self.queue(service).add(waiter)
        self._body_bytes += waiter.body_bytes

    def remove(self, service: str, waiter: Waiter) -> None:
        """Removes a waiter from the queue of a service."""
        self.queue(service).remove(waiter)
        self._body_bytes -= waiter.body_bytes

    def grant(self, service: str, waiter: Waiter, now: Instant) -> None:
        """Removes a waiter that gets an upstream."""
        self.queue(service).grant(waiter, now)
        self._body_bytes -= waiter.body_bytes

    def retain(self, services: frozenset[str]) -> None:
        """Removes the empty queues of services that are not in ``services``."""
        for name in tuple(self._by_service):
            if name not in services and not len(self._by_service[name]):
                self._by_service.pop(name)


def _decay(seconds: float) -> float:
    # Callers divide by the decay, which must not underflow to zero.
    return max(MIN_DECAY, math.exp(-seconds / INTERVAL_DECAY_SECONDS))
