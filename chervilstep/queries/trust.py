"""Whether connections to an upstream can be relied on."""

from typing import Final

from chervilstep.calls import Attempt, Ending, Outcome
from chervilstep.node import Node
from chervilstep.types import Instant

#: An attempt that ends sooner was cut short by its deadline, not silent.
MIN_SILENCE_SECONDS: Final = 0.1
#: A silence lasts at least this many mean latencies of the upstream.
SILENT_LATENCIES: Final = 5


def is_trusted(node: Node, upstream: str, opened_at: Instant) -> bool:
    """Whether a kept connection opened at ``opened_at`` may be used."""
    path = node.paths.by_upstream.get(upstream)
    return path is None or path.is_trusted(opened_at)


def is_silence(node: Node, attempt: Attempt, outcome: Outcome) -> bool:
    """Whether the attempt waited long enough to suspect its connection."""
    if outcome.ending is not Ending.TIMED_OUT:
        return False
    waited = outcome.ended_at - attempt.started_at
    load = node.loads.by_upstream.get(attempt.upstream.name)
    mean = load.latency if load else None
    return waited >= max(MIN_SILENCE_SECONDS, SILENT_LATENCIES * (mean or 0))


def is_fresh(node: Node, attempt: Attempt) -> bool:
    """Whether the attempt used a connection opened after the suspicion."""
    return is_trusted(node, attempt.upstream.name, attempt.started_at)
