"""Loans of minting rights and tokens between instances.

The holder of a shard lends parts of it to the instances where calls arrive.
A loan ends with the lender's lease at the latest, so it needs no agreement:
whatever is lost on the way is lent out twice by nobody and comes back by
itself. Splitting a conserved quantity goes back to O'Neil's escrow (1986).
"""

from collections.abc import Container, Mapping
from typing import final

from chervilstep.leases import Holder
from chervilstep.types import Deadline, Instant


@final
class Capital:
    """What the shards held by one instance are worth for one customer."""

    __slots__ = ('_burst', '_deadline', '_rate')

    def __init__(self, rate: float, burst: float, deadline: Deadline) -> None:
        """Creates the capital; ``deadline`` is the end of the first lease."""
        self._rate = rate
        self._burst = burst
        self._deadline = deadline

    @property
    def rate(self) -> float:
        """Tokens minted each second, lent parts included."""
        return self._rate

    @property
    def burst(self) -> float:
        """Tokens that may be kept, lent parts included."""
        return self._burst

    @property
    def deadline(self) -> Deadline:
        """When the first of the leases ends."""
        return self._deadline


@final
class Loan:
    """What the lender must count as lent to one borrower."""

    __slots__ = ('_burst', '_deadline', '_demand', '_rate', '_transit')

    def __init__(
        self,
        rate: float,
        burst: float,
        transit: float,
        demand: float,
        deadline: Deadline,
    ) -> None:
        """Creates an entry; ``transit`` are tokens sent without depth."""
        self._rate = rate
        self._burst = burst
        self._transit = transit
        self._demand = demand
        self._deadline = deadline

    @property
    def rate(self) -> float:
        """Tokens a second that the borrower may mint."""
        return self._rate

    @property
    def burst(self) -> float:
        """Tokens that the borrower may keep."""
        return self._burst

    @property
    def transit(self) -> float:
        """Tokens that may still arrive beside what the borrower keeps."""
        return self._transit

    @property
    def demand(self) -> float:
        """Calls a second that the borrower reported."""
        return self._demand

    @property
    def deadline(self) -> Deadline:
        """When the borrower has lost the loan at the latest."""
        return self._deadline


@final
class Book:
    """The loans given by this instance, by customer and borrower."""

    __slots__ = ('_loans', '_sequences')

    def __init__(self) -> None:
        """Starts without loans."""
        self._loans: dict[str, dict[Holder, Loan]] = {}
        self._sequences: dict[str, dict[Holder, int]] = {}

    @property
    def loans(self) -> Mapping[str, Mapping[Holder, Loan]]:
        """The loans by customer and borrower; some may have ended."""
        return self._loans

    def last_sequence(self, customer: str, borrower: Holder) -> int:
        """The last request for ``customer`` taken in from ``borrower``."""
        return self._sequences.get(customer, {}).get(borrower, -1)

    def advance(self, customer: str, borrower: Holder, sequence: int) -> None:
        """Notes the request, so that older ones are ignored."""
        self._sequences.setdefault(customer, {})[borrower] = sequence

    def put(self, customer: str, borrower: Holder, loan: Loan) -> None:
        """Replaces the loan of ``borrower``."""
        self._loans.setdefault(customer, {})[borrower] = loan

    def expire(self, now: Instant) -> None:
        """Forgets the loans that have ended."""
        for customer, loans in tuple(self._loans.items()):
            kept = {
                borrower: loan
                for borrower, loan in loans.items()
                if not loan.deadline.has_passed(now)
            }
            self._loans[customer] = kept
            if not kept:
                self._loans.pop(customer)

    def forget(self, names: Container[str]) -> None:
        """Forgets the requests of instances that are gone and owe nothing."""
        for customer, sequences in self._sequences.items():
            loans = self._loans.get(customer, {})
            self._sequences[customer] = {
                borrower: sequence
                for borrower, sequence in sequences.items()
                if borrower.name in names or borrower in loans
            }


@final
class Account:
    """This instance's dealings with one lender over one customer."""

    __slots__ = (
        '_is_open',
        '_left',
        '_sent_at',
        '_sequence',
        '_target',
        '_wanted',
    )

    def __init__(self) -> None:
        """Starts before the first request."""
        self._sequence = -1
        self._sent_at: Instant = float('-inf')
        self._is_open = False
        self._wanted = float(0)
        self._target: float | None = None
        self._left: float | None = None

    @property
    def sequence(self) -> int:
        """The number of the last request; offers to older ones are void."""
        return self._sequence

    @property
    def sent_at(self) -> Instant:
        """When the last request was sent."""
        return self._sent_at

    @property
    def is_open(self) -> bool:
        """Whether the last request has not been answered."""
        return self._is_open

    @property
    def wanted(self) -> float:
        """The tokens that a call waits for by the last request."""
        return self._wanted

    @property
    def target(self) -> float | None:
        """The depth that the lender wants this instance to keep."""
        return self._target

    @property
    def left(self) -> float | None:
        """The tokens that the lender had at its last offer."""
        return self._left

    def request(self, sequence: int, wanted: float, now: Instant) -> None:
        """Starts a request; an offer to the one before is void from now."""
        self._sequence = sequence
        self._wanted = wanted
        self._sent_at = now
        self._is_open = True

    def settle(self, target: float, left: float) -> None:
        """Notes what the lender offered; a copy counts no more."""
        self._is_open = False
        self._target = target
        self._left = left


@final
class Demand:
    """How many calls of one customer arrive here, refused ones included."""

    __slots__ = (
        '_arrivals',
        '_failures',
        '_measured_at',
        '_pause',
        '_paused_until',
        '_rate',
        '_restocks_at',
        '_waits_until',
    )

    def __init__(self) -> None:
        """Starts without calls."""
        self._arrivals = 0
        self._rate = float(0)
        self._measured_at: Instant | None = None
        self._failures = 0
        self._pause = float(0)
        self._paused_until: Instant = float('-inf')
        self._waits_until: Instant = float('-inf')
        self._restocks_at: Instant = float('-inf')

    @property
    def arrivals(self) -> int:
        """Calls since the last measurement."""
        return self._arrivals

    @property
    def rate(self) -> float:
        """Calls a second, smoothed."""
        return self._rate

    @property
    def measured_at(self) -> Instant | None:
        """When the calls were last counted."""
        return self._measured_at

    @property
    def failures(self) -> int:
        """Lenders in a row that had no token."""
        return self._failures

    @property
    def pause(self) -> float:
        """The seconds for which the lenders were last left alone."""
        return self._pause

    @property
    def paused_until(self) -> Instant:
        """When the lenders may be asked for tokens again."""
        return self._paused_until

    @property
    def restocks_at(self) -> Instant:
        """When the stock may be filled again."""
        return self._restocks_at

    @property
    def waits_until(self) -> Instant:
        """Until when a call may wait for a token."""
        return self._waits_until

    def arrive(self) -> None:
        """Counts a call."""
        self._arrivals += 1

    def wait(self, until: Instant) -> None:
        """Notes that a call waits for a token."""
        self._waits_until = until

    def restock(self, again_at: Instant) -> None:
        """Notes that the stock is being filled."""
        self._restocks_at = again_at

    def measure(self, rate: float, now: Instant) -> None:
        """Replaces the smoothed rate and starts to count anew."""
        self._rate = rate
        self._arrivals = 0
        self._measured_at = now

    def fail(self) -> None:
        """Notes that a lender had no token."""
        self._failures += 1

    def suspend(self, now: Instant, pause: float) -> None:
        """Leaves the lenders alone for ``pause`` seconds."""
        self._failures = 0
        self._pause = pause
        self._paused_until = now + pause

    def resume(self, now: Instant) -> None:
        """Notes that a lender had tokens."""
        self._failures = 0
        self._pause = float(0)
        self._paused_until = now
