"""Queries on whether connections to an upstream can still be used."""

from typing import Final

from chervilstep.calls import Attempt, Ending, Outcome
from chervilstep.node import Node
from chervilstep.types import Instant

#: A shorter attempt that timed out was ended by its deadline and is no evidence
#: of a broken connection.
MIN_SILENCE_SECONDS: Final = 0.1
#: A timeout is a silence from this many times the mean latency of the upstream.
SILENCE_LATENCY_FACTOR: Final = 5


def is_trusted(node: Node, upstream: str, opened_at: Instant) -> bool:
    """Whether a kept connection opened at ``opened_at`` may be used."""
    trust = node.connection_trust.by_upstream.get(upstream)
    return trust is None or trust.is_trusted(opened_at)


def is_silence(node: Node, attempt: Attempt, outcome: Outcome) -> bool:
    """Whether the attempt waited so long that its connection is suspect."""
    if outcome.ending is not Ending.TIMED_OUT:
        return False
    waited = outcome.ended_at - attempt.started_at
    load = node.loads.by_upstream.get(attempt.upstream.name)
    mean = load.latency if load else None
    return waited >= max(
        MIN_SILENCE_SECONDS, SILENCE_LATENCY_FACTOR * (mean or 0)
    )


def used_fresh_connection(node: Node, attempt: Attempt) -> bool:
    """Whether the attempt used a connection opened after the last silence."""
    return is_trusted(node, attempt.upstream.name, attempt.started_at)
