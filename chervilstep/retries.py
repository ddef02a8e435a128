"""The budget that retries and hedges are paid from."""

from collections.abc import Mapping
from typing import Final, final

from chervilstep.types import Instant

#: The part of the agreed ratio and reserve that is used: peers that come or go
#: change the parts of a reserve within a window.
USED_PART: Final = 0.8
#: The part of a window's reserve that may be saved up.
SAVED_PART: Final = 0.4


@final
class Balance:
    """The tokens of one service at an instant."""

    __slots__ = ('_counted_at', '_tokens')

    def __init__(self, tokens: float, counted_at: Instant) -> None:
        """Creates a balance of ``tokens`` at ``counted_at``."""
        self._tokens = tokens
        self._counted_at = counted_at

    @property
    def tokens(self) -> float:
        """The tokens when they were counted."""
        return self._tokens

    @property
    def counted_at(self) -> Instant:
        """When the tokens were counted."""
        return self._counted_at


@final
class RetryBudget:
    """This instance's share of the fleet's retries, a bucket a service.

    The scheme is that of Finagle's RetryBudget: a part of the calls, and a
    small reserve for services that are seldom called.
    """

    __slots__ = ('_balances',)

    def __init__(self) -> None:
        """Starts before the first call."""
        self._balances: dict[str, Balance] = {}

    @property
    def balances(self) -> Mapping[str, Balance]:
        """The balances of the services that were called."""
        return self._balances

    def count(self, service: str, tokens: float, now: Instant) -> None:
        """Sets the tokens of a service at ``now``."""
        self._balances[service] = Balance(tokens, now)

    def keep(self, services: frozenset[str]) -> None:
        """Forgets the services that are not in ``services``."""
        for name in tuple(self._balances):
            if name not in services:
                self._balances.pop(name)
