"""Builders of dispatchers with fake connection pools on a virtual clock."""

import asyncio

from chervilstep.adapters.capabilities import load_capabilities
from chervilstep.adapters.dispatcher import new_dispatcher
from chervilstep.calls import Answer, Ending, Outcome, Ticket
from chervilstep.hooks import POLICIES
from chervilstep.progress import new_progress
from chervilstep.types import Verdict, new_deadline
from tests.builders import (
    a_call,
    a_customer,
    a_route,
    a_service,
    a_snapshot,
    a_ticket,
    an_attempt,
    an_unlimited_node,
    an_upstream,
)

load_capabilities()


@POLICIES.register('free-slot')
def choose_free_slot(node, service, usable, now):
    """Chooses the first upstream with a free slot."""
    for upstream in usable:
        if node.loads.in_flight(upstream.name) < upstream.slots:
            return upstream
    return None


#: The verdict that the fake pools return for each ending.
VERDICTS = {
    Ending.ANSWERED: Verdict.RAN,
    Ending.SHED: Verdict.NOT_RUN,
    Ending.MOVED: Verdict.NOT_RUN,
    Ending.CONNECT_FAILED: Verdict.NOT_RUN,
    Ending.LOST_BEFORE_WRITE: Verdict.NOT_RUN,
    Ending.LOST: Verdict.MAY_HAVE_RUN,
    Ending.TIMED_OUT: Verdict.MAY_HAVE_RUN,
    Ending.BAD_ANSWER: Verdict.MAY_HAVE_RUN,
    Ending.TOO_LARGE: Verdict.RAN,
    Ending.CANCELLED: Verdict.MAY_HAVE_RUN,
}


def an_answer(status=200, body=b'ok'):
    return Answer(status, 'OK', (), body)


def an_outcome_of(ending=Ending.ANSWERED, now=0, body=b'ok'):
    answer = an_answer(body=body) if ending is Ending.ANSWERED else None
    return Outcome(ending, VERDICTS[ending], now, answer)


def a_progress(ticket=None):
    return new_progress(ticket or a_ticket())


def a_timed_ticket(route=None, customer=None, now=0, seconds=2, body=b''):
    """Returns a ticket with a deadline ``seconds`` after ``now``."""
    return Ticket(
        a_call('POST', body=body),
        route or a_route(),
        customer or a_customer(),
        new_deadline(now, seconds),
        now,
    )


def an_ended_progress(outcome, ticket=None):
    """Returns a progress whose first attempt ended with ``outcome``."""
    progress = a_progress(ticket)
    progress.record_start(an_attempt(progress.ticket))
    progress.record_end(outcome)
    return progress


class Step:
    """The ending and the duration of one attempt in the fake pool."""

    def __init__(self, ending=Ending.ANSWERED, seconds=0.01):
        self.ending = ending
        self.seconds = seconds


class FakePool:
    """Ends each attempt as the next of the steps specifies.

    ``default`` applies when no step is left. A step with the ending
    ``TIMED_OUT`` lasts until the deadline of the attempt.
    """

    def __init__(self, loop, steps=(), default=None):
        self.loop = loop
        self.steps = list(steps)
        self.default = default or Step()
        self.sent = []
        self.cancelled = []

    async def send(self, attempt):
        self.sent.append(attempt)
        step = self.steps.pop(0) if self.steps else self.default
        try:
            await self._wait(attempt, step)
        except asyncio.CancelledError:
            self.cancelled.append(attempt)
            raise
        body = attempt.upstream.name.encode()
        return an_outcome_of(step.ending, self.loop.time(), body)

    async def _wait(self, attempt, step):
        if step.ending is Ending.TIMED_OUT:
            remaining = attempt.deadline.remaining(self.loop.time())
            await asyncio.sleep(remaining)
        else:
            await asyncio.sleep(step.seconds)


def a_dispatcher(loop, pool=None, node=None):
    return new_dispatcher(
        node or an_unlimited_node(), pool or FakePool(loop), loop.time
    )


def a_slotted_node(upstreams=1, slots=1, name='entry-1', **parts):
    """Returns a node whose upstreams take one call per slot."""
    servers = [
        an_upstream(f'strike-{index}', port=9000 + index, slots=slots)
        for index in range(1, upstreams + 1)
    ]
    service = a_service(upstreams=servers, policy='free-slot')
    return an_unlimited_node(a_snapshot(services=[service], **parts), name=name)


class HeldAttempt:
    """An attempt that ``HeldPool`` has not answered yet."""

    def __init__(self, attempt, outcome):
        self.attempt = attempt
        self.outcome = outcome


class HeldPool:
    """Holds every attempt until the test ends it; records those that ran."""

    def __init__(self, loop):
        self.loop = loop
        self.held = []
        self.sent = []
        self.runs = []

    async def send(self, attempt):
        held_attempt = HeldAttempt(attempt, self.loop.create_future())
        self.sent.append(attempt)
        self.held.append(held_attempt)
        remaining = attempt.deadline.remaining(self.loop.time())
        try:
            async with asyncio.timeout(remaining):
                return await held_attempt.outcome
        except TimeoutError:
            # The worst case: the call ran and only its answer was lost.
            self.runs.append(attempt)
            return an_outcome_of(Ending.TIMED_OUT, self.loop.time())
        except asyncio.CancelledError:
            self.runs.append(attempt)
            raise
        finally:
            self.held.remove(held_attempt)

    def finish(self, held_attempt, ending, ran):
        """Ends an attempt; ``ran`` is used if the verdict is MAY_HAVE_RUN."""
        verdict = VERDICTS[ending]
        if verdict is Verdict.RAN or (ran and verdict is Verdict.MAY_HAVE_RUN):
            self.runs.append(held_attempt.attempt)
        if not held_attempt.outcome.done():
            held_attempt.outcome.set_result(
                an_outcome_of(ending, self.loop.time())
            )
