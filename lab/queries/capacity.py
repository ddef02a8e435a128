"""The capacity and the service times of an upstream stand-in."""

import math
import statistics
from typing import Final

import xxhash

from chervilstep.types import Instant
from lab.servers import Server

#: The sigma of log-normal service times, whose p99 is four times their mean.
SIGMA: Final = 0.7
#: Multiplies the service times of a cold upstream above its capacity.
COLD_OVERLOAD_SLOWDOWN: Final = 6
#: Multiplies the service times of a cold upstream within its capacity.
COLD_SLOWDOWN: Final = 1.5
#: Ends the prefix of a request id that names the turn. The service time
#: depends only on the rest, so that it is equal in every turn.
TURN_SEPARATOR: Final = '~'
_HASH_RANGE: Final = 2**64
_NORMAL: Final = statistics.NormalDist()


def is_cold(server: Server, now: Instant) -> bool:
    """Whether the upstream is in its cold start."""
    return now < server.warm_at


def capacity(server: Server, now: Instant) -> int:
    """Returns the number of requests that can run without an overload.

    During a cold start, the number grows linearly from one to all slots.
    """
    slots = server.traits.slots
    if not is_cold(server, now):
        return slots
    cold_fraction = (server.warm_at - now) / server.traits.cold_seconds
    return 1 + int((slots - 1) * max(0, 1 - cold_fraction))


def service_seconds(server: Server, request_id: str, now: Instant) -> float:
    """Returns the service time of a request that starts now.

    The drawn time of a request is equal on every upstream, so that policies
    are compared on the same work.
    """
    seconds = _draw_seconds(server, request_id) * server.slowdown
    if not is_cold(server, now):
        return seconds
    if server.in_flight > capacity(server, now):
        return seconds * COLD_OVERLOAD_SLOWDOWN
    return seconds * COLD_SLOWDOWN


def state_name(server: Server, now: Instant) -> str:
    """Returns the state as named in the load report."""
    if server.is_draining:
        return 'draining'
    return 'cold' if is_cold(server, now) else 'serving'


def _draw_seconds(server: Server, request_id: str) -> float:
    work_id = request_id.rpartition(TURN_SEPARATOR)[2]
    hash_value = xxhash.xxh64_intdigest(
        work_id.encode(), seed=server.traits.seed
    )
    fraction = (hash_value + 1) / (_HASH_RANGE + 2)
    scale = math.exp(SIGMA * _NORMAL.inv_cdf(fraction) - SIGMA * SIGMA / 2)
    return server.traits.mean_seconds * scale
