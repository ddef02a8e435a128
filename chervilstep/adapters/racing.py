"""Lets a hedge race the attempt that a task is waiting for."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Final, TypeAlias, final

from chervilstep.calls import Outcome
from chervilstep.queries.outcomes import is_good_answer

#: How soon a hedge that could not be started is tried again.
RETRY_SECONDS: Final = 0.05
#: Starts the hedge, or returns None when there is to be none.
StartHedge: TypeAlias = Callable[[], Coroutine[object, None, Outcome] | None]


@final
class Race:
    """One attempt in the current task, and at most one hedge in another.

    A hedge that wins interrupts the waiting task as ``asyncio.timeout``
    does, so that calls that are not hedged cost no task of their own.
    """

    __slots__ = (
        '_hedge',
        '_is_decided',
        '_main',
        '_start_hedge',
        '_timer',
        '_winner',
    )

    def __init__(
        self, main: 'asyncio.Task[Any]', start_hedge: StartHedge
    ) -> None:
        """Creates a race; ``main`` is the task that waits."""
        self._main = main
        self._start_hedge = start_hedge
        self._hedge: asyncio.Task[Outcome] | None = None
        self._winner: Outcome | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_decided = False

    def __enter__(self) -> 'Race':
        """Enters the race."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Ends the race; whoever has not answered is cancelled."""
        self._is_decided = True
        if self._timer is not None:
            self._timer.cancel()
        if self._hedge is not None:
            self._hedge.cancel()

    async def run(self, first: Awaitable[Outcome], hedge_in: float) -> Outcome:
        """Returns the first answer, or the last failure."""
        self._timer = asyncio.get_running_loop().call_later(
            hedge_in, self._begin
        )
        outcome = await self._wait_for(first)
        self._is_decided = True
        if self._hedge is None or is_good_answer(outcome):
            return outcome
        second = await self._hedge
        if outcome.answer is None or is_good_answer(second):
            return second
        return outcome

    async def _wait_for(self, first: Awaitable[Outcome]) -> Outcome:
        try:
            outcome = await first
        except asyncio.CancelledError:
            if self._winner is None or self._main.uncancel():
                raise
            return self._winner
        if self._winner is None:
            return outcome
        # The attempt ended in spite of the interruption.
        self._main.uncancel()
        return self._winner

    def _begin(self) -> None:
        hedge = self._start_hedge()
        if hedge is None:
            # There was no budget or no slot; there may be soon.
            self._timer = asyncio.get_running_loop().call_later(
                RETRY_SECONDS, self._begin
            )
        else:
            self._hedge = asyncio.get_running_loop().create_task(hedge)
            self._hedge.add_done_callback(self._end)

    def _end(self, hedge: 'asyncio.Task[Outcome]') -> None:
        if self._is_decided or hedge.cancelled() or hedge.exception():
            return
        if is_good_answer(hedge.result()):
            self._winner = hedge.result()
            self._main.cancel()


def new_race(start_hedge: StartHedge) -> Race:
    """Creates a race for the attempt that the current task waits for."""
    main = asyncio.current_task()
    if main is None:
        raise RuntimeError('a race needs a task that waits')
    return Race(main, start_hedge)
