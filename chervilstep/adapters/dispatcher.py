"""Runs calls through the queue and their attempts.

The decisions are made by the modules in ``queries``.
"""

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

#: Returns the monotonic time in seconds.
Clock: TypeAlias = Callable[[], Instant]
#: Resolves to the attempt or the refusal of a waiting call.
Grant: TypeAlias = asyncio.Future[Attempt | Refusal]


class Pool(Protocol):
    """Sends attempts to upstreams over pooled connections."""

    async def send(self, attempt: Attempt) -> Outcome:
        """Sends an attempt; cancelling the task cancels the attempt."""


class PlacementProber(Protocol):
    """Probes the load of upstreams before a call is placed."""

    async def probe_for_placement(
        self, service: str, upstreams: Iterable[Upstream]
    ) -> None:
        """Probes upstreams of a service; waits briefly for the answers."""


@final
class Dispatcher:
    """Runs calls: admission, queueing, attempts, hedges and retries.

    Every decision is a query and every change of state a command. No await
    separates a query from the command that depends on its result.
    """

    __slots__ = (
        '_clock',
        '_grants',
        '_node',
        '_pool',
        '_prober',
        '_timer',
        '_wake_at',
    )

    def __init__(
        self,
        node: Node,
        pool: Pool,
        clock: Clock,
        prober: PlacementProber | None,
    ) -> None:
        """Creates a dispatcher without calls."""
        self._node = node
        self._prober = prober
        self._pool = pool
        self._clock = clock
        self._grants: dict[Waiter, Grant] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._wake_at: Instant = 0

    async def handle(self, call: Call) -> Reply:
        """Admits and runs a call; returns its answer or a refusal."""
        ticket = self._admit(call)
        if isinstance(ticket, Refusal):
            replying.record_refusal(self._node, ticket)
            return ticket
        return await self.run(ticket)

    async def run(self, ticket: Ticket) -> Reply:
        """Runs a call that is already admitted and charged."""
        reply = await self._run_attempts(new_progress(ticket))
        replying.record_reply(self._node, ticket, reply, self._clock())
        return reply

    def wake(self) -> None:
        """Serves all queues, e.g. after a change of configuration or load."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self._clock()
        for service in tuple(self._node.queues.by_service):
            for decision in queueing.unservable_waiters(
                self._node, service, now
            ):
                self._apply_decision(decision, now)
            self._serve_queue(service, now)
        wake_at = queueing.next_recheck_at(self._node, now)
        if wake_at is not None:
            self._schedule_wake(wake_at)

    def _admit(self, call: Call) -> Ticket | Refusal:
        now = self._clock()
        ticket = admission.admit(self._node, call, now)
        if isinstance(ticket, Refusal):
            attempts.refuse_call(self._node, call, ticket, now)
        else:
            attempts.charge_ticket(self._node, ticket, now)
        return ticket

    async def _run_attempts(self, progress: Progress) -> Reply:
        reply: Reply | None = None
        while reply is None:
            await self._send_placement_probes(progress)
            attempt = await self._acquire_attempt(progress)
            if isinstance(attempt, Refusal):
                return retrying.reply_to_queue_refusal(progress, attempt)
            outcome = await self._send_hedged(progress, attempt)
            reply = self._reply_or_retry(progress, outcome)
        return reply

    def _reply_or_retry(
        self, progress: Progress, outcome: Outcome
    ) -> Reply | None:
        now = self._clock()
        reply = retrying.final_reply(self._node, progress, outcome, now)
        if reply is None:
            budget.spend_token(
                self._node, progress.ticket.route.service, now, 'retry'
            )
        return reply

    async def _send_placement_probes(self, progress: Progress) -> None:
        """Probes candidate upstreams that have no fresh load report."""
        if self._prober is None:
            return
        service = progress.ticket.route.service
        for _ in range(placement_probes.MAX_ROUNDS):
            now = self._clock()
            targets = placement_probes.upstreams_to_probe(
                self._node, progress, now
            )
            if not targets:
                return
            spend_probe_tokens(self._node, targets, now)
            await self._prober.probe_for_placement(service, targets)

    async def _acquire_attempt(self, progress: Progress) -> Attempt | Refusal:
        now = self._clock()
        upstream = queueing.immediate_upstream(self._node, progress, now)
        if upstream is not None:
            return self._start_attempt(progress, upstream, now)
        evictee = queueing.waiter_to_evict(self._node, progress)
        if evictee is not None:
            self._apply_decision(QueueDecision(evictee, QUEUE_FULL), now)
        refusal = queueing.enqueue_refusal(self._node, progress, now)
        if refusal is not None:
            return refusal
        return await self._wait_in_queue(Waiter(progress, now))

    def _start_attempt(
        self, progress: Progress, upstream: Upstream, now: Instant
    ) -> Attempt:
        attempt = new_attempt(self._node, progress, upstream, now)
        attempts.start_attempt(self._node, progress, attempt)
        return attempt

    async def _wait_in_queue(self, waiter: Waiter) -> Attempt | Refusal:
        grant: Grant = asyncio.get_running_loop().create_future()
        self._grants[waiter] = grant
        queue_commands.enqueue(self._node, waiter)
        self._schedule_wake(queueing.recheck_at(waiter, self._clock()))
        try:
            return await grant
        except asyncio.CancelledError:
            self._abandon_waiter(waiter, grant)
            raise

    def _abandon_waiter(self, waiter: Waiter, grant: Grant) -> None:
        if self._grants.pop(waiter, None) is not None:
            queue_commands.remove(self._node, waiter)
            return
        if grant.cancelled():
            return
        # The attempt was granted and started, but nothing was sent yet.
        attempt = grant.result()
        if isinstance(attempt, Attempt):
            self._end_unsent(waiter.progress, attempt)

    def _end_unsent(self, progress: Progress, attempt: Attempt) -> Outcome:
        outcome = Outcome(Ending.CANCELLED, Verdict.NOT_RUN, self._clock())
        self._end_attempt(progress, attempt, outcome)
        return outcome

    async def _send_hedged(
        self, progress: Progress, attempt: Attempt
    ) -> Outcome:
        first = self._send(progress, attempt)
        hedge_at = hedging.hedge_at(self._node, progress, attempt)
        if hedge_at is None:
            return await first
        with new_race(partial(self._start_hedge, progress)) as race:
            return await race.run(first, hedge_at - self._clock())

    def _start_hedge(
        self, progress: Progress
    ) -> Coroutine[object, None, Outcome] | None:
        now = self._clock()
        upstream = hedging.hedge_upstream(self._node, progress, now)
        if upstream is None:
            return None
        budget.spend_token(
            self._node, progress.ticket.route.service, now, 'hedge'
        )
        return self._send(
            progress, self._start_attempt(progress, upstream, now)
        )

    async def _send(self, progress: Progress, attempt: Attempt) -> Outcome:
        if attempt.deadline.has_passed(self._clock()):
            # The process was suspended after the start of the attempt.
            return self._end_unsent(progress, attempt)
        try:
            outcome = await self._pool.send(attempt)
        except (asyncio.CancelledError, Exception):
            self._end_attempt(
                progress,
                attempt,
                Outcome(Ending.CANCELLED, Verdict.MAY_HAVE_RUN, self._clock()),
            )
            raise
        self._end_attempt(progress, attempt, outcome)
        return outcome

    def _end_attempt(
        self, progress: Progress, attempt: Attempt, outcome: Outcome
    ) -> None:
        attempts.end_attempt(self._node, progress, attempt, outcome)
        self._serve_queue(attempt.ticket.route.service, self._clock())

    def _serve_queue(self, service: str, now: Instant) -> None:
        decision = queueing.next_decision(self._node, service, now)
        while decision is not None:
            self._apply_decision(decision, now)
            decision = queueing.next_decision(self._node, service, now)

    def _apply_decision(self, decision: QueueDecision, now: Instant) -> None:
        waiter = decision.waiter
        grant = self._grants.pop(waiter)
        result = decision.result
        if grant.cancelled():
            queue_commands.remove(self._node, waiter)
        elif isinstance(result, Refusal):
            queue_commands.remove(self._node, waiter)
            grant.set_result(result)
        else:
            queue_commands.grant(self._node, waiter, now)
            grant.set_result(self._start_attempt(waiter.progress, result, now))

    def _schedule_wake(self, wake_at: Instant) -> None:
        if self._timer is not None:
            if self._wake_at <= wake_at:
                return
            self._timer.cancel()
        self._wake_at = wake_at
        self._timer = asyncio.get_running_loop().call_later(
            wake_at - self._clock(), self.wake
        )


def new_dispatcher(
    node: Node, pool: Pool, clock: Clock, prober: PlacementProber | None = None
) -> Dispatcher:
    """Creates the dispatcher of an instance."""
    return Dispatcher(node, pool, clock, prober)
