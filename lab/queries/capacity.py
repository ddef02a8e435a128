"""What an upstream stand-in can bear, and how long a request takes."""

import math
import statistics
from typing import Final

import xxhash

from chervilstep.types import Instant
from lab.servers import Server

#: The spread of the log-normal service times; p99 is four times the mean.
SIGMA: Final = 0.7
#: The factor on service times while a cold upstream is overloaded.
COLLAPSE: Final = 6
#: A cold upstream that is not overloaded takes this much longer.
COLD_SLOWDOWN: Final = 1.5
#: Ends the part of a request id that does not change its service time.
TURN_MARK: Final = '~'
_HASH_SPAN: Final = 2**64
_NORMAL: Final = statistics.NormalDist()


def is_cold(server: Server, now: Instant) -> bool:
    """Whether the cold start is still going on."""
    return now < server.warm_at


def capacity(server: Server, now: Instant) -> int:
    """How many requests the upstream bears at once at this time."""
    slots = server.traits.slots
    if not is_cold(server, now):
        return slots
    left = (server.warm_at - now) / server.traits.cold_seconds
    return 1 + int((slots - 1) * max(0, 1 - left))


def service_seconds(server: Server, request_id: str, now: Instant) -> float:
    """The service time of a request that starts now.

    The same request takes equally long on every warm upstream, so that two
    policies are compared on the same work.
    """
    seconds = _drawn_seconds(server, request_id) * server.slowdown
    if not is_cold(server, now):
        return seconds
    if server.in_flight > capacity(server, now):
        return seconds * COLLAPSE
    return seconds * COLD_SLOWDOWN


def state_name(server: Server, now: Instant) -> str:
    """The state as the load report calls it."""
    if server.is_draining:
        return 'draining'
    return 'cold' if is_cold(server, now) else 'serving'


def _drawn_seconds(server: Server, request_id: str) -> float:
    work = request_id.rpartition(TURN_MARK)[2]
    drawn = xxhash.xxh64_intdigest(work.encode(), seed=server.traits.seed)
    share = (drawn + 1) / (_HASH_SPAN + 2)
    scale = math.exp(SIGMA * _NORMAL.inv_cdf(share) - SIGMA * SIGMA / 2)
    return server.traits.mean_seconds * scale
