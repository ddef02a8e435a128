"""The exponential backoff of closed and ejected upstreams."""

from typing import Final

#: More doublings exceed every maximum, and at last the range of floats.
MAX_DOUBLINGS: Final = 32


def doubled_seconds(
    first_seconds: float, doublings: int, maximum_seconds: float
) -> float:
    """Returns a time that doubles with each failure, up to a maximum."""
    factor = 1 << min(doublings, MAX_DOUBLINGS)
    return min(maximum_seconds, first_seconds * factor)
