"""Reserves bytes of the budget before they are read from a stream."""

import asyncio
import random
from collections.abc import Callable
from typing import Final, final

from tornado import httputil

from chervilstep.commands.memory import (
    record_full_memory,
    take_bytes,
    want_memory,
)
from chervilstep.exceptions import OverloadError
from chervilstep.memory import Content, Holding, new_holding
from chervilstep.node import Node
from chervilstep.queries.headers import KEY_HEADER, bearer_key, digest_key
from chervilstep.queries.memory import can_ever_hold, pool_for
from chervilstep.refusals import MEMORY_FULL
from chervilstep.types import Instant, new_deadline

#: How long a stream is not read while there is no room. Callers may still try
#: another instance afterwards.
MAX_WAIT_SECONDS: Final = 0.3
POLL_SECONDS: Final = 0.01
#: The bounds of the time after which a refused caller should return: a long body
#: takes about half a second on the link of an instance.
RETRY_SECONDS: Final = (0.5, 1)


@final
class Reservation:
    """The bytes that are reserved for one body."""

    __slots__ = ('_clock', '_holding', '_node')

    def __init__(
        self, node: Node, holding: Holding, clock: Callable[[], Instant]
    ) -> None:
        """Creates a reservation that adds to ``holding``."""
        self._node = node
        self._holding = holding
        self._clock = clock

    @property
    def holding(self) -> Holding:
        """The bytes so far; the owner of the body must keep a reference."""
        return self._holding

    @property
    def is_wanted(self) -> bool:
        """Whether others have found no room lately."""
        return not self._node.memory.wanted_until.has_passed(self._clock())

    async def extend(self, size: int) -> bool:
        """Reserves more bytes; waits for room.

        Returns:
            Whether the bytes are reserved. Without room the body cannot be
            read.
        """
        give_up_at = new_deadline(self._clock(), MAX_WAIT_SECONDS)
        may_wait = can_ever_hold(self._node, self._holding.content, size)
        while not self.try_extend(size):
            if not may_wait or give_up_at.has_passed(self._clock()):
                record_full_memory(self._node, self._holding, size)
                return False
            want_memory(self._node, self._clock())
            await asyncio.sleep(POLL_SECONDS)
        return True

    def try_extend(self, size: int) -> bool:
        """Reserves more bytes if there is room for them now."""
        pool = pool_for(self._node, self._holding, size)
        if pool is None:
            return False
        take_bytes(self._node, self._holding, pool, size)
        return True


@final
class RequestBuffering:
    """Reserves the bodies of requests; the caller's key names its party."""

    __slots__ = ('_clock', '_node')

    def __init__(self, node: Node, clock: Callable[[], Instant]) -> None:
        """Creates the buffering of one front end."""
        self._node = node
        self._clock = clock

    def new_reservation(
        self, headers: httputil.HTTPHeaders
    ) -> 'RequestReservation':
        """Creates a reservation without bytes for a request."""
        key = bearer_key(headers.get(KEY_HEADER)) or ''
        customer = self._node.snapshot.customer_by_digest(digest_key(key))
        party = customer.name if customer else ''
        reservation = new_reservation(
            self._node, Content.REQUESTS, party, self._clock
        )
        return RequestReservation(reservation, self._node.rng)


@final
class RequestReservation:
    """The bytes that are reserved for the body of one request."""

    __slots__ = ('_reservation', '_rng')

    def __init__(self, reservation: Reservation, rng: random.Random) -> None:
        """Creates a reservation that refuses a request without room."""
        self._reservation = reservation
        self._rng = rng

    @property
    def is_wanted(self) -> bool:
        """Whether others have found no room lately."""
        return self._reservation.is_wanted

    @property
    def holding(self) -> Holding:
        """The bytes so far; the owner of the body must keep a reference."""
        return self._reservation.holding

    async def extend(self, size: int) -> None:
        """Reserves more bytes; waits for room.

        Raises:
            OverloadError: There is no room. The request was not passed on.
        """
        if not await self._reservation.extend(size):
            raise self.refusal()

    def refusal(self) -> OverloadError:
        """Returns the refusal of a request without room."""
        return OverloadError(
            MEMORY_FULL.status,
            f'{MEMORY_FULL.reason}: {MEMORY_FULL.message}',
            retry_seconds=self._rng.uniform(*RETRY_SECONDS),
        )


def new_reservation(
    node: Node, content: Content, party: str, clock: Callable[[], Instant]
) -> Reservation:
    """Creates a reservation without bytes."""
    return Reservation(node, new_holding(node.memory, content, party), clock)


def reserve_answer(
    node: Node, clock: Callable[[], Instant], service: str
) -> Reservation:
    """Creates a reservation without bytes for an answer of a service."""
    return new_reservation(node, Content.ANSWERS, service, clock)
