"""Runs a hedge in parallel with an attempt that a task awaits."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Final, TypeAlias, final

from chervilstep.calls import Outcome
from chervilstep.queries.outcomes import is_good_answer

#: Delay before the next try when no hedge could be started.
HEDGE_RETRY_SECONDS: Final = 0.05
#: Returns the coroutine of the hedge, or None when none may start now.
StartHedge: TypeAlias = Callable[[], Coroutine[object, None, Outcome] | None]


@final
class Race:
    """An attempt in the current task and at most one hedge in another task.

    A hedge that wins cancels and uncancels the waiting task, as
    ``asyncio.timeout`` does, so that calls without a hedge need no task of
    their own.
    """

    __slots__ = (
        '_hedge',
        '_is_decided',
        '_start_hedge',
        '_timer',
        '_waiting_task',
        '_winner',
    )

    def __init__(
        self, waiting_task: 'asyncio.Task[Any]', start_hedge: StartHedge
    ) -> None:
        """Creates a race for ``waiting_task``, which awaits the attempt."""
        self._waiting_task = waiting_task
        self._start_hedge = start_hedge
        self._hedge: asyncio.Task[Outcome] | None = None
        self._winner: Outcome | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_decided = False

    def __enter__(self) -> 'Race':
        """Enters the race."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Ends the race and cancels a hedge that is still running."""
        self._is_decided = True
        if self._timer is not None:
            self._timer.cancel()
        if self._hedge is not None:
            self._hedge.cancel()

    async def run(
        self, first: Awaitable[Outcome], hedge_delay_seconds: float
    ) -> Outcome:
        """Returns the first good outcome.

        Without a good one, an answer of the attempt is preferred to the
        outcome of the hedge. The hedge starts no earlier than after
        ``hedge_delay_seconds``.
        """
        self._timer = asyncio.get_running_loop().call_later(
            hedge_delay_seconds, self._try_hedge
        )
        outcome = await self._await_first(first)
        self._is_decided = True
        if self._hedge is None or is_good_answer(outcome):
            return outcome
        second = await self._hedge
        if outcome.answer is None or is_good_answer(second):
            return second
        return outcome

    async def _await_first(self, first: Awaitable[Outcome]) -> Outcome:
        try:
            outcome = await first
        except asyncio.CancelledError:
            if self._winner is None or self._waiting_task.uncancel():
                raise
            return self._winner
        if self._winner is None:
            return outcome
        # The attempt ended before the cancellation took effect.
        self._waiting_task.uncancel()
        return self._winner

    def _try_hedge(self) -> None:
        hedge = self._start_hedge()
        if hedge is None:
            # The retry budget or the slots may allow a hedge later.
            self._timer = asyncio.get_running_loop().call_later(
                HEDGE_RETRY_SECONDS, self._try_hedge
            )
        else:
            self._hedge = asyncio.get_running_loop().create_task(hedge)
            self._hedge.add_done_callback(self._handle_hedge_end)

    def _handle_hedge_end(self, hedge: 'asyncio.Task[Outcome]') -> None:
        if self._is_decided or hedge.cancelled() or hedge.exception():
            return
        if is_good_answer(hedge.result()):
            self._winner = hedge.result()
            self._waiting_task.cancel()


def new_race(start_hedge: StartHedge) -> Race:
    """Creates a race for the attempt that the current task waits for."""
    waiting_task = asyncio.current_task()
    if waiting_task is None:
        raise RuntimeError('new_race must be called from a task')
    return Race(waiting_task, start_hedge)
