"""Queries on the limits that upstreams state."""

import math

from chervilstep.throttles import LimitEvidence


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
    if received.asked_at >= known.heard_at:
        return received
    if received.heard_at <= known.asked_at:
        return known
    is_newer = received.heard_at > known.heard_at
    if _strictness(received) == _strictness(known):
        return received if is_newer else known
    return max(known, received, key=_strictness)


def _strictness(evidence: LimitEvidence) -> float:
    if evidence.calls_per_second is None:
        return -math.inf
    return -evidence.calls_per_second
