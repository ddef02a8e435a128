"""Queries on upstreams that leave or pause by their own word."""

from collections.abc import Iterable
from typing import Final

from chervilstep.gauges import GaugeValue
from chervilstep.health import EXPIRED
from chervilstep.hooks import GAUGES, STATUS_ENTRIES
from chervilstep.node import Node
from chervilstep.services import Upstream
from chervilstep.types import Deadline, Instant

#: The requests in flight at an upstream right after its pause; each answer allows
#: one more.
FIRST_TRIAL_REQUESTS: Final = 1


def has_announced_leaving(node: Node, upstream: str) -> bool:
    """Whether an upstream has said itself that it ends soon."""
    health = node.health.by_upstream.get(upstream)
    return health is not None and health.is_leaving


def pause_end(node: Node, upstream: str) -> Deadline:
    """Returns until when an upstream wants no request of this instance."""
    health = node.health.by_upstream.get(upstream)
    return EXPIRED if health is None else health.paused_until


def is_paused(node: Node, upstream: str, now: Instant) -> bool:
    """Whether an upstream wants no request of this instance now."""
    return not pause_end(node, upstream).has_passed(now)


def accepts_now(node: Node, upstream: Upstream, now: Instant) -> bool:
    """Whether an upstream neither pauses nor has enough after its pause."""
    health = node.health.by_upstream.get(upstream.name)
    if health is None or health.trial_answers is None:
        return True
    if not health.paused_until.has_passed(now):
        return False
    allowed = FIRST_TRIAL_REQUESTS + health.trial_answers
    return node.loads.in_flight(upstream.name) < allowed


def first_pause_end(
    node: Node, upstreams: Iterable[Upstream], now: Instant
) -> Deadline | None:
    """Returns when the first of ``upstreams`` ends its pause.

    Returns None unless all of them pause.
    """
    ends = [pause_end(node, upstream.name) for upstream in upstreams]
    if not ends or any(end.has_passed(now) for end in ends):
        return None
    first = ends[0]
    for end in ends[1:]:
        first = first.earlier(end)
    return first


@STATUS_ENTRIES.register('notices')
def read_notices(node: Node, now: Instant) -> object:
    """Returns the upstreams that leave or pause by their own word."""
    return {
        name: {
            'leaving': health.is_leaving,
            'pause_seconds': round(health.paused_until.remaining(now), 3),
        }
        for name, health in node.health.by_upstream.items()
        if health.is_leaving or not health.paused_until.has_passed(now)
    }


@GAUGES.register('upstreams_paused')
def read_paused_upstreams(node: Node, now: Instant) -> Iterable[GaugeValue]:
    """Yields the number of upstreams that pause."""
    names = node.health.by_upstream
    yield GaugeValue(sum(is_paused(node, name, now) for name in names))


@GAUGES.register('upstreams_leaving')
def read_leaving_upstreams(node: Node, now: Instant) -> Iterable[GaugeValue]:
    """Yields the number of upstreams that leave by their own word."""
    records = node.health.by_upstream.values()
    yield GaugeValue(sum(health.is_leaving for health in records))
