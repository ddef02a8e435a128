"""Queries on the limits that upstreams state, and on the shares of them.

A limit applies to the requests of all instances together. It is shared by a
few instances, which rendezvous hashing selects for each upstream; each has a
token bucket of its share. The buckets need no coordination: however the calls
arrive, their sum stays within the limit and one second of it at once. With
one bucket for each instance of a large fleet, the first tokens alone would
exceed a low limit. An instance with waiting calls and no token borrows one from
an instance with a share, so that the limit is used wherever the calls arrive.
"""

import itertools
import math
from collections.abc import Iterable, Mapping
from typing import Final

from chervilstep.hooks import STATUS_ENTRIES
from chervilstep.node import Node
from chervilstep.queries.assignment import rendezvous_score
from chervilstep.queries.slowstart import upstreams_in_service
from chervilstep.services import Service, Upstream
from chervilstep.throttles import (
    LOAN_TIMEOUT_SECONDS,
    LimitEvidence,
    LimitShare,
    Throttle,
)
from chervilstep.types import Instant

#: The buckets of all instances together hold the tokens of this time, and at
#: least one token.
BURST_SECONDS: Final = 1.0
#: The requests per second that all instances together send at least. Without
#: any request the end of a limit would go unnoticed.
MIN_CALLS_PER_SECOND: Final = 0.25


def merge_evidence(
    known: LimitEvidence | None, received: LimitEvidence
) -> LimitEvidence | None:
    """Returns which of two statements of an upstream holds.

    The later statement holds. If answers overlapped, so that their order is
    unknown, the lower limit holds until a later answer. Returns None as long
    as the upstream has not stated a limit.
    """
    if known is None:
        return None if received.calls_per_second is None else received
    if received.requested_at >= known.received_at:
        return received
    if received.received_at <= known.requested_at:
        return known
    is_newer = received.received_at > known.received_at
    if _strictness(received) == _strictness(known):
        return received if is_newer else known
    return max(known, received, key=_strictness)


def known_limit(node: Node, upstream: str) -> float | None:
    """Returns the stated limit of an upstream, or None without one."""
    throttle = node.throttles.by_upstream.get(upstream)
    return throttle.calls_per_second if throttle else None


def active_throttle(node: Node, upstream: str) -> Throttle | None:
    """Returns the throttle of an upstream, or None without a limit."""
    throttle = node.throttles.by_upstream.get(upstream)
    if throttle is None or throttle.calls_per_second is None:
        return None
    return throttle


def may_send_within_limit(node: Node, upstream: Upstream, now: Instant) -> bool:
    """Whether one more request is within this instance's share of the limit."""
    throttle = active_throttle(node, upstream.name)
    return throttle is None or throttle.tokens(now) >= 1


def within_limits(
    node: Node, upstreams: tuple[Upstream, ...], now: Instant
) -> tuple[Upstream, ...]:
    """Returns the upstreams whose limit allows one more request from here."""
    if not node.throttles.by_upstream:
        return upstreams
    return tuple(
        each for each in upstreams if may_send_within_limit(node, each, now)
    )


def expected_rate(node: Node, upstreams: Iterable[Upstream]) -> float:
    """Returns the calls per second that this instance can expect to send.

    That is its part of what the upstreams accept while calls wait everywhere.
    The result is infinite if any of the upstreams has no limit.
    """
    own = float(0)
    fleet = float(0)
    for upstream in upstreams:
        throttle = active_throttle(node, upstream.name)
        if throttle is None:
            return math.inf
        own += throttle.share.calls_per_second
        fleet += max(MIN_CALLS_PER_SECOND, throttle.calls_per_second or 0)
    instances = max(1, len(node.throttles.sharing_instances))
    return max(own, fleet / instances)


def sharing_instances(node: Node) -> frozenset[str]:
    """Returns the instances among which limits are shared.

    Dead members are included, since they may only be partitioned from this
    instance. An instance that leaves gives up its shares at once: its peers
    have already removed it from their lists.
    """
    members = node.members
    others = frozenset(members.known) - {members.self_name}
    if members.is_leaving and others:
        return others
    return others | {members.self_name}


def own_share(node: Node, upstream: str, limit: float) -> LimitShare:
    """Returns this instance's share of a limit in requests per second."""
    holders = _share_holders(node, upstream, limit)
    if node.members.self_name not in holders:
        return LimitShare(0, 0, holders)
    rate = max(MIN_CALLS_PER_SECOND, limit) / len(holders)
    return LimitShare(rate, max(1, rate * BURST_SECONDS), holders)


def wanted_loans(node: Node, now: Instant) -> Mapping[str, str]:
    """Returns the upstreams to borrow a token of, and whom to ask for it.

    Tokens are borrowed only for calls that wait in a queue here, one for each:
    an unused token would be lost to the lender.
    """
    if not node.throttles.by_upstream:
        return {}
    wanted: dict[str, str] = {}
    for name, queue in node.queues.by_service.items():
        service = node.snapshot.services.get(name)
        if service is not None and len(queue):
            wanted.update(_loans_for_queue(node, service, len(queue), now))
    return wanted


def may_lend(node: Node, upstream: str, now: Instant) -> bool:
    """Whether this instance may lend a token of its share."""
    throttle = active_throttle(node, upstream)
    return throttle is not None and throttle.own_tokens(now) >= 1


def _share_holders(node: Node, upstream: str, limit: float) -> tuple[str, ...]:
    instances = node.throttles.sharing_instances
    count = min(len(instances), max(1, int(1 + limit * BURST_SECONDS)))
    ranked = sorted(
        instances,
        key=lambda name: (rendezvous_score(name, f'limit\0{upstream}'), name),
    )
    return tuple(ranked[:count])


def _loans_for_queue(
    node: Node, service: Service, waiting: int, now: Instant
) -> Mapping[str, str]:
    limited = [
        upstream.name
        for upstream in upstreams_in_service(node, service)
        if active_throttle(node, upstream.name) is not None
    ]
    without_token = [
        name for name in limited if not _has_or_awaits_token(node, name, now)
    ]
    missing = waiting - (len(limited) - len(without_token))
    node.rng.shuffle(without_token)
    lenders = {
        name: lender
        for name in without_token
        if (lender := _select_lender(node, name, now)) is not None
    }
    return dict(itertools.islice(lenders.items(), max(0, missing)))


def _has_or_awaits_token(node: Node, upstream: str, now: Instant) -> bool:
    throttle = node.throttles.by_upstream[upstream]
    return throttle.is_loan_pending(now) or throttle.tokens(now) >= 1


def _select_lender(node: Node, upstream: str, now: Instant) -> str | None:
    throttle = node.throttles.by_upstream[upstream]
    peers = node.members.peers
    connected = [
        name
        for name in throttle.share.holders
        if name != node.members.self_name
        and name in peers
        and peers[name].is_connected
    ]
    if not connected:
        return None
    # Asks the holders in turn, since most of them may have no token.
    return connected[int(now / LOAN_TIMEOUT_SECONDS) % len(connected)]


def describe_limits(
    node: Node, upstreams: Iterable[Upstream], now: Instant
) -> Mapping[str, Mapping[str, object]]:
    """Returns the limit of each upstream that has one, for logs."""
    described = {}
    for upstream in upstreams:
        throttle = active_throttle(node, upstream.name)
        if throttle is not None:
            described[upstream.name] = describe_throttle(throttle, now)
    return described


def describe_throttle(throttle: Throttle, now: Instant) -> Mapping[str, object]:
    """Returns a limit, its age and source, and this instance's share of it."""
    evidence = throttle.evidence
    return {
        'limit': evidence.calls_per_second,
        'age': round(now - evidence.received_at, 3),
        'source': evidence.source,
        'share': round(throttle.share.calls_per_second, 3),
        'tokens': round(throttle.tokens(now), 2),
    }


@STATUS_ENTRIES.register('limits')
def read_limits(node: Node, now: Instant) -> object:
    """Returns the limits in force by the name of the upstream."""
    return {
        name: describe_throttle(throttle, now)
        for name, throttle in node.throttles.by_upstream.items()
        if throttle.calls_per_second is not None
    }


def _strictness(evidence: LimitEvidence) -> float:
    if evidence.calls_per_second is None:
        return -math.inf
    return -evidence.calls_per_second
