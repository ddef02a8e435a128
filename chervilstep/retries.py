"""The budget that retries and hedges are paid from."""

from typing import Final, final

from chervilstep.types import Instant

#: Tokens that each admitted call earns; a retry or a hedge costs one.
TOKENS_PER_CALL: Final = 0.2
#: Tokens a second that the whole fleet gets without any call.
FLEET_TOKENS_PER_SECOND: Final = 10
#: Tokens that the whole fleet may have saved up.
FLEET_TOKENS: Final = 60


@final
class RetryBudget:
    """This instance's share of the fleet's retries, as a token bucket.

    The scheme is that of Finagle's RetryBudget: a part of the calls, and a
    small reserve for services that are seldom called.
    """

    __slots__ = ('_counted_at', '_tokens')

    def __init__(self) -> None:
        """Starts before the first call; ``tokens`` is None until then."""
        self._tokens: float | None = None
        self._counted_at: Instant = 0

    @property
    def tokens(self) -> float | None:
        """The tokens at ``counted_at``, or None before the first count."""
        return self._tokens

    @property
    def counted_at(self) -> Instant:
        """When the tokens were counted."""
        return self._counted_at

    def count(self, tokens: float, now: Instant) -> None:
        """Sets the number of tokens at ``now``."""
        self._tokens = tokens
        self._counted_at = now
