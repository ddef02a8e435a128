"""Computes the measures of an experiment from the records of its turns."""

import collections
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final, final

from hdrh.histogram import HdrHistogram

from chervilstep.refusals import RATE_EXCEEDED
from lab.arrivals import Record
from lab.documents import RateLimit
from lab.measures import Checks, CustomerMeasures, LatencySummary
from lab.queries.demands import ANONYMOUS
from lab.turns import Mark

_MS: Final = 1000
_US: Final = 1_000_000
_MAX_LATENCY_US: Final = 60 * _US
_SIGNIFICANT_DIGITS: Final = 3
_WITHDRAWN: Final = ' withdrawn'
_REVOKED: Final = ' revoked'
_NOT_RUN: Final = 'not-run'
_ANSWERED: Final = 'answered'


@final
class TurnResult:
    """The records, marks and cost of one turn."""

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
        """The record of each request."""
        return self._records

    @property
    def marks(self) -> tuple[Mark, ...]:
        """The events of the turn, in order of time."""
        return self._marks

    @property
    def cost(self) -> Mapping[str, float]:
        """The resources, probes and platform calls of the turn."""
        return self._cost


def summarize_latency(seconds: Iterable[float]) -> LatencySummary:
    """Returns the percentiles of durations that are given in seconds."""
    histogram = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
    for duration in seconds:
        histogram.record_value(max(1, int(duration * _US)))
    p50, p99, p999 = (
        histogram.get_value_at_percentile(percentile) * _MS / _US
        for percentile in (50, 99, 99.9)
    )
    maximum = histogram.get_max_value() * _MS / _US
    return LatencySummary(histogram.get_total_count(), p50, p99, p999, maximum)


def answered_latency(records: Iterable[Record]) -> LatencySummary:
    """Returns the latency of the answered requests among ``records``."""
    return summarize_latency(
        record.latency for record in records if record.is_answered
    )


def outcome_name(record: Record) -> str:
    """Returns the outcome of a request as a key: answered or the reason."""
    if record.is_answered:
        return _ANSWERED
    return record.outcome.reason or f'status-{record.outcome.status}'


def count_outcomes(records: Iterable[Record]) -> dict[str, int]:
    """Returns the number of requests by outcome."""
    return dict(collections.Counter(outcome_name(record) for record in records))


def ids_within_rate(
    records: Sequence[Record], limits: Mapping[str, RateLimit]
) -> frozenset[str]:
    """Returns the ids of the requests that an exact token bucket admits."""
    tokens = {name: limit.burst for name, limit in limits.items()}
    updated_at = dict.fromkeys(limits, float(0))
    admitted = set()
    for record in sorted(records, key=lambda sent: sent.scheduled_at):
        name = record.customer
        if name == ANONYMOUS:
            admitted.add(record.request_id)
            continue
        limit = limits[name]
        refilled = (record.scheduled_at - updated_at[name]) * limit.rate
        updated_at[name] = record.scheduled_at
        tokens[name] = min(limit.burst, tokens[name] + refilled)
        if tokens[name] >= 1:
            tokens[name] -= 1
            admitted.add(record.request_id)
    return frozenset(admitted)


def rate_overshoot(records: Sequence[Record], limit: RateLimit) -> float:
    """Returns how far the admitted requests overdraw an exact token bucket.

    The bucket uses send times, so requests that arrive together after a delay
    may show up as an overshoot of a request or two.
    """
    tokens = limit.burst
    updated_at = lowest = float(0)
    for record in sorted(
        records, key=lambda sent: sent.scheduled_at + sent.lateness
    ):
        if record.outcome.verdict == _NOT_RUN:
            continue
        sent_at = record.scheduled_at + record.lateness
        refilled = (sent_at - updated_at) * limit.rate
        tokens = min(limit.burst, tokens + refilled) - 1
        updated_at = sent_at
        lowest = min(lowest, tokens)
    return -lowest


def rate_shortfall(
    records: Sequence[Record], allowed_ids: frozenset[str]
) -> int:
    """Returns by how many the admitted requests fall short of the rate.

    A customer that exceeds its rate is entitled to a number of admitted
    requests, but not to particular ones.
    """
    entitled = sum(record.request_id in allowed_ids for record in records)
    admitted = sum(
        record.outcome.reason != RATE_EXCEEDED.reason for record in records
    )
    return max(0, entitled - admitted)


def wrongful_refusals(
    records: Sequence[Record],
    limit: RateLimit | None,
    allowed_ids: frozenset[str],
) -> collections.Counter[str]:
    """Returns the wrongful refusals of a customer in a turn, by reason."""
    refused = collections.Counter(
        record.outcome.reason
        for record in records
        if record.request_id in allowed_ids and record.outcome.verdict
    )
    if limit and refused[RATE_EXCEEDED.reason]:
        refused[RATE_EXCEEDED.reason] = rate_shortfall(records, allowed_ids)
    return +refused


def total_wrongful_refusals(
    results: Sequence[TurnResult],
    limits: Mapping[str, RateLimit],
    allowed_ids: frozenset[str],
) -> collections.Counter[str]:
    """Returns the wrongful refusals over customers and turns, by reason."""
    total: collections.Counter[str] = collections.Counter()
    for result in results:
        for name, records in _by_customer(result.records).items():
            total += wrongful_refusals(records, limits.get(name), allowed_ids)
    return total


def measure_customers(
    results: Sequence[TurnResult],
    limits: Mapping[str, RateLimit],
    allowed_ids: frozenset[str],
) -> dict[str, CustomerMeasures]:
    """Returns the measures by customer; each turn starts with full buckets."""
    turns: dict[str, list[list[Record]]] = collections.defaultdict(list)
    for result in results:
        for name, records in _by_customer(result.records).items():
            turns[name].append(records)
    return {
        name or 'anyone': _measure_customer(
            turn_records, limits.get(name), allowed_ids
        )
        for name, turn_records in sorted(turns.items())
    }


def worst_served_customer(customers: Mapping[str, CustomerMeasures]) -> str:
    """Returns the customer with the lowest answered share, then highest p99."""
    return min(
        customers,
        key=lambda name: (
            round(customers[name].answered_share, 3),
            -customers[name].tail.p99,
        ),
    )


def check_outcomes(
    records: Sequence[Record], runs: Mapping[str, int], keys_seen: int
) -> Checks:
    """Compares the outcomes of requests with the runs at the upstreams."""
    return Checks(
        ran_twice=sum(
            not record.is_idempotent and runs.get(record.request_id, 0) > 1
            for record in records
        ),
        wrong_answers=sum(
            record.outcome.reason == 'wrong-answer' for record in records
        ),
        falsely_not_run=sum(
            record.outcome.verdict == _NOT_RUN
            and runs.get(record.request_id, 0) > 0
            for record in records
        ),
        answered_not_run=sum(
            record.is_answered and not runs.get(record.request_id)
            for record in records
        ),
        keys_seen=keys_seen,
    )


def measure_windows(
    results: Sequence[TurnResult], zones: Mapping[str, str]
) -> dict[str, Any]:
    """Returns the latency and outcomes between the marks of each turn.

    After a withdrawal or a revocation, ``last_work_after`` is the latest
    scheduled time, in seconds after the mark, of a request that was answered
    despite it.
    """
    windows: dict[str, Any] = {}
    for number, result in enumerate(results, 1):
        edges = [
            (0, 'start'),
            *((mark.marked_at, mark.text) for mark in result.marks),
        ]
        ends = [*(at for at, _ in edges[1:]), float('inf')]
        for (begin, text), end in zip(edges, ends, strict=True):
            inside = [
                record
                for record in result.records
                if begin <= record.scheduled_at < end
            ]
            window: dict[str, Any] = {
                'begin': round(begin, 2),
                'tail': answered_latency(inside),
                'endings': count_outcomes(inside),
            }
            late = [
                record.scheduled_at - begin
                for record in inside
                if record.is_answered and _is_excluded(record, text, zones)
            ]
            if _excluded_name(text):
                window['last_work_after'] = round(max(late, default=0), 2)
            windows[f'turn {number}: {text}'] = window
    return windows


def revoked_at(result: TurnResult, name: str) -> float:
    """Returns when a customer's keys were revoked, or infinity if never."""
    return min(
        (
            mark.marked_at
            for mark in result.marks
            if mark.text.endswith(_REVOKED)
            and _excluded_name(mark.text) == name
        ),
        default=float('inf'),
    )


def _excluded_name(text: str) -> str:
    """Returns the zone or customer that a mark excludes from new requests."""
    if text.endswith((_WITHDRAWN, _REVOKED)):
        return text.split()[-2]
    return ''


def _is_excluded(record: Record, text: str, zones: Mapping[str, str]) -> bool:
    name = _excluded_name(text)
    if text.endswith(_REVOKED):
        return record.customer == name
    return bool(name) and zones.get(record.outcome.upstream) == name


def _by_customer(records: Iterable[Record]) -> dict[str, list[Record]]:
    grouped: dict[str, list[Record]] = collections.defaultdict(list)
    for record in records:
        grouped[record.customer].append(record)
    return grouped


def _measure_customer(
    turns: Sequence[Sequence[Record]],
    limit: RateLimit | None,
    allowed_ids: frozenset[str],
) -> CustomerMeasures:
    records = [record for turn in turns for record in turn]
    allowed = [record for record in records if record.request_id in allowed_ids]
    answered = sum(record.is_answered for record in records)
    refused = sum(
        sum(wrongful_refusals(turn, limit, allowed_ids).values())
        for turn in turns
    )
    overshoots = [rate_overshoot(turn, limit) for turn in turns if limit]
    return CustomerMeasures(
        sent=len(records),
        answered_share=min(1, answered / max(1, len(allowed))),
        wrongly_refused=refused,
        overshoot=max(overshoots, default=0),
        tail=answered_latency(records),
    )
