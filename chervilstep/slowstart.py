"""Slow start: the limit on requests of all instances to an upstream."""

from collections.abc import Mapping
from typing import Final, final

from chervilstep.types import Deadline, Instant

#: The open slots of a warm upstream, to which every instance may send.
WARM_SLOTS: Final = 1000
#: The open slots of a cold upstream, or of one without a valid state.
COLD_SLOTS: Final = 1
#: How long a state is valid without an answer or an update from a peer.
STATE_TTL_SECONDS: Final = 120
EXPIRED: Final = Deadline(float('-inf'))


@final
class SlowStart:
    """The slow start state of one upstream.

    A cold upstream has ``open_slots`` slots, each of them assigned to one
    instance of the fleet. The ``epoch`` grows whenever the upstream is found
    cold. Within an epoch the number of open slots only grows, so the newer of
    two states is the one with the greater pair of epoch and open slots.
    """

    __slots__ = (
        '_valid_until',
        '_closed_until',
        '_ejections',
        '_epoch',
        '_good_answers',
        '_open_slots',
        '_epoch_started_at',
        '_next_step_at',
    )

    def __init__(
        self,
        epoch: int = 0,
        open_slots: int = COLD_SLOTS,
        closed_until: Deadline = EXPIRED,
        valid_until: Deadline = EXPIRED,
        ejections: int = 0,
        epoch_started_at: Instant = 0,
    ) -> None:
        """Creates a state that is valid until ``valid_until``."""
        self._epoch_started_at = epoch_started_at
        self._epoch = epoch
        self._open_slots = open_slots
        self._closed_until = closed_until
        self._valid_until = valid_until
        self._ejections = ejections
        self._good_answers = 0
        self._next_step_at = EXPIRED

    @property
    def epoch(self) -> int:
        """The number of times that the upstream was found cold."""
        return self._epoch

    @property
    def epoch_started_at(self) -> Instant:
        """When this instance entered the epoch.

        Attempts that started earlier are no evidence about the epoch.
        """
        return self._epoch_started_at

    @property
    def closed_until(self) -> Deadline:
        """The time until which no requests are sent to the upstream."""
        return self._closed_until

    @property
    def ejections(self) -> int:
        """The number of consecutive ejections; each one lasts longer."""
        return self._ejections

    @property
    def good_answers(self) -> int:
        """The answers of normal latency since ``open_slots`` last changed."""
        return self._good_answers

    @property
    def is_known(self) -> bool:
        """Whether an answer or a peer has ever set the state."""
        return self._valid_until is not EXPIRED

    def is_valid(self, now: Instant) -> bool:
        """Whether the state is recent enough to act on."""
        return not self._valid_until.has_passed(now)

    def open_slots(self, now: Instant) -> int:
        """The number of open slots; ``WARM_SLOTS`` stands for all."""
        if self._valid_until.has_passed(now):
            return COLD_SLOTS
        return self._open_slots

    def is_warm(self, now: Instant) -> bool:
        """Whether every instance may send to the upstream."""
        if self._open_slots < WARM_SLOTS or self._valid_until.has_passed(now):
            return False
        return self._closed_until.has_passed(now)

    def is_closed(self, now: Instant) -> bool:
        """Whether no requests are sent to the upstream at ``now``."""
        return not self._closed_until.has_passed(now)

    def may_open_slot(self, now: Instant) -> bool:
        """Whether enough time has passed since a slot was last opened."""
        return self._next_step_at.has_passed(now)

    def record_good_answer(self, now: Instant) -> None:
        """Counts an answer of normal latency and renews the state."""
        if self._valid_until.has_passed(now):
            self._open_slots = COLD_SLOTS
        self._good_answers += 1
        self._valid_until = Deadline(now + STATE_TTL_SECONDS)

    def close(self, closed_until: Deadline) -> None:
        """Closes the upstream until ``closed_until``, in the same epoch."""
        self._good_answers = 0
        self._closed_until = closed_until

    def raise_open_slots(self, open_slots: int, next_step_at: Deadline) -> None:
        """Opens more slots; the next step waits until ``next_step_at``."""
        self._open_slots = open_slots
        self._good_answers = 0
        self._next_step_at = next_step_at
        if open_slots == WARM_SLOTS:
            self._ejections = 0

    def assume_warm(self, now: Instant) -> None:
        """Opens every slot of an upstream for which no instance has a state."""
        self._open_slots = WARM_SLOTS
        self._epoch_started_at = now
        self._valid_until = Deadline(now + STATE_TTL_SECONDS)

    def restart(self, closed_until: Deadline, now: Instant) -> None:
        """Starts a new epoch with ``COLD_SLOTS`` open slots."""
        self._epoch += 1
        self._epoch_started_at = now
        self._open_slots = COLD_SLOTS
        self._good_answers = 0
        self._closed_until = closed_until
        self._valid_until = Deadline(now + STATE_TTL_SECONDS)

    def eject(self, closed_until: Deadline, now: Instant) -> None:
        """Restarts the slow start and counts an ejection."""
        self._ejections += 1
        self.restart(closed_until, now)


@final
class SlowStartTable:
    """The slow start states of all upstreams, and the updates to be sent."""

    __slots__ = (
        '_pending_until',
        '_unsent_upstreams',
        '_out_of_service',
        '_by_upstream',
        '_arrival_time',
    )

    def __init__(self) -> None:
        """Creates an empty table; every upstream counts as cold."""
        self._by_upstream: dict[str, SlowStart] = {}
        self._unsent_upstreams: dict[str, None] = {}
        self._pending_until: dict[str, Deadline] = {}
        self._out_of_service: frozenset[str] = frozenset()
        self._arrival_time: Instant = 0

    @property
    def by_upstream(self) -> Mapping[str, SlowStart]:
        """The states by the upstream's name."""
        return self._by_upstream

    @property
    def unsent_upstreams(self) -> tuple[str, ...]:
        """The upstreams whose state has to be sent, the oldest change first."""
        return tuple(self._unsent_upstreams)

    @property
    def out_of_service(self) -> frozenset[str]:
        """The upstreams that were withdrawn or leaving at the last review."""
        return self._out_of_service

    @property
    def queried_services(self) -> tuple[str, ...]:
        """The services for which a peer was queried."""
        return tuple(self._pending_until)

    def is_query_pending(self, service: str, now: Instant) -> bool:
        """Whether a query for ``service`` may still be answered in time."""
        pending_until = self._pending_until.get(service)
        return pending_until is not None and not pending_until.has_passed(now)

    def was_queried(self, service: str) -> bool:
        """Whether a peer was ever queried for ``service``."""
        return service in self._pending_until

    def get_or_create(self, upstream: str) -> SlowStart:
        """Returns the state of ``upstream``, created on first use."""
        found = self._by_upstream.get(upstream)
        if found is None:
            found = SlowStart()
            self._by_upstream[upstream] = found
        return found

    def put(self, upstream: str, record: SlowStart) -> None:
        """Replaces the state of ``upstream``."""
        self._by_upstream[upstream] = record

    def mark_unsent(self, upstream: str) -> None:
        """Schedules an update about ``upstream``, behind the older ones."""
        self._unsent_upstreams.pop(upstream, None)
        self._unsent_upstreams[upstream] = None

    def mark_sent(self, upstream: str) -> None:
        """Removes ``upstream`` from the updates to be sent."""
        self._unsent_upstreams.pop(upstream, None)

    def record_query(self, service: str, pending_until: Deadline) -> None:
        """Records a query that is pending until ``pending_until``."""
        self._pending_until[service] = pending_until

    def is_within_budget(self, burst_seconds: float, now: Instant) -> bool:
        """Whether the budget of updates allows another message.

        The budget follows the generic cell rate algorithm (GCRA, ITU-T
        I.371); ``_arrival_time`` is its theoretical arrival time.
        """
        return self._arrival_time - now < burst_seconds

    def charge_budget(self, seconds: float, now: Instant) -> None:
        """Spends the budget that accrues in ``seconds``."""
        self._arrival_time = max(self._arrival_time, now) + seconds

    def replace_out_of_service(self, upstreams: frozenset[str]) -> None:
        """Replaces the upstreams that are out of service."""
        self._out_of_service = upstreams

    def retain(self, names: frozenset[str]) -> None:
        """Removes the upstreams that are not in ``names``."""
        for name in tuple(self._by_upstream):
            if name not in names:
                self._by_upstream.pop(name)
                self._unsent_upstreams.pop(name, None)
