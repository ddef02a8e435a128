"""How much work each upstream may get from all instances together."""

from collections.abc import Mapping
from typing import Final, final

from chervilstep.types import Deadline, Instant

#: The level of an upstream that is warm: it takes work from every instance.
WARM: Final = 1000
#: The level of an upstream that nothing is known of.
COLD: Final = 1
#: How long a level is believed without an answer or a word from a peer.
BELIEF_SECONDS: Final = 120
ALREADY: Final = Deadline(float('-inf'))


@final
class Warmth:
    """What an instance believes of the warmth of one upstream.

    A cold upstream has as many slots open as its ``level`` says, each for one
    instance of the fleet. The ``epoch`` grows whenever the upstream is found
    cold; in one epoch the level only grows, so two beliefs can be merged.
    """

    __slots__ = (
        '_believed_until',
        '_closed_until',
        '_ejections',
        '_epoch',
        '_good',
        '_level',
        '_since',
        '_step_at',
    )

    def __init__(
        self,
        epoch: int = 0,
        level: int = COLD,
        closed_until: Deadline = ALREADY,
        believed_until: Deadline = ALREADY,
        ejections: int = 0,
        since: Instant = 0,
    ) -> None:
        """Creates a belief that holds until ``believed_until``."""
        self._since = since
        self._epoch = epoch
        self._level = level
        self._closed_until = closed_until
        self._believed_until = believed_until
        self._ejections = ejections
        self._good = 0
        self._step_at = ALREADY

    @property
    def epoch(self) -> int:
        """How often the upstream was found cold."""
        return self._epoch

    @property
    def since(self) -> Instant:
        """When the epoch began here; older attempts say nothing of it."""
        return self._since

    @property
    def closed_until(self) -> Deadline:
        """Until when the upstream gets no work at all."""
        return self._closed_until

    @property
    def ejections(self) -> int:
        """Ejections in a row; each one lasts longer."""
        return self._ejections

    @property
    def good(self) -> int:
        """Answers of normal latency since the last change of the level."""
        return self._good

    @property
    def is_known(self) -> bool:
        """Whether anything was ever learnt about the upstream."""
        return self._believed_until is not ALREADY

    def is_believed(self, now: Instant) -> bool:
        """Whether the belief is recent enough to act on."""
        return not self._believed_until.has_passed(now)

    def level(self, now: Instant) -> int:
        """The slots that are open, or ``WARM``."""
        if self._believed_until.has_passed(now):
            return COLD
        return self._level

    def takes_all(self, now: Instant) -> bool:
        """Whether the upstream is warm, so that every instance may send."""
        if self._level < WARM or self._believed_until.has_passed(now):
            return False
        return self._closed_until.has_passed(now)

    def is_closed(self, now: Instant) -> bool:
        """Whether the upstream gets no work at the moment."""
        return not self._closed_until.has_passed(now)

    def may_step(self, now: Instant) -> bool:
        """Whether the level was kept long enough."""
        return self._step_at.has_passed(now)

    def count_good(self, now: Instant) -> None:
        """Counts an answer of normal latency and renews the belief."""
        if self._believed_until.has_passed(now):
            self._level = COLD
        self._good += 1
        self._believed_until = Deadline(now + BELIEF_SECONDS)

    def pause(self, until: Deadline) -> None:
        """Sends nothing more before ``until``."""
        self._good = 0
        self._closed_until = until

    def step_up(self, level: int, step_at: Deadline) -> None:
        """Opens more slots, and no more still before ``step_at``."""
        self._level = level
        self._good = 0
        self._step_at = step_at
        if level == WARM:
            self._ejections = 0

    def presume_warm(self, now: Instant) -> None:
        """Opens every slot of an upstream that nobody knows anything of."""
        self._level = WARM
        self._since = now
        self._believed_until = Deadline(now + BELIEF_SECONDS)

    def cool(self, closed_until: Deadline, now: Instant) -> None:
        """Starts a new epoch at the lowest level."""
        self._epoch += 1
        self._since = now
        self._level = COLD
        self._good = 0
        self._closed_until = closed_until
        self._believed_until = Deadline(now + BELIEF_SECONDS)

    def eject(self, closed_until: Deadline, now: Instant) -> None:
        """Cools the upstream and counts an ejection."""
        self._ejections += 1
        self.cool(closed_until, now)


@final
class WarmthTable:
    """The warmth of all upstreams, and what peers must be told of it."""

    __slots__ = (
        '_asked_until',
        '_changed',
        '_out_of_service',
        '_records',
        '_spent_until',
    )

    def __init__(self) -> None:
        """Starts knowing nothing, which counts as cold."""
        self._records: dict[str, Warmth] = {}
        self._changed: dict[str, None] = {}
        self._asked_until: dict[str, Deadline] = {}
        self._out_of_service: frozenset[str] = frozenset()
        self._spent_until: Instant = 0

    @property
    def records(self) -> Mapping[str, Warmth]:
        """The beliefs by the upstream's name."""
        return self._records

    @property
    def changed(self) -> tuple[str, ...]:
        """Upstreams of which peers have to be told, the oldest first."""
        return tuple(self._changed)

    @property
    def out_of_service(self) -> frozenset[str]:
        """Upstreams that were seen withdrawn or leaving."""
        return self._out_of_service

    @property
    def asked(self) -> tuple[str, ...]:
        """The services for which a peer was asked."""
        return tuple(self._asked_until)

    def was_asked(self, service: str, now: Instant) -> bool:
        """Whether a peer was asked for ``service`` a short time ago."""
        until = self._asked_until.get(service)
        return until is not None and not until.has_passed(now)

    def was_ever_asked(self, service: str) -> bool:
        """Whether a peer was ever asked for ``service``."""
        return service in self._asked_until

    def record(self, upstream: str) -> Warmth:
        """The belief about ``upstream``, created on first use."""
        found = self._records.get(upstream)
        if found is None:
            found = Warmth()
            self._records[upstream] = found
        return found

    def put(self, upstream: str, warmth: Warmth) -> None:
        """Replaces the belief about ``upstream``."""
        self._records[upstream] = warmth

    def tell(self, upstream: str) -> None:
        """Notes that peers have to be told of ``upstream``."""
        self._changed.pop(upstream, None)
        self._changed[upstream] = None

    def told(self, upstream: str) -> None:
        """Notes that peers were told of ``upstream``."""
        self._changed.pop(upstream, None)

    def ask(self, service: str, until: Deadline) -> None:
        """Notes that a peer was asked for the upstreams of ``service``."""
        self._asked_until[service] = until

    def may_spend(self, burst_seconds: float, now: Instant) -> bool:
        """Whether the budget of news allows more (GCRA, ITU-T I.371)."""
        return self._spent_until - now < burst_seconds

    def spend(self, seconds: float, now: Instant) -> None:
        """Takes what the budget gains in ``seconds``."""
        self._spent_until = max(self._spent_until, now) + seconds

    def take_out(self, upstreams: frozenset[str]) -> None:
        """Replaces the upstreams that are out of service."""
        self._out_of_service = upstreams

    def keep(self, names: frozenset[str]) -> None:
        """Forgets the upstreams that are not in ``names``."""
        for name in tuple(self._records):
            if name not in names:
                self._records.pop(name)
                self._changed.pop(name, None)
