"""Messages by which instances borrow and lend parts of customers' limits."""

import math
from collections.abc import Iterable
from typing import Final, final

from chervilstep.hooks import MESSAGES
from chervilstep.messages import Message

#: Tokens travel as whole numbers of this many to the token.
UNITS: Final = 1000
#: Hides the rounding of multiples of a unit.
ROUNDING: Final = 1e-6


def to_units(tokens: float) -> int:
    """The whole units in ``tokens``, rounded down."""
    return math.floor(tokens * UNITS + ROUNDING)


def whole_units(tokens: float) -> float:
    """The part of ``tokens`` that can travel."""
    return to_units(tokens) / UNITS


@final
class Need:
    """What a borrower holds of one customer, gives back and wants."""

    __slots__ = ('_values',)

    def __init__(self, values: Iterable[int]) -> None:
        """Creates a need of its values in units, as they travel."""
        self._values = tuple(values)

    @property
    def values(self) -> tuple[int, ...]:
        """The values in units, as they travel."""
        return self._values

    @property
    def rate(self) -> float:
        """Tokens a second that the borrower mints on loan."""
        return self._values[0] / UNITS

    @property
    def burst(self) -> float:
        """Tokens that it may keep on loan."""
        return self._values[1] / UNITS

    @property
    def returned(self) -> float:
        """Tokens that it took out of its bucket to give them back."""
        return self._values[2] / UNITS

    @property
    def wanted(self) -> float:
        """Tokens that a call waits for."""
        return self._values[3] / UNITS

    @property
    def spare(self) -> float:
        """Tokens that it would keep in stock."""
        return self._values[4] / UNITS

    @property
    def room(self) -> float:
        """Tokens that its bucket has room for."""
        return self._values[5] / UNITS

    @property
    def demand(self) -> float:
        """Calls a second that arrive there."""
        return self._values[6] / UNITS


@final
class Terms:
    """What a lender lends of one customer."""

    __slots__ = ('_values',)

    def __init__(self, values: Iterable[int]) -> None:
        """Creates the terms of a loan of their values in units."""
        self._values = tuple(values)

    @property
    def values(self) -> tuple[int, ...]:
        """The values in units, as they travel."""
        return self._values

    @property
    def rate(self) -> float:
        """Tokens a second that the borrower may mint."""
        return self._values[0] / UNITS

    @property
    def burst(self) -> float:
        """Tokens that the borrower may keep."""
        return self._values[1] / UNITS

    @property
    def tokens(self) -> float:
        """Tokens that go along."""
        return self._values[2] / UNITS

    @property
    def target(self) -> float:
        """The depth that the borrower should return to."""
        return self._values[3] / UNITS

    @property
    def left(self) -> float:
        """Tokens that the lender still has."""
        return self._values[4] / UNITS


def new_need(
    rate: float,
    burst: float,
    *,
    returned: float,
    wanted: float,
    spare: float,
    room: float,
    demand: float,
) -> Need:
    """Creates a need of a borrower that holds ``rate`` and ``burst``."""
    return Need(
        map(to_units, (rate, burst, returned, wanted, spare, room, demand))
    )


def new_terms(
    rate: float,
    burst: float,
    *,
    tokens: float,
    target: float,
    left: float,
) -> Terms:
    """Creates the terms of a loan; ``left`` stays with the lender."""
    return Terms(map(to_units, (rate, burst, tokens, target, left)))


@MESSAGES.register('loan-request')
@final
class LoanRequest(Message):
    """Says what a borrower holds, and asks for loans."""

    __slots__ = ('_incarnation', '_is_return', '_needs', '_sequence')

    kind = 'loan-request'
    fields = ('incarnation', 'sequence', 'needs', 'is_return')

    def __init__(
        self,
        incarnation: int,
        sequence: int,
        needs: dict[str, tuple[int, ...]],
        is_return: bool,
    ) -> None:
        """Creates a request; ``needs`` are listed by customer."""
        self._is_return = is_return
        self._incarnation = incarnation
        self._sequence = sequence
        self._needs = {name: tuple(values) for name, values in needs.items()}

    @property
    def incarnation(self) -> int:
        """The borrower's incarnation."""
        return self._incarnation

    @property
    def sequence(self) -> int:
        """The number of the request; the offer repeats it."""
        return self._sequence

    @property
    def needs(self) -> dict[str, tuple[int, ...]]:
        """The values of each ``Need`` by customer."""
        return self._needs

    @property
    def is_return(self) -> bool:
        """Whether the borrower only gives back and awaits no offer."""
        return self._is_return

    def need(self, customer: str) -> Need:
        """The need for ``customer``."""
        return Need(self._needs[customer])


@MESSAGES.register('loan-offer')
@final
class LoanOffer(Message):
    """Lends parts of customers' limits for a while."""

    __slots__ = ('_seconds', '_sequence', '_terms')

    kind = 'loan-offer'
    fields = ('sequence', 'seconds', 'terms')

    def __init__(
        self,
        sequence: int,
        seconds: float,
        terms: dict[str, tuple[int, ...]],
    ) -> None:
        """Creates an offer for ``seconds`` from when it was asked for."""
        self._sequence = sequence
        self._seconds = seconds
        self._terms = {name: tuple(values) for name, values in terms.items()}

    @property
    def sequence(self) -> int:
        """The number of the request."""
        return self._sequence

    @property
    def seconds(self) -> float:
        """How long the loans last at most."""
        return self._seconds

    @property
    def terms(self) -> dict[str, tuple[int, ...]]:
        """The values of each ``Terms`` by customer."""
        return self._terms

    def term(self, customer: str) -> Terms:
        """The terms for ``customer``."""
        return Terms(self._terms[customer])
