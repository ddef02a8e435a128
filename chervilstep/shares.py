"""Shares of the customers' rates and bursts that this instance may spend."""

from collections.abc import Container, Mapping
from operator import attrgetter
from typing import final

from chervilstep.loans import Account, Book, Demand
from chervilstep.types import Deadline, Instant


@final
class Grant:
    """A right to mint and to keep tokens of one customer until a deadline."""

    __slots__ = ('_burst', '_deadline', '_rate')

    def __init__(self, rate: float, burst: float, deadline: Deadline) -> None:
        """Creates a grant: ``rate`` tokens a second, ``burst`` to keep."""
        self._rate = rate
        self._burst = burst
        self._deadline = deadline

    @property
    def rate(self) -> float:
        """Tokens that the right mints each second."""
        return self._rate

    @property
    def burst(self) -> float:
        """Tokens that may be kept by this right."""
        return self._burst

    @property
    def deadline(self) -> Deadline:
        """When the right ends, and the tokens kept by it with it."""
        return self._deadline

    @property
    def ends_at(self) -> Instant:
        """The instant of the deadline."""
        return self._deadline.at


@final
class Bucket:
    """A token bucket whose rate and depth are the sum of its grants.

    A grant that ends takes its depth with it, so tokens above the remaining
    depth are lost. The level is worked out when it is read, so a process
    that was paused never spends tokens of a grant that ended meanwhile.
    """

    __slots__ = ('_at', '_grants', '_level', '_sorted')

    def __init__(self) -> None:
        """Starts without grants, hence empty."""
        self._grants: dict[str, Grant] = {}
        self._sorted: list[Grant] = []
        self._level = float(0)
        self._at: Instant = 0

    @property
    def grants(self) -> Mapping[str, Grant]:
        """The grants by the name of the instance that gave each."""
        return self._grants

    def level(self, now: Instant) -> float:
        """The tokens that may be spent at ``now``."""
        level = self._level
        at = self._at
        burst = float(0)
        rate = float(0)
        for grant in self._sorted:
            burst += grant.burst
            rate += grant.rate
        for ended in self._sorted:
            if ended.ends_at > now:
                break
            minted = rate * max(0, ended.ends_at - at)
            at = max(at, ended.ends_at)
            burst -= ended.burst
            rate -= ended.rate
            level = min(level + minted, burst)
        return max(0, min(level + rate * max(0, now - at), burst))

    def burst(self, now: Instant) -> float:
        """The depth at ``now``."""
        return sum(grant.burst for grant in self._sorted if grant.ends_at > now)

    def rate(self, now: Instant) -> float:
        """The tokens minted each second at ``now``."""
        return sum(grant.rate for grant in self._sorted if grant.ends_at > now)

    def advance(self, now: Instant) -> None:
        """Brings the level up to date and forgets the grants that ended."""
        self._level = self.level(now)
        self._at = max(self._at, now)
        if self._sorted and self._sorted[0].ends_at <= now:
            self._grants = {
                name: grant
                for name, grant in self._grants.items()
                if grant.ends_at > now
            }
            self._sort()

    def put(self, name: str, grant: Grant, now: Instant) -> None:
        """Replaces the grant given by the instance ``name``."""
        self.advance(now)
        self._grants[name] = grant
        self._sort()
        self._level = min(self._level, self.burst(now))

    def drop(self, name: str, now: Instant) -> None:
        """Ends the grant given by the instance ``name``."""
        self.advance(now)
        self._grants.pop(name, None)
        self._sort()
        self._level = min(self._level, self.burst(now))

    def spend(self, tokens: float, now: Instant) -> None:
        """Takes tokens out; the caller has checked the level."""
        self.advance(now)
        self._level -= tokens

    def credit(self, tokens: float, now: Instant) -> None:
        """Puts tokens in that another instance took out of its bucket."""
        self.advance(now)
        self._level = min(self._level + tokens, self.burst(now))

    def _sort(self) -> None:
        self._sorted = sorted(self._grants.values(), key=attrgetter('ends_at'))


@final
class Shares:
    """The buckets, the loans and the demand of this instance."""

    __slots__ = ('_accounts', '_book', '_buckets', '_demands', '_sequence')

    def __init__(self, sequence: int) -> None:
        """Starts with nothing; requests are numbered from ``sequence``."""
        self._sequence = sequence
        self._buckets: dict[str, Bucket] = {}
        self._demands: dict[str, Demand] = {}
        self._accounts: dict[tuple[str, str], Account] = {}
        self._book = Book()

    @property
    def buckets(self) -> Mapping[str, Bucket]:
        """The buckets by the customer's name."""
        return self._buckets

    @property
    def demands(self) -> Mapping[str, Demand]:
        """The calls that arrive by the customer's name."""
        return self._demands

    @property
    def sequence(self) -> int:
        """The number of the last request for loans."""
        return self._sequence

    @property
    def accounts(self) -> Mapping[tuple[str, str], Account]:
        """The dealings by the lender's and the customer's name."""
        return self._accounts

    @property
    def book(self) -> Book:
        """The loans that this instance gave."""
        return self._book

    def bucket(self, customer: str) -> Bucket:
        """The bucket of ``customer``, created on first use."""
        found = self._buckets.get(customer)
        if found is None:
            found = Bucket()
            self._buckets[customer] = found
        return found

    def demand(self, customer: str) -> Demand:
        """The demand of ``customer``, created on first use."""
        found = self._demands.get(customer)
        if found is None:
            found = Demand()
            self._demands[customer] = found
        return found

    def account(self, lender: str, customer: str) -> Account:
        """The dealings with ``lender``, created on first use."""
        return self._accounts.setdefault((lender, customer), Account())

    def count_request(self) -> None:
        """Takes the next number for a request."""
        self._sequence += 1

    def forget_accounts(self, lenders: Container[str]) -> None:
        """Drops the dealings with instances that are not in ``lenders``."""
        for lender, customer in tuple(self._accounts):
            if lender not in lenders:
                self._accounts.pop((lender, customer))

    def forget(self, customer: str) -> None:
        """Drops what is kept of a customer that is no longer configured."""
        self._buckets.pop(customer, None)
        self._demands.pop(customer, None)
