"""When a refused caller should send its request again."""

from collections.abc import Mapping
from typing import Final

from chervilstep import refusals
from chervilstep.calls import Call
from chervilstep.node import Node
from chervilstep.queries.notices import first_pause_end
from chervilstep.queries.queueing import rate_within_limits
from chervilstep.queries.rates import fleet_tokens, report_coverage
from chervilstep.queries.routing import resolve
from chervilstep.snapshot import Route
from chervilstep.types import Instant

#: Seconds until another attempt makes sense, by refusal.
RETRY_SECONDS: Final[Mapping[refusals.Refusal, float]] = {
    # Another instance can serve the request at once.
    refusals.NOT_READY: 0,
    refusals.LEAVING: 0,
    refusals.UPSTREAM_UNREACHABLE: 0.02,
    refusals.UPSTREAM_MOVED: 0.02,
    refusals.UPSTREAM_SHED: 0.05,
    # A queue advances within about the run time of one call.
    refusals.QUEUE_FULL: 0.1,
    refusals.QUEUE_TOO_LONG: 0.1,
    refusals.QUEUE_TIMEOUT: 0.1,
    refusals.NO_UPSTREAM: 0.2,
    refusals.QUARANTINED: 30,
}
#: Delays are multiplied by a random factor up to this one, so that callers
#: that were refused together do not retry together.
MAX_JITTER_FACTOR: Final = 2.0
#: The longest delay for a customer that has used up its rate.
MAX_RATE_RETRY_SECONDS: Final = 5.0
#: Callers return one after another when a pause ends.
MAX_RETURN_JITTER_SECONDS: Final = 0.2
#: The bounds of the delay while all upstreams of a service state limits. Limits
#: can end at any moment, so callers return early enough to benefit.
MIN_LIMITED_RETRY_SECONDS: Final = 0.1
MAX_LIMITED_RETRY_SECONDS: Final = 2.0


def retry_after_seconds(
    node: Node, call: Call, refusal: refusals.Refusal, now: Instant
) -> float | None:
    """Returns the seconds until the caller should retry, or None."""
    if refusal is refusals.RATE_EXCEEDED:
        return _seconds_until_token(node, call, now)
    if refusal is refusals.UPSTREAMS_LIMITED:
        return _seconds_within_limits(node, call, now)
    if refusal is refusals.UPSTREAMS_PAUSED:
        return _seconds_until_return(node, call, now)
    seconds = RETRY_SECONDS.get(refusal)
    if not seconds:
        return seconds
    return seconds * node.rng.uniform(1, MAX_JITTER_FACTOR)


def _seconds_until_token(node: Node, call: Call, now: Instant) -> float:
    customer = node.snapshot.customer_by_digest(call.key_digest or '')
    bucket = node.rates.buckets.get(customer.name) if customer else None
    if customer is None or bucket is None:
        return MAX_RATE_RETRY_SECONDS
    missing = 1 - min(
        0,
        fleet_tokens(customer, bucket, report_coverage(node, bucket, now), now),
    )
    return min(
        MAX_RATE_RETRY_SECONDS,
        node.rng.uniform(1, MAX_JITTER_FACTOR) * missing / customer.rate,
    )


def _seconds_until_return(node: Node, call: Call, now: Instant) -> float:
    """Returns when the first upstream ends its pause.

    The jitter is added to the pause, so that nobody returns within it.
    """
    route = resolve(node.snapshot, call.method, call.path, call.host)
    service = node.snapshot.services.get(
        route.service if isinstance(route, Route) else ''
    )
    first = first_pause_end(node, service.upstreams if service else (), now)
    pause_seconds = first.remaining(now) if first else 0
    return pause_seconds + node.rng.uniform(0, MAX_RETURN_JITTER_SECONDS)


def _seconds_within_limits(node: Node, call: Call, now: Instant) -> float:
    """Returns when the calls that wait here have probably been sent."""
    route = resolve(node.snapshot, call.method, call.path, call.host)
    seconds = MIN_LIMITED_RETRY_SECONDS
    if isinstance(route, Route):
        queue = node.queues.queue(route.service)
        rate = rate_within_limits(node, route.service, frozenset(), now)
        seconds = max(seconds, (len(queue) + 1) / rate if rate else 0)
    return min(
        MAX_LIMITED_RETRY_SECONDS,
        seconds * node.rng.uniform(1, MAX_JITTER_FACTOR),
    )
