"""Works out the measures of the brief from the records of turns."""

import collections
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final, final

from hdrh.histogram import HdrHistogram

from chervilstep.refusals import RATE_EXCEEDED
from lab.arrivals import Record
from lab.documents import Limit
from lab.measures import Checks, CustomerFare, Tail
from lab.queries.demands import ANYONE
from lab.stage import Mark

_MS: Final = 1000
_US: Final = 1_000_000
_LONGEST_US: Final = 60 * _US
_DIGITS: Final = 3
_WITHDRAWN: Final = ' withdrawn'
_REVOKED: Final = ' revoked'
_NOT_RUN: Final = 'not-run'
_ANSWERED: Final = 'answered'


@final
class TurnResult:
    """The records of one turn, and what was done during it."""

    __slots__ = ('_cost', '_marks', '_records')

    def __init__(
        self,
        records: Sequence[Record],
        marks: Sequence[Mark],
        cost: Mapping[str, float],
    ) -> None:
        """Creates the result of a turn."""
        self._records = tuple(records)
        self._marks = tuple(marks)
        self._cost = dict(cost)

    @property
    def records(self) -> tuple[Record, ...]:
        """What each request met."""
        return self._records

    @property
    def marks(self) -> tuple[Mark, ...]:
        """What was done."""
        return self._marks

    @property
    def cost(self) -> Mapping[str, float]:
        """What the turn cost."""
        return self._cost


def tail_of(seconds: Iterable[float]) -> Tail:
    """The percentiles of some durations."""
    histogram = HdrHistogram(1, _LONGEST_US, _DIGITS)
    for duration in seconds:
        histogram.record_value(max(1, int(duration * _US)))
    p50, p99, p999 = (
        histogram.get_value_at_percentile(percentile) * _MS / _US
        for percentile in (50, 99, 99.9)
    )
    maximum = histogram.get_max_value() * _MS / _US
    return Tail(histogram.get_total_count(), p50, p99, p999, maximum)


def latency_tail(records: Iterable[Record]) -> Tail:
    """The latency of the answered requests among ``records``."""
    return tail_of(record.latency for record in records if record.is_answered)


def ending_of(record: Record) -> str:
    """One word for what a request met."""
    if record.is_answered:
        return _ANSWERED
    return record.meeting.reason or f'status-{record.meeting.status}'


def endings_of(records: Iterable[Record]) -> dict[str, int]:
    """How many requests met what."""
    return dict(collections.Counter(ending_of(record) for record in records))


def within_rate(
    records: Sequence[Record], limits: Mapping[str, Limit]
) -> frozenset[str]:
    """The ids of the requests that one exact token bucket would let pass."""
    levels = {name: limit.burst for name, limit in limits.items()}
    updated = dict.fromkeys(limits, float(0))
    passed = set()
    for record in sorted(records, key=lambda sent: sent.at):
        name = record.customer
        if name == ANYONE:
            passed.add(record.request_id)
            continue
        limit = limits[name]
        gained = (record.at - updated[name]) * limit.rate
        updated[name] = record.at
        levels[name] = min(limit.burst, levels[name] + gained)
        if levels[name] >= 1:
            levels[name] -= 1
            passed.add(record.request_id)
    return frozenset(passed)


def overshoot_of(records: Sequence[Record], limit: Limit) -> float:
    """How far the requests let through went below an empty bucket.

    Counted by the times of sending, so that requests which arrived together
    after a delay may show as a request or two.
    """
    level = limit.burst
    updated = lowest = float(0)
    for record in sorted(records, key=lambda sent: sent.at + sent.lateness):
        if record.meeting.verdict == _NOT_RUN:
            continue
        sent_at = record.at + record.lateness
        gained = (sent_at - updated) * limit.rate
        level = min(limit.burst, level + gained) - 1
        updated = sent_at
        lowest = min(lowest, level)
    return -lowest


def shortfall_of(records: Sequence[Record], passed: frozenset[str]) -> int:
    """How many requests were kept back although the rate allowed as many.

    A customer that exceeds its rate has no claim to which of its requests
    pass, only to how many.
    """
    entitled = sum(record.request_id in passed for record in records)
    let_through = sum(
        record.meeting.reason != RATE_EXCEEDED.reason for record in records
    )
    return max(0, entitled - let_through)


def refusals_of(
    records: Sequence[Record], limit: Limit | None, passed: frozenset[str]
) -> collections.Counter[str]:
    """The wrongful refusals of one customer in one turn, by reason."""
    refused = collections.Counter(
        record.meeting.reason
        for record in records
        if record.request_id in passed and record.meeting.verdict
    )
    if limit and refused[RATE_EXCEEDED.reason]:
        refused[RATE_EXCEEDED.reason] = shortfall_of(records, passed)
    return +refused


def wrongful_of(
    results: Sequence[TurnResult],
    limits: Mapping[str, Limit],
    passed: frozenset[str],
) -> collections.Counter[str]:
    """The wrongful refusals over all customers and turns, by reason."""
    total: collections.Counter[str] = collections.Counter()
    for result in results:
        for name, own in _by_customer(result.records).items():
            total += refusals_of(own, limits.get(name), passed)
    return total


def fares_of(
    results: Sequence[TurnResult],
    limits: Mapping[str, Limit],
    passed: frozenset[str],
) -> dict[str, CustomerFare]:
    """How each customer fared; each turn starts with a full bucket."""
    turns: dict[str, list[list[Record]]] = collections.defaultdict(list)
    for result in results:
        for name, own in _by_customer(result.records).items():
            turns[name].append(own)
    return {
        name or 'anyone': _fare_of(own, limits.get(name), passed)
        for name, own in sorted(turns.items())
    }


def worst_of(fares: Mapping[str, CustomerFare]) -> str:
    """The customer of whose requests the fewest were answered in time."""
    return min(
        fares,
        key=lambda name: (
            round(fares[name].answered_share, 3),
            -fares[name].tail.p99,
        ),
    )


def checks_of(
    records: Sequence[Record], runs: Mapping[str, int], keys_seen: int
) -> Checks:
    """Compares what callers were told with what the upstreams counted."""
    return Checks(
        ran_twice=sum(
            not record.is_idempotent and runs.get(record.request_id, 0) > 1
            for record in records
        ),
        wrong_answers=sum(
            record.meeting.reason == 'wrong-answer' for record in records
        ),
        falsely_not_run=sum(
            record.meeting.verdict == _NOT_RUN
            and runs.get(record.request_id, 0) > 0
            for record in records
        ),
        answered_not_run=sum(
            record.is_answered and not runs.get(record.request_id)
            for record in records
        ),
        keys_seen=keys_seen,
    )


def windows_of(
    results: Sequence[TurnResult], zones: Mapping[str, str]
) -> dict[str, Any]:
    """Latency and endings between the marks of each turn.

    After a withdrawal or a revocation, ``last_work_after`` is the latest
    send time, in seconds after it, of a request that was nevertheless done.
    """
    windows: dict[str, Any] = {}
    for number, result in enumerate(results, 1):
        edges = [(0, 'start'), *((mark.at, mark.text) for mark in result.marks)]
        ends = [*(at for at, _ in edges[1:]), float('inf')]
        for (begin, text), end in zip(edges, ends, strict=True):
            inside = [
                record for record in result.records if begin <= record.at < end
            ]
            window: dict[str, Any] = {
                'begin': round(begin, 2),
                'tail': latency_tail(inside),
                'endings': endings_of(inside),
            }
            late = [
                record.at - begin
                for record in inside
                if record.is_answered and _is_banned(record, text, zones)
            ]
            if _banned_name(text):
                window['last_work_after'] = round(max(late, default=0), 2)
            windows[f'turn {number}: {text}'] = window
    return windows


def banned_at(result: TurnResult, name: str) -> float:
    """When the keys of a customer were revoked; infinity if never."""
    return min(
        (
            mark.at
            for mark in result.marks
            if mark.text.endswith(_REVOKED) and _banned_name(mark.text) == name
        ),
        default=float('inf'),
    )


def _banned_name(text: str) -> str:
    """The zone or customer that a mark says may get no new work."""
    if text.endswith((_WITHDRAWN, _REVOKED)):
        return text.split()[-2]
    return ''


def _is_banned(record: Record, text: str, zones: Mapping[str, str]) -> bool:
    name = _banned_name(text)
    if text.endswith(_REVOKED):
        return record.customer == name
    return bool(name) and zones.get(record.meeting.upstream) == name


def _by_customer(records: Iterable[Record]) -> dict[str, list[Record]]:
    grouped: dict[str, list[Record]] = collections.defaultdict(list)
    for record in records:
        grouped[record.customer].append(record)
    return grouped


def _fare_of(
    turns: Sequence[Sequence[Record]],
    limit: Limit | None,
    passed: frozenset[str],
) -> CustomerFare:
    own = [record for turn in turns for record in turn]
    allowed = [record for record in own if record.request_id in passed]
    answered = sum(record.is_answered for record in own)
    refused = sum(
        sum(refusals_of(turn, limit, passed).values()) for turn in turns
    )
    overshoots = [overshoot_of(turn, limit) for turn in turns if limit]
    return CustomerFare(
        sent=len(own),
        answered_share=min(1, answered / max(1, len(allowed))),
        wrongly_refused=refused,
        overshoot=max(overshoots, default=0),
        tail=latency_tail(own),
    )
