"""The measures of a policy over its turns.

The names of the properties are the keys of ``result.json``.
"""

from collections.abc import Mapping
from typing import Any, final


@final
class LatencySummary:
    """The percentiles of a latency, in milliseconds."""

    __slots__ = ('_count', '_maximum', '_p50', '_p99', '_p999')

    def __init__(
        self, count: int, p50: float, p99: float, p999: float, maximum: float
    ) -> None:
        """Creates a summary of ``count`` durations."""
        self._count = count
        self._p50 = p50
        self._p99 = p99
        self._p999 = p999
        self._maximum = maximum

    @property
    def count(self) -> int:
        """The number of durations."""
        return self._count

    @property
    def p50(self) -> float:
        """The median."""
        return self._p50

    @property
    def p99(self) -> float:
        """The 99th percentile."""
        return self._p99

    @property
    def p999(self) -> float:
        """The 99.9th percentile."""
        return self._p999

    @property
    def maximum(self) -> float:
        """The longest duration."""
        return self._maximum


@final
class Checks:
    """Counts of violated guarantees, by request id; all must be zero."""

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
        """The non-idempotent requests that ran more than once."""
        return self._ran_twice

    @property
    def wrong_answers(self) -> int:
        """The answers that didn't match the caller's request."""
        return self._wrong_answers

    @property
    def falsely_not_run(self) -> int:
        """The refusals with the verdict "not-run" of requests that ran."""
        return self._falsely_not_run

    @property
    def answered_not_run(self) -> int:
        """The answered requests that never ran."""
        return self._answered_not_run

    @property
    def keys_seen(self) -> int:
        """The number of keys that reached an upstream."""
        return self._keys_seen

    @property
    def are_clean(self) -> bool:
        """Whether every count is zero."""
        return not any(getattr(self, name) for name in self.__slots__)


@final
class CustomerMeasures:
    """The measures of one customer."""

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
        tail: LatencySummary,
    ) -> None:
        """Creates the measures of a customer that sent ``sent`` requests."""
        self._sent = sent
        self._answered_share = answered_share
        self._wrongly_refused = wrongly_refused
        self._overshoot = overshoot
        self._tail = tail

    @property
    def sent(self) -> int:
        """The number of requests that the customer sent."""
        return self._sent

    @property
    def answered_share(self) -> float:
        """The ratio of answered requests to requests within the rate."""
        return self._answered_share

    @property
    def wrongly_refused(self) -> int:
        """The number of refusals of requests within the rate."""
        return self._wrongly_refused

    @property
    def overshoot(self) -> float:
        """The requests admitted beyond rate and burst, by send times."""
        return self._overshoot

    @property
    def tail(self) -> LatencySummary:
        """The latency of the customer's answers."""
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
        tail: LatencySummary,
        lateness: LatencySummary,
        endings: Mapping[str, int],
        wrongful: Mapping[str, int],
        customers: Mapping[str, CustomerMeasures],
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
        """The number of requests sent."""
        return self._sent

    @property
    def tail(self) -> LatencySummary:
        """The latency of all answers, from the scheduled send times."""
        return self._tail

    @property
    def lateness(self) -> LatencySummary:
        """The delays of the load generators behind the scheduled send times."""
        return self._lateness

    @property
    def endings(self) -> Mapping[str, int]:
        """The number of requests by outcome."""
        return self._endings

    @property
    def wrongful(self) -> Mapping[str, int]:
        """The refusals of requests within the rate, by reason."""
        return self._wrongful

    @property
    def customers(self) -> Mapping[str, CustomerMeasures]:
        """The measures of each customer by name."""
        return self._customers

    @property
    def worst(self) -> str:
        """The customer with the lowest answered share, then the highest p99."""
        return self._worst

    @property
    def windows(self) -> Mapping[str, Any]:
        """The latency and outcomes between the marks of each turn."""
        return self._windows

    @property
    def checks(self) -> Checks:
        """The counts of violated guarantees."""
        return self._checks

    @property
    def cost(self) -> Mapping[str, float]:
        """The mean cost of a turn: resources of instances, probes and calls."""
        return self._cost


def to_plain_data(measured: Any) -> Any:
    """Converts measures to dicts, lists and numbers for JSON."""
    slots = getattr(type(measured), '__slots__', None)
    if slots is not None:
        names = [name.lstrip('_') for name in slots]
        return {name: to_plain_data(getattr(measured, name)) for name in names}
    if isinstance(measured, Mapping):
        return {name: to_plain_data(entry) for name, entry in measured.items()}
    if isinstance(measured, list | tuple):
        return [to_plain_data(entry) for entry in measured]
    return measured
