"""Limits the calls of this instance to upstreams that are cold.

All instances together stay within the agreed rate of a cold upstream. Only a
few instances, selected by rendezvous hashing, send calls to it, and each has
a token bucket of one token. The buckets need no coordination: their sum stays
within the bound in any second.
"""

from typing import Final

from chervilstep.health import UpstreamHealth
from chervilstep.node import Node
from chervilstep.queries.assignment import rendezvous_score
from chervilstep.services import ColdStart, Service, Upstream
from chervilstep.types import Instant

#: The fraction of the bound that is used. The rest covers instances whose
#: lists of members differ for a while.
USED_FRACTION: Final = 0.8
#: The fraction of the used bound that is reserved for the first call of each
#: sender, since every bucket starts full.
FIRST_CALLS_FRACTION: Final = 0.6


def is_within_cold_limit(
    node: Node, service: Service, upstream: Upstream, now: Instant
) -> bool:
    """Whether one more call is within the limit; always if not cold."""
    health = node.health.by_upstream.get(upstream.name)
    if health is None or not health.is_cold(now) or service.cold_start is None:
        return True
    rate = cold_rate(node, service.cold_start, upstream)
    return bool(rate) and cold_tokens(health, rate, now) >= 1


def cold_tokens(health: UpstreamHealth, rate: float, now: Instant) -> float:
    """Returns the tokens at ``now`` of a bucket refilled at ``rate``."""
    elapsed = max(0, now - health.cold_tokens_at)
    return min(1, health.cold_tokens + elapsed * rate)


def cold_rate(node: Node, cold_start: ColdStart, upstream: Upstream) -> float:
    """Returns the refill rate of this instance's bucket, in calls per second.

    The rate is 0 if this instance is not among the senders.
    """
    allowances = node.settings.allowances
    bound = USED_FRACTION * (
        cold_start.calls_per_second * allowances.cold_factor
        + allowances.cold_extra
    )
    instances = {node.members.self_name, *node.members.known}
    senders = max(1, min(len(instances), int(bound * FIRST_CALLS_FRACTION)))
    ranked = sorted(
        instances, key=lambda name: rendezvous_score(name, upstream.name)
    )
    if node.members.self_name not in ranked[:senders]:
        return 0
    return (bound - senders) / senders
