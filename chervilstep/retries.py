"""Token buckets that limit retries and hedges."""

from collections.abc import Mapping
from typing import Final, final

from chervilstep.types import Instant

#: The fraction of the configured ratio and reserve that is used. The rest is a
#: margin for peers that join or leave: they change the number of instances
#: that divide the reserve within a window.
USED_FRACTION: Final = 0.8
#: The capacity of a bucket, as a fraction of the reserve of a window.
CAPACITY_FRACTION: Final = 0.4


@final
class Balance:
    """The tokens of one service at a point in time."""

    __slots__ = ('_tokens', '_updated_at')

    def __init__(self, tokens: float, updated_at: Instant) -> None:
        """Creates a balance of ``tokens`` at ``updated_at``."""
        self._tokens = tokens
        self._updated_at = updated_at

    @property
    def tokens(self) -> float:
        """The number of tokens at ``updated_at``."""
        return self._tokens

    @property
    def updated_at(self) -> Instant:
        """When the number of tokens was last set."""
        return self._updated_at


@final
class RetryBudget:
    """The retry budget of this instance, with one token bucket per service.

    The scheme is that of Finagle's RetryBudget: a fraction of the calls, and
    a small reserve for services with few calls.
    """

    __slots__ = ('_balances',)

    def __init__(self) -> None:
        """Creates a budget without balances."""
        self._balances: dict[str, Balance] = {}

    @property
    def balances(self) -> Mapping[str, Balance]:
        """The balances by service; services without calls have none."""
        return self._balances

    def set_tokens(self, service: str, tokens: float, now: Instant) -> None:
        """Sets the number of tokens of a service at ``now``."""
        self._balances[service] = Balance(tokens, now)

    def retain(self, services: frozenset[str]) -> None:
        """Removes the balances of services that are not in ``services``."""
        for name in tuple(self._balances):
            if name not in services:
                self._balances.pop(name)
