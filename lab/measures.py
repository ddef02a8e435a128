"""What a policy met over its turns: the measures of the brief."""

from collections.abc import Mapping
from typing import Any, final


@final
class Tail:
    """The latency of answered requests, in milliseconds."""

    __slots__ = ('_count', '_maximum', '_p50', '_p99', '_p999')

    def __init__(
        self, count: int, p50: float, p99: float, p999: float, maximum: float
    ) -> None:
        """Creates a tail of ``count`` answers."""
        self._count = count
        self._p50 = p50
        self._p99 = p99
        self._p999 = p999
        self._maximum = maximum

    @property
    def count(self) -> int:
        """How many answers there were."""
        return self._count

    @property
    def p50(self) -> float:
        """The median."""
        return self._p50

    @property
    def p99(self) -> float:
        """What 99 in 100 stayed under."""
        return self._p99

    @property
    def p999(self) -> float:
        """What 999 in 1000 stayed under."""
        return self._p999

    @property
    def maximum(self) -> float:
        """The slowest answer."""
        return self._maximum


@final
class Checks:
    """What must be zero, counted by request id."""

    __slots__ = (
        '_answered_not_run',
        '_falsely_not_run',
        '_keys_seen',
        '_ran_twice',
        '_wrong_answers',
    )

    def __init__(
        self,
        *,
        ran_twice: int,
        wrong_answers: int,
        falsely_not_run: int,
        answered_not_run: int,
        keys_seen: int,
    ) -> None:
        """Creates the counts."""
        self._ran_twice = ran_twice
        self._wrong_answers = wrong_answers
        self._falsely_not_run = falsely_not_run
        self._answered_not_run = answered_not_run
        self._keys_seen = keys_seen

    @property
    def ran_twice(self) -> int:
        """Non-idempotent requests that ran more than once."""
        return self._ran_twice

    @property
    def wrong_answers(self) -> int:
        """Answers that were not the caller's own."""
        return self._wrong_answers

    @property
    def falsely_not_run(self) -> int:
        """Refusals that said "not run" of a request that ran."""
        return self._falsely_not_run

    @property
    def answered_not_run(self) -> int:
        """Answers of a request that never ran."""
        return self._answered_not_run

    @property
    def keys_seen(self) -> int:
        """Keys that reached an upstream."""
        return self._keys_seen

    @property
    def are_clean(self) -> bool:
        """Whether every count is zero."""
        return not any(getattr(self, name) for name in self.__slots__)


@final
class CustomerFare:
    """How one customer fared."""

    __slots__ = (
        '_answered_share',
        '_overshoot',
        '_sent',
        '_tail',
        '_wrongly_refused',
    )

    def __init__(
        self,
        *,
        sent: int,
        answered_share: float,
        wrongly_refused: int,
        overshoot: float,
        tail: Tail,
    ) -> None:
        """Creates the fare of a customer that sent ``sent`` requests."""
        self._sent = sent
        self._answered_share = answered_share
        self._wrongly_refused = wrongly_refused
        self._overshoot = overshoot
        self._tail = tail

    @property
    def sent(self) -> int:
        """How many requests it sent."""
        return self._sent

    @property
    def answered_share(self) -> float:
        """The part of those within its rate that was answered."""
        return self._answered_share

    @property
    def wrongly_refused(self) -> int:
        """Refusals of requests within its rate."""
        return self._wrongly_refused

    @property
    def overshoot(self) -> float:
        """Requests let through beyond rate and burst, by send times."""
        return self._overshoot

    @property
    def tail(self) -> Tail:
        """The latency of its answers."""
        return self._tail


@final
class Measures:
    """All measures of one policy under one fault."""

    __slots__ = (
        '_checks',
        '_cost',
        '_customers',
        '_endings',
        '_lateness',
        '_sent',
        '_tail',
        '_windows',
        '_worst',
        '_wrongful',
    )

    def __init__(
        self,
        *,
        sent: int,
        tail: Tail,
        lateness: Tail,
        endings: Mapping[str, int],
        wrongful: Mapping[str, int],
        customers: Mapping[str, CustomerFare],
        worst: str,
        windows: Mapping[str, Any],
        checks: Checks,
        cost: Mapping[str, float],
    ) -> None:
        """Creates the measures."""
        self._sent = sent
        self._tail = tail
        self._lateness = lateness
        self._endings = dict(endings)
        self._wrongful = dict(wrongful)
        self._customers = dict(customers)
        self._worst = worst
        self._windows = dict(windows)
        self._checks = checks
        self._cost = dict(cost)

    @property
    def sent(self) -> int:
        """How many requests were sent."""
        return self._sent

    @property
    def tail(self) -> Tail:
        """The latency of all answers, from the intended send times."""
        return self._tail

    @property
    def lateness(self) -> Tail:
        """How late the lab itself was."""
        return self._lateness

    @property
    def endings(self) -> Mapping[str, int]:
        """How many requests met what."""
        return self._endings

    @property
    def wrongful(self) -> Mapping[str, int]:
        """Refusals of requests within the rate, by reason."""
        return self._wrongful

    @property
    def customers(self) -> Mapping[str, CustomerFare]:
        """Each customer."""
        return self._customers

    @property
    def worst(self) -> str:
        """The worst-served customer: fewest answered, then slowest."""
        return self._worst

    @property
    def windows(self) -> Mapping[str, Any]:
        """What happened between the marks of the turns."""
        return self._windows

    @property
    def checks(self) -> Checks:
        """What must be zero."""
        return self._checks

    @property
    def cost(self) -> Mapping[str, float]:
        """The cost of measuring and of the instances."""
        return self._cost


def data_of(measured: Any) -> Any:
    """A measure as plain data, for JSON and for templates."""
    slots = getattr(type(measured), '__slots__', None)
    if slots is not None:
        names = [name.lstrip('_') for name in slots]
        return {name: data_of(getattr(measured, name)) for name in names}
    if isinstance(measured, Mapping):
        return {name: data_of(part) for name, part in measured.items()}
    if isinstance(measured, list | tuple):
        return [data_of(part) for part in measured]
    return measured
