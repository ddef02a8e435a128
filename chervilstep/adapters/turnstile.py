"""Shares the turns of the event loop among tasks with much to do."""

import asyncio
from collections import deque
from typing import final


@final
class Turnstile:
    """Lets one of the waiting tasks go on in each turn of the event loop.

    What the tasks do between two calls of ``wait`` then bounds the turn,
    however many they are.
    """

    __slots__ = ('_is_scheduled', '_waiters')

    def __init__(self) -> None:
        """Creates a turnstile at which no task waits."""
        self._waiters: deque[asyncio.Future[None]] = deque()
        self._is_scheduled = False

    async def wait(self) -> None:
        """Returns in a later turn, after the tasks that came before."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        self._schedule()
        await waiter

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._release_one)

    def _release_one(self) -> None:
        self._is_scheduled = False
        while self._waiters:
            waiter = self._waiters.popleft()
            # Tasks that were cancelled have no use for their turn.
            if not waiter.done():
                waiter.set_result(None)
                break
        if self._waiters:
            self._schedule()
