"""Takes calls through the queue and their attempts; decides nothing."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from functools import partial
from typing import Protocol, TypeAlias, final

from chervilstep.adapters.racing import new_race
from chervilstep.calls import Attempt, Call, Ending, Outcome, Reply, Ticket
from chervilstep.commands import attempting as attempts
from chervilstep.commands import budget, replying
from chervilstep.commands import queueing as queue_commands
from chervilstep.commands.health import spend_probe_tokens
from chervilstep.node import Node
from chervilstep.progress import Progress, new_progress
from chervilstep.queries import (
    admission,
    hedging,
    placement_probes,
    queueing,
    retrying,
)
from chervilstep.queries.attempting import new_attempt
from chervilstep.queues import QueueDecision, Waiter
from chervilstep.refusals import QUEUE_FULL, Refusal
from chervilstep.services import Upstream
from chervilstep.types import Instant, Verdict

#: Tells the time in monotonic seconds.
Clock: TypeAlias = Callable[[], Instant]
#: Resolves to what a waiting call gets.
Grant: TypeAlias = asyncio.Future[Attempt | Refusal]


class Pool(Protocol):
    """Sends attempts to upstreams over pooled connections."""

    async def send(self, attempt: Attempt) -> Outcome:
        """Sends one attempt; cancelling the task cancels the attempt."""


class Scout(Protocol):
    """Asks upstreams for their load before a call is placed."""

    async def probe_for_placement(
        self, service: str, upstreams: Iterable[Upstream]
    ) -> None:
        """Asks upstreams of a service, and waits a moment for answers."""


@final
class Dispatcher:
    """Runs admitted calls: waits for upstreams, sends, and retries.

    Every decision is a query and every change a command; between a query
    and the command that follows from it nothing is awaited.
    """

    __slots__ = (
        '_clock',
        '_grants',
        '_node',
        '_pool',
        '_scout',
        '_timer',
        '_wakes_at',
    )

    def __init__(
        self, node: Node, pool: Pool, clock: Clock, scout: Scout | None
    ) -> None:
        """Creates a dispatcher without calls."""
        self._node = node
        self._scout = scout
        self._pool = pool
        self._clock = clock
        self._grants: dict[Waiter, Grant] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._wakes_at: Instant = 0

    async def handle(self, call: Call) -> Reply:
        """Returns the answer to a call, or why there is none."""
        ticket = self._admit(call)
        if isinstance(ticket, Refusal):
            replying.record_refusal(self._node, ticket)
            return ticket
        return await self.run(ticket)

    async def run(self, ticket: Ticket) -> Reply:
        """Answers a call that was admitted and charged."""
        reply = await self._run(new_progress(ticket))
        replying.record_reply(self._node, ticket, reply, self._clock())
        return reply

    def wake(self) -> None:
        """Serves the queues after a change of configuration or of loads."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self._clock()
        for service in tuple(self._node.queues.by_service):
            for turn in queueing.unservable_waiters(self._node, service, now):
                self._take_turn(turn, now)
            self._serve(service, now)
        wake_at = queueing.next_wake_at(self._node, now)
        if wake_at is not None:
            self._wake_by(wake_at)

    def _admit(self, call: Call) -> Ticket | Refusal:
        now = self._clock()
        ticket = admission.admit(self._node, call, now)
        if isinstance(ticket, Refusal):
            attempts.refuse_call(self._node, call, ticket, now)
        else:
            attempts.charge_ticket(self._node, ticket, now)
        return ticket

    async def _run(self, progress: Progress) -> Reply:
        reply: Reply | None = None
        while reply is None:
            await self._look_around(progress)
            attempt = await self._acquire(progress)
            if isinstance(attempt, Refusal):
                return retrying.reply_to_queue_refusal(progress, attempt)
            outcome = await self._send_hedged(progress, attempt)
            reply = self._conclude(progress, outcome)
        return reply

    def _conclude(self, progress: Progress, outcome: Outcome) -> Reply | None:
        now = self._clock()
        reply = retrying.final_reply(self._node, progress, outcome, now)
        if reply is None:
            budget.spend_token(
                self._node, progress.ticket.route.service, now, 'retry'
            )
        return reply

    async def _look_around(self, progress: Progress) -> None:
        """Asks the upstreams that the call may go to, if that tells more."""
        if self._scout is None:
            return
        service = progress.ticket.route.service
        for _ in range(placement_probes.MAX_ROUNDS):
            now = self._clock()
            found = placement_probes.upstreams_to_probe(
                self._node, progress, now
            )
            if not found:
                return
            spend_probe_tokens(self._node, found, now)
            await self._scout.probe_for_placement(service, found)

    async def _acquire(self, progress: Progress) -> Attempt | Refusal:
        now = self._clock()
        upstream = queueing.immediate_upstream(self._node, progress, now)
        if upstream is not None:
            return self._start(progress, upstream, now)
        evictee = queueing.evictee(self._node, progress)
        if evictee is not None:
            self._take_turn(QueueDecision(evictee, QUEUE_FULL), now)
        refusal = queueing.enqueue_refusal(self._node, progress, now)
        if refusal is not None:
            return refusal
        return await self._wait(Waiter(progress, now))

    def _start(
        self, progress: Progress, upstream: Upstream, now: Instant
    ) -> Attempt:
        attempt = new_attempt(self._node, progress, upstream, now)
        attempts.start_attempt(self._node, progress, attempt)
        return attempt

    async def _wait(self, waiter: Waiter) -> Attempt | Refusal:
        grant: Grant = asyncio.get_running_loop().create_future()
        self._grants[waiter] = grant
        queue_commands.enqueue(self._node, waiter)
        self._wake_by(queueing.wake_at(waiter, self._clock()))
        try:
            return await grant
        except asyncio.CancelledError:
            self._abandon(waiter, grant)
            raise

    def _abandon(self, waiter: Waiter, grant: Grant) -> None:
        if self._grants.pop(waiter, None) is not None:
            queue_commands.remove(self._node, waiter)
            return
        if grant.cancelled():
            return
        # The upstream was granted, but nothing was sent yet.
        attempt = grant.result()
        if isinstance(attempt, Attempt):
            self._give_back(waiter.progress, attempt)

    def _give_back(self, progress: Progress, attempt: Attempt) -> Outcome:
        outcome = Outcome(Ending.CANCELLED, Verdict.NOT_RUN, self._clock())
        self._end(progress, attempt, outcome)
        return outcome

    async def _send_hedged(
        self, progress: Progress, attempt: Attempt
    ) -> Outcome:
        first = self._send(progress, attempt)
        hedge_at = hedging.hedge_at(self._node, progress, attempt)
        if hedge_at is None:
            return await first
        with new_race(partial(self._hedge, progress)) as race:
            return await race.run(first, hedge_at - self._clock())

    def _hedge(
        self, progress: Progress
    ) -> Coroutine[object, None, Outcome] | None:
        now = self._clock()
        upstream = hedging.hedge_upstream(self._node, progress, now)
        if upstream is None:
            return None
        budget.spend_token(
            self._node, progress.ticket.route.service, now, 'hedge'
        )
        return self._send(progress, self._start(progress, upstream, now))

    async def _send(self, progress: Progress, attempt: Attempt) -> Outcome:
        if attempt.deadline.has_passed(self._clock()):
            # The process was paused since the start of the attempt.
            return self._give_back(progress, attempt)
        try:
            outcome = await self._pool.send(attempt)
        except (asyncio.CancelledError, Exception):
            self._end(
                progress,
                attempt,
                Outcome(Ending.CANCELLED, Verdict.MAY_HAVE_RUN, self._clock()),
            )
            raise
        self._end(progress, attempt, outcome)
        return outcome

    def _end(
        self, progress: Progress, attempt: Attempt, outcome: Outcome
    ) -> None:
        attempts.end_attempt(self._node, progress, attempt, outcome)
        self._serve(attempt.ticket.route.service, self._clock())

    def _serve(self, service: str, now: Instant) -> None:
        turn = queueing.next_decision(self._node, service, now)
        while turn is not None:
            self._take_turn(turn, now)
            turn = queueing.next_decision(self._node, service, now)

    def _take_turn(self, turn: QueueDecision, now: Instant) -> None:
        waiter = turn.waiter
        grant = self._grants.pop(waiter)
        upstream = turn.result
        if grant.cancelled():
            queue_commands.remove(self._node, waiter)
        elif isinstance(upstream, Refusal):
            queue_commands.remove(self._node, waiter)
            grant.set_result(upstream)
        else:
            queue_commands.grant(self._node, waiter, now)
            grant.set_result(self._start(waiter.progress, upstream, now))

    def _wake_by(self, at: Instant) -> None:
        if self._timer is not None:
            if self._wakes_at <= at:
                return
            self._timer.cancel()
        self._wakes_at = at
        self._timer = asyncio.get_running_loop().call_later(
            at - self._clock(), self.wake
        )


def new_dispatcher(
    node: Node, pool: Pool, clock: Clock, scout: Scout | None = None
) -> Dispatcher:
    """Creates the dispatcher of an instance."""
    return Dispatcher(node, pool, clock, scout)
