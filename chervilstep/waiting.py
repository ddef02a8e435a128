"""The calls that wait for an upstream, in fair order."""

import math
from collections import deque
from collections.abc import Iterator, Mapping
from typing import Final, final

from chervilstep.progress import Progress
from chervilstep.refusals import Refusal
from chervilstep.services import Upstream
from chervilstep.snapshot import Priority
from chervilstep.types import Deadline, Instant

#: Turns of each class while all of them wait: 16 to 4 to 1.
TURN_COSTS: Final[Mapping[Priority, float]] = {
    Priority.URGENT: 1 / 16,
    Priority.NORMAL: 1 / 4,
    Priority.BULK: 1,
}
#: Tags of keys that have not waited recently are forgotten above this.
MAX_TAGS: Final = 1024
#: The pace of a queue is a mean over about this time.
PACE_SECONDS: Final = 2
MIN_DECAY: Final = 1e-9
#: Fewer recent grants than this tell nothing of the pace.
MIN_GRANTS: Final = 5


@final
class Waiter:
    """One call in a queue."""

    __slots__ = ('_progress', '_since')

    def __init__(self, progress: Progress, since: Instant) -> None:
        """Creates the waiter of a call that waits since ``since``."""
        self._progress = progress
        self._since = since

    @property
    def progress(self) -> Progress:
        """The call that waits."""
        return self._progress

    @property
    def since(self) -> Instant:
        """When it started to wait."""
        return self._since

    @property
    def customer(self) -> str:
        """The customer that it is counted against."""
        return self._progress.ticket.customer_name

    @property
    def priority(self) -> Priority:
        """The class that its route puts it in."""
        return self._progress.ticket.priority

    @property
    def deadline(self) -> Deadline:
        """When it is given up."""
        return self._progress.ticket.deadline

    @property
    def is_retry(self) -> bool:
        """Whether an attempt of the call has failed already."""
        return bool(self._progress.tried_upstreams)

    @property
    def body_bytes(self) -> int:
        """The size of the body that is held while it waits."""
        return len(self._progress.ticket.call.body)


@final
class Turn:
    """A waiter with the upstream that it gets, or why it gets none."""

    __slots__ = ('_upstream', '_waiter')

    def __init__(self, waiter: Waiter, upstream: Upstream | Refusal) -> None:
        """Creates the turn of ``waiter``."""
        self._waiter = waiter
        self._upstream = upstream

    @property
    def waiter(self) -> Waiter:
        """Whose turn it is."""
        return self._waiter

    @property
    def upstream(self) -> Upstream | Refusal:
        """The upstream, or why there is none."""
        return self._upstream


@final
class VirtualTime:
    """The virtual clock of start-time fair queueing over some keys.

    Goyal, Vin and Cheng, "Start-time Fair Queueing" (SIGCOMM 1996): the key
    with the lowest start tag is served next, and a key that was idle starts
    at the current virtual time, so that it saves up no turns.
    """

    __slots__ = ('_tags', '_virtual_now')

    def __init__(self) -> None:
        """Starts at the virtual time zero."""
        self._virtual_now = float(0)
        self._tags: dict[str, float] = {}

    def tag(self, key: str) -> float:
        """The start tag of the next turn of ``key``."""
        return max(self._virtual_now, self._tags.get(key, 0))

    def charge(self, key: str, cost: float) -> None:
        """Gives ``key`` a turn of ``cost``."""
        self._virtual_now = self.tag(key)
        self._tags[key] = self._virtual_now + cost
        if len(self._tags) > MAX_TAGS:
            self._forget_idle()

    def _forget_idle(self) -> None:
        self._tags = {
            key: tag
            for key, tag in self._tags.items()
            if tag > self._virtual_now
        }


@final
class Pace:
    """How fast a queue moves: grants, and the time that calls waited for them.

    Both sums decay, so that the recent past counts most, and a burst of
    grants after a gap counts as what it is.
    """

    __slots__ = ('_grants', '_last_at', '_seconds')

    def __init__(self) -> None:
        """Starts without an observation."""
        self._grants = float(0)
        self._seconds = float(0)
        self._last_at: Instant = 0

    def interval(self, now: Instant) -> float | None:
        """The mean seconds between two grants, or None while unknown."""
        if self._grants < MIN_GRANTS:
            return None
        gap = max(0, now - self._last_at)
        kept = _decay(gap)
        return (self._seconds * kept + gap) / (self._grants * kept)

    def restart(self, now: Instant) -> None:
        """Starts the next interval: the queue was empty until ``now``."""
        kept = _decay(max(0, now - self._last_at))
        self._grants *= kept
        self._seconds *= kept
        self._last_at = now

    def note(self, now: Instant) -> None:
        """Takes in a grant."""
        gap = max(0, now - self._last_at)
        self._grants = self._grants * _decay(gap) + 1
        self._seconds = self._seconds * _decay(gap) + gap
        self._last_at = now


@final
class Lane:
    """The waiters of one class, a line for each customer."""

    __slots__ = ('_lines', '_paces', '_size', '_turns')

    def __init__(self) -> None:
        """Starts empty."""
        self._lines: dict[str, deque[Waiter]] = {}
        self._paces: dict[str, Pace] = {}
        self._turns = VirtualTime()
        self._size = 0

    def __len__(self) -> int:
        """How many calls wait."""
        return self._size

    @property
    def lines(self) -> Mapping[str, deque[Waiter]]:
        """The waiters by customer; no line is empty."""
        return self._lines

    @property
    def paces(self) -> Mapping[str, Pace]:
        """How fast each line moves, by customer."""
        return self._paces

    @property
    def turns(self) -> VirtualTime:
        """The turns of the customers."""
        return self._turns

    def add(self, waiter: Waiter) -> None:
        """Adds a waiter; one that was tried before goes first."""
        if waiter.customer not in self._lines:
            self._open(waiter)
        line = self._lines[waiter.customer]
        if waiter.is_retry:
            line.appendleft(waiter)
        else:
            line.append(waiter)
        self._size += 1

    def remove(self, waiter: Waiter) -> None:
        """Takes out a waiter."""
        line = self._lines[waiter.customer]
        line.remove(waiter)
        self._size -= 1
        if not line:
            self._lines.pop(waiter.customer)
            self._paces.pop(waiter.customer)

    def grant(self, waiter: Waiter, now: Instant) -> None:
        """Takes out a waiter that got its turn, and charges the turn."""
        self._paces[waiter.customer].note(now)
        self.remove(waiter)
        if not waiter.is_retry:
            self._turns.charge(waiter.customer, 1)

    def _open(self, waiter: Waiter) -> None:
        pace = Pace()
        pace.restart(waiter.since)
        self._paces[waiter.customer] = pace
        self._lines[waiter.customer] = deque()


@final
class ServiceQueue:
    """The calls that wait for one service."""

    __slots__ = ('_lanes', '_pace', '_retries', '_size', '_turns')

    def __init__(self) -> None:
        """Starts empty."""
        self._lanes = {priority: Lane() for priority in Priority}
        self._turns = VirtualTime()
        self._pace = Pace()
        self._size = 0
        self._retries = 0

    def __len__(self) -> int:
        """How many calls wait."""
        return self._size

    def __iter__(self) -> Iterator[Waiter]:
        """Walks over the waiters in no particular order."""
        for lane in self._lanes.values():
            for line in lane.lines.values():
                yield from line

    @property
    def has_first_tries(self) -> bool:
        """Whether calls wait that any upstream could serve."""
        return self._size > self._retries

    @property
    def lanes(self) -> Mapping[Priority, Lane]:
        """The waiters by class."""
        return self._lanes

    @property
    def turns(self) -> VirtualTime:
        """The turns of the classes."""
        return self._turns

    @property
    def pace(self) -> Pace:
        """How fast the queue moves."""
        return self._pace

    def add(self, waiter: Waiter) -> None:
        """Adds a waiter."""
        if not self._size:
            self._pace.restart(waiter.since)
        self._lanes[waiter.priority].add(waiter)
        self._size += 1
        self._retries += waiter.is_retry

    def remove(self, waiter: Waiter) -> None:
        """Takes out a waiter."""
        self._lanes[waiter.priority].remove(waiter)
        self._size -= 1
        self._retries -= waiter.is_retry

    def grant(self, waiter: Waiter, now: Instant) -> None:
        """Takes out a waiter that got its turn, and charges the turn."""
        self._pace.note(now)
        self._lanes[waiter.priority].grant(waiter, now)
        self._size -= 1
        self._retries -= waiter.is_retry
        if not waiter.is_retry:
            priority = waiter.priority
            self._turns.charge(priority.name, TURN_COSTS[priority])


@final
class Waiting:
    """The queues of all services."""

    __slots__ = ('_body_bytes', '_queues')

    def __init__(self) -> None:
        """Starts without a queue."""
        self._queues: dict[str, ServiceQueue] = {}
        self._body_bytes = 0

    @property
    def queues(self) -> Mapping[str, ServiceQueue]:
        """The queues by service."""
        return self._queues

    @property
    def body_bytes(self) -> int:
        """The size of all bodies that are held."""
        return self._body_bytes

    def queue(self, service: str) -> ServiceQueue:
        """The queue of ``service``, created on first use."""
        found = self._queues.get(service)
        if found is None:
            found = ServiceQueue()
            self._queues[service] = found
        return found

    def add(self, service: str, waiter: Waiter) -> None:
        """Adds a waiter to a queue."""
        self.queue(service).add(waiter)
        self._body_bytes += waiter.body_bytes

    def remove(self, service: str, waiter: Waiter) -> None:
        """Takes a waiter out of a queue."""
        self.queue(service).remove(waiter)
        self._body_bytes -= waiter.body_bytes

    def grant(self, service: str, waiter: Waiter, now: Instant) -> None:
        """Takes out a waiter that got its turn."""
        self.queue(service).grant(waiter, now)
        self._body_bytes -= waiter.body_bytes

    def forget(self, services: frozenset[str]) -> None:
        """Forgets the empty queues of services that are not in ``services``."""
        for name in tuple(self._queues):
            if name not in services and not len(self._queues[name]):
                self._queues.pop(name)


def _decay(seconds: float) -> float:
    # Not quite zero after any pause, since it divides.
    return max(MIN_DECAY, math.exp(-seconds / PACE_SECONDS))
